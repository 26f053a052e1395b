package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxLineBytes     = 64 << 10
	responseTimeout  = 4 * time.Second
	minReportSpacing = 500 * time.Millisecond
)

type task struct {
	shard   string
	try     uint64
	job     *job
	index   int
	phase   string // pulling, waiting, running, saving, exited
	cause   string
	stored  bool
	ready   time.Time // end of the image fetch
	started time.Time
	ends    time.Time // end of saving
}

// worker is a stand-in of a worker. It runs tasks of arrays and services, and of gangs that
// never save.
type worker struct {
	c       *cluster
	machine *rental
	name    string
	addr    string
	server  *http.Server

	mu         sync.Mutex
	up, gone   bool
	cut        bool // no packet of the worker's reports arrives, in either direction
	tenure     uint64
	tick       uint64
	fence      uint64
	leaseStart time.Time // sending time of the last answered report, or begin of the session
	target     int
	inFlight   bool
	changed    bool
	last, next time.Time
	fenceNoted time.Time
	tasks      map[string]*task
	images     map[string]bool

	largestReport, largestLine int
	statuses                   map[int]int
	expiries                   int
}

func newWorker(c *cluster, machine *rental) *worker {
	w := &worker{c: c, machine: machine, name: machine.name, tasks: map[string]*task{}, images: map[string]bool{}, statuses: map[int]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.unable("worker: %v", err)
	}
	w.addr = listener.Addr().String()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	return w
}

func (w *worker) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = true
	w.tenure = 1
	w.leaseStart = time.Now()
	w.target = len(w.name) % len(w.c.controllers)
	w.changed = true
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			if !w.step() {
				return
			}
		}
	}()
}

// step does what is due and reports whether the machine still exists.
func (w *worker) step() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return false
	}
	now := time.Now()
	if now.Sub(w.leaseStart) > w.c.seconds(w.c.settings.Workers.LeaseS) {
		w.expiries++
		w.c.note("%s: lease expired, %d tasks killed, session %d begins", w.name, len(w.tasks), w.tenure+1)
		w.killAll("lease expired")
		w.tenure++
		w.leaseStart = now
		w.changed = true
	}
	for _, t := range w.tasks {
		w.advance(t, now)
	}
	due := now.After(w.next) || (w.changed && now.Sub(w.last) >= minReportSpacing)
	if w.inFlight || !due {
		return true
	}
	w.inFlight = true
	w.changed = false
	w.last = now
	report := w.c.seconds(w.c.settings.Workers.ReportS)
	w.next = now.Add(report*3/4 + time.Duration(w.c.random(int64(report/2))))
	w.tick++
	go w.report(w.target, w.tenure, now, w.encode())
	return true
}

func (w *worker) advance(t *task, now time.Time) {
	switch t.phase {
	case "pulling":
		if now.Before(t.ready) {
			return
		}
		w.images[t.job.Bundle] = true
		w.changed = true
		w.c.checker.start(w, t)
		if w.c.checker.completed(t.shard) {
			w.exit(t, "done", false)
			return
		}
		t.phase = "running"
		t.started = now
		if t.job.Shape == "gang" {
			t.phase = "waiting"
			w.c.gangs.wait(t)
		}
	case "waiting":
		switch started := w.c.gangs.startedAt(t); {
		case !started.IsZero():
			t.phase = "running"
			t.started = started
			w.changed = true
		case now.Sub(t.started) > w.c.seconds(w.c.settings.Workers.GangWaitS):
			w.exit(t, "incomplete", false)
		}
	case "running":
		if t.job.Shape == "gang" && w.c.gangs.broken(t) {
			w.exit(t, "peers", false)
			return
		}
		if t.job.Shape == "daemon" || now.Sub(t.started) < t.job.runTime {
			return
		}
		w.c.checker.complete(t.shard)
		w.exit(t, "done", false)
	case "saving":
		if now.After(t.ends) {
			w.exit(t, "halted", true)
		}
	}
}

func (w *worker) exit(t *task, cause string, stored bool) {
	if t.phase != "exited" {
		w.c.checker.stop(w, t)
		w.c.gangs.leave(t, cause)
	}
	t.phase = "exited"
	t.cause = cause
	t.stored = stored
	w.changed = true
}

func (w *worker) killAll(why string) {
	for shard, t := range w.tasks {
		if t.phase != "exited" {
			w.c.checker.stop(w, t)
			w.c.gangs.leave(t, why)
		}
		delete(w.tasks, shard)
	}
	w.images = map[string]bool{}
}

// remove ends the machine with all that is on it.
func (w *worker) remove(why string) {
	w.mu.Lock()
	w.gone = true
	w.killAll(why)
	w.mu.Unlock()
	w.c.note("%s: %s", w.name, why)
	_ = w.server.Close()
}

func (w *worker) encode() []byte {
	shards := []object{}
	var names []string
	for name := range w.tasks {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t := w.tasks[name]
		status := object{"shard": t.shard, "try": t.try, "phase": t.phase}
		if t.phase == "exited" {
			status["cause"] = t.cause
			if t.stored {
				status["stored"] = true
			}
		}
		shards = append(shards, status)
	}
	body, _ := json.Marshal(struct {
		Host    string   `json:"host"`
		Addr    string   `json:"addr"`
		Flavor  string   `json:"flavor"`
		Yard    string   `json:"yard"`
		Loaners bool     `json:"loaners"`
		Tenure  uint64   `json:"tenure"`
		Tick    uint64   `json:"tick"`
		Fence   uint64   `json:"fence"`
		Recall  *float64 `json:"recall_s"`
		Shards  []object `json:"shards"`
	}{w.name, w.addr, w.machine.kind.Name, w.machine.yard, w.machine.loaners, w.tenure, w.tick, w.fence, nil, shards})
	w.largestReport = max(w.largestReport, len(body))
	return body
}

type order struct {
	Verb     string  `json:"verb"`
	Shard    string  `json:"shard"`
	Try      uint64  `json:"try"`
	WindDown float64 `json:"wind_down_s"`
}

func (w *worker) report(target int, tenure uint64, sent time.Time, body []byte) {
	w.mu.Lock()
	cut := w.cut
	w.mu.Unlock()
	status := 0
	var answer []byte
	if cut {
		time.Sleep(responseTimeout)
	} else {
		status, answer = post("http://"+w.c.controllers[target].bind+"/hello", body, responseTimeout)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight = false
	if w.gone {
		return
	}
	w.statuses[status]++
	now := time.Now()
	if status == 0 || w.cut || now.Sub(sent) >= responseTimeout {
		w.tryNext(target, now)
		return
	}
	var response struct {
		Fence   uint64  `json:"fence"`
		Steward string  `json:"steward"`
		Orders  []order `json:"orders"`
	}
	_ = json.Unmarshal(answer, &response)
	if status == 421 {
		for i, other := range w.c.controllers {
			if other.label == response.Steward && i != target {
				w.target = i
				w.next = now
				return
			}
		}
	}
	if status != 200 {
		w.tryNext(target, now)
		return
	}
	for _, line := range bytes.Split(answer, []byte("\n")) {
		w.largestLine = max(w.largestLine, len(line))
	}
	if tenure != w.tenure || response.Fence == 0 || response.Fence < w.fence {
		return
	}
	w.note(response.Fence, now)
	w.leaseStart = sent
	w.execute(response.Orders, now)
}

func (w *worker) tryNext(target int, now time.Time) {
	w.target = (target + 1) % len(w.c.controllers)
	w.next = now.Add(time.Second)
	w.changed = false
}

// note records a token. A higher one counts as a change once in half a lease.
func (w *worker) note(fence uint64, now time.Time) {
	if fence <= w.fence {
		return
	}
	w.fence = fence
	if now.Sub(w.fenceNoted) > w.c.seconds(w.c.settings.Workers.LeaseS/2) {
		w.fenceNoted = now
		w.changed = true
	}
}

func (w *worker) execute(orders []order, now time.Time) {
	for _, o := range orders {
		t := w.tasks[o.Shard]
		switch o.Verb {
		case "start":
			if t == nil {
				w.start(o, now)
			}
		case "stop":
			if t == nil || t.try != o.Try || t.phase == "exited" {
				continue
			}
			w.stop(t, o.WindDown, now)
		case "reap":
			if t != nil && t.try == o.Try && t.phase == "exited" {
				delete(w.tasks, o.Shard)
				w.changed = true
			}
		}
	}
}

func (w *worker) start(o order, now time.Time) {
	id, number, _ := strings.Cut(o.Shard, "/")
	index, err := strconv.Atoi(number)
	t := &task{shard: o.Shard, try: o.Try, job: w.c.submitted(id), index: index, phase: "exited"}
	w.tasks[o.Shard] = t
	w.changed = true
	w.c.checker.command(w, t)
	switch {
	case t.job == nil || err != nil || index >= t.job.Shards:
		t.cause = "unknown"
	case !w.fits(t.job):
		t.cause = "full"
	default:
		t.phase = "pulling"
		t.ready = now
		if !w.images[t.job.Bundle] {
			t.ready = now.Add(time.Duration(t.job.ImageGB / w.machine.fetch * float64(time.Second)))
		}
	}
}

func (w *worker) fits(j *job) bool {
	kind := w.machine.kind
	cores, cards, ram := kind.Cores+1e-9, kind.Cards+1e-9, kind.RAM+1e-9
	for _, t := range w.tasks {
		if t.phase != "exited" {
			cores -= t.job.Cores
			cards -= t.job.Cards
			ram -= t.job.RAM
		}
	}
	return j.Cores <= cores && j.Cards <= cards && j.RAM <= ram
}

func (w *worker) stop(t *task, windDown float64, now time.Time) {
	if t.phase == "saving" && windDown > 0 {
		return
	}
	if t.phase == "running" && t.job.SnapshotEvery > 0 && windDown >= t.job.Snapshot {
		t.phase = "saving"
		t.ends = now.Add(w.c.seconds(t.job.Snapshot))
		w.changed = true
		return
	}
	w.exit(t, "halted", false)
}

// serve answers direct commands.
func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || !w.up || w.cut {
		panic(http.ErrAbortHandler)
	}
	status := 200
	if r.Method == "POST" && r.URL.Path == "/do" {
		var request struct {
			Fence  *uint64 `json:"fence"`
			Tenure *uint64 `json:"tenure"`
			Orders []order `json:"orders"`
		}
		_ = json.Unmarshal(body, &request)
		switch {
		case request.Fence == nil || request.Tenure == nil:
			writeJSON(out, 400, object{})
			return
		case *request.Fence < w.fence || *request.Tenure != w.tenure:
			status = 409
		default:
			w.note(*request.Fence, time.Now())
			w.execute(request.Orders, time.Now())
		}
	}
	w.tick++
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(w.encode())
}

func (w *worker) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	phases := map[string]int{}
	for _, t := range w.tasks {
		phases[t.phase+" "+t.cause]++
	}
	data, _ := json.Marshal(object{"host": w.name, "tenure": w.tenure, "largest_report": w.largestReport, "largest_line": w.largestLine,
		"report_statuses": w.statuses, "lease_expiries": w.expiries, "tasks": phases})
	return string(data)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}

// post sends a request; status 0 means no response.
func post(url string, body []byte, timeout time.Duration) (status int, answer []byte) {
	return call("POST", url, body, timeout)
}

func call(method, url string, body []byte, timeout time.Duration) (status int, answer []byte) {
	status, answer, _ = callWithHeader(method, url, body, timeout)
	return status, answer
}

func callWithHeader(method, url string, body []byte, timeout time.Duration) (int, []byte, http.Header) {
	limited := *client
	limited.Timeout = timeout
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	response, err := limited.Do(request)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil
	}
	return response.StatusCode, answer, response.Header
}
