package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// taskState is a task on a machine.
type taskState struct {
	Shard  string `json:"shard"`
	Try    uint64 `json:"try"`
	Phase  string `json:"phase"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`

	job     *job
	readyAt time.Time // when the image is there
	endsAt  time.Time
	savedAt time.Time // end of the saving of a checkpoint
}

// gangWait is gang_wait_s of the settings.
const gangWait = 40 * time.Second

// gangs knows which tasks of gangs have their images. The tasks of an attempt start together.
type gangs struct {
	mu    sync.Mutex
	tasks map[string]map[string]bool // tasks that are ready, by job and attempt
}

func attemptOf(t *taskState) string { return fmt.Sprintf("%s try %d", t.job.NameID, t.Try) }

func (g *gangs) ready(t *taskState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := attemptOf(t)
	if g.tasks[attempt] == nil {
		g.tasks[attempt] = map[string]bool{}
	}
	g.tasks[attempt][t.Shard] = true
}

func (g *gangs) complete(t *taskState) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tasks[attemptOf(t)]) == t.job.Shards
}

// worker is the worker of a machine. It runs arrays, services, and gangs that lose no task.
type worker struct {
	cl     *cloud
	m      *rental
	addr   string
	server *http.Server

	mu       sync.Mutex
	ended    bool
	tenure   uint64
	tick     uint64
	fence    uint64
	tasks    []*taskState
	images   map[string]time.Time // by image, when it is there
	answered time.Time            // when the last answered report was sent, or the session began
	changed  bool
	node     int
}

func newWorker(cl *cloud, m *rental) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{cl: cl, m: m, addr: listener.Addr().String(), tenure: 1, images: map[string]time.Time{}, answered: time.Now()}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.run()
	go w.reportLoop()
	return w, nil
}

// end stops the machine with everything on it.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.killAll()
	_ = w.server.Close()
}

func (w *worker) killAll() {
	for _, t := range w.tasks {
		if t.Phase != "exited" {
			w.cl.onTask("killed", w.m.name, t.Shard, t.Try)
			w.cl.c.rec.log("machine %s: %s try %d killed", w.m.name, t.Shard, t.Try)
		}
	}
	w.tasks = nil
}

// run moves the tasks on, and ends the session with the lease.
func (w *worker) run() {
	lease := time.Duration(w.cl.c.cfg.leaseS * float64(time.Second))
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		if now.Sub(w.answered) > lease {
			w.cl.c.rec.log("machine %s: lease expired", w.m.name)
			w.killAll()
			w.tenure++
			w.answered = now
			w.changed = true
		}
		for _, t := range w.tasks {
			w.step(t, now)
		}
		w.mu.Unlock()
	}
}

func (w *worker) step(t *taskState, now time.Time) {
	switch t.Phase {
	case "pulling":
		if now.Before(t.readyAt) {
			return
		}
		w.changed = true
		w.cl.onTask("start", w.m.name, t.Shard, t.Try)
		if t.job.Shape == "gang" && t.job.Shards > 1 {
			t.Phase = "waiting"
			t.endsAt = now.Add(gangWait)
			w.cl.gangs.ready(t)
			return
		}
		w.begin(t, now)
	case "waiting":
		switch {
		case w.cl.gangs.complete(t):
			w.begin(t, now)
		case now.After(t.endsAt):
			w.exit(t, "incomplete")
		}
	case "running":
		if t.job.Shape != "daemon" && now.After(t.endsAt) {
			w.exit(t, "done")
		}
	case "saving":
		if now.After(t.savedAt) {
			t.Stored = true
			w.exit(t, "halted")
		}
	}
}

// begin lets a task that has its image run.
func (w *worker) begin(t *taskState, now time.Time) {
	t.Phase = "running"
	t.endsAt = now.Add(t.job.runFor)
	w.changed = true
	w.cl.c.rec.log("machine %s: %s try %d runs", w.m.name, t.Shard, t.Try)
	if t.job.failsOnMachine != nil && t.job.failsOnMachine(w.m.name) {
		w.exit(t, "error")
	}
}

func (w *worker) exit(t *taskState, cause string) {
	if t.Phase == "running" || t.Phase == "saving" || t.Phase == "waiting" {
		w.cl.onTask("exit", w.m.name, t.Shard, t.Try)
	}
	t.Phase, t.Cause = "exited", cause
	w.changed = true
	w.cl.c.rec.log("machine %s: %s try %d exited: %s", w.m.name, t.Shard, t.Try, cause)
}

type order struct {
	Verb     string   `json:"verb"`
	Shard    string   `json:"shard"`
	Try      uint64   `json:"try"`
	WindDown *float64 `json:"wind_down_s"`
}

// execute executes commands in order.
func (w *worker) execute(orders []order, from string) {
	for _, o := range orders {
		w.cl.c.rec.log("machine %s: order from %s: %s %s try %d", w.m.name, from, o.Verb, o.Shard, o.Try)
		switch o.Verb {
		case "start":
			w.start(o)
		case "stop":
			w.stop(o)
		case "reap":
			for i, t := range w.tasks {
				if t.Shard == o.Shard && t.Try == o.Try && t.Phase == "exited" {
					w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
					w.changed = true
					break
				}
			}
		}
	}
}

func (w *worker) start(o order) {
	cores, ram := 0.0, 0.0
	refused := ""
	for _, t := range w.tasks {
		if t.Shard == o.Shard && t.Try == o.Try {
			return
		}
		if t.Phase != "exited" {
			cores += t.job.Cores
			ram += t.job.RAM
			if t.Shard == o.Shard {
				refused = "in_use"
			}
		}
	}
	id, _, _ := strings.Cut(o.Shard, "/")
	j := w.cl.jobLocked(id)
	t := &taskState{Shard: o.Shard, Try: o.Try, Phase: "pulling", job: j}
	w.changed = true
	w.tasks = append(w.tasks, t)
	kind := w.cl.typeOf(w.m.flavor)
	switch {
	case j == nil:
		t.job = &job{}
		refused = "unknown"
	case refused == "" && (cores+j.Cores > kind.Cores+1e-6 || ram+j.RAM > kind.RAM+1e-6):
		refused = "full"
	}
	if refused != "" {
		t.Phase, t.Cause = "exited", refused
		w.cl.c.rec.log("machine %s: %s try %d refused: %s", w.m.name, o.Shard, o.Try, refused)
		return
	}
	ready, ok := w.images[j.Bundle]
	if !ok {
		ready = time.Now().Add(time.Duration(j.Image / kind.Fetch * float64(time.Second)))
		w.images[j.Bundle] = ready
	}
	t.readyAt = ready
}

func (w *worker) stop(o order) {
	for _, t := range w.tasks {
		if t.Shard != o.Shard || t.Try != o.Try || t.Phase == "exited" {
			continue
		}
		grace := 0.0
		if o.WindDown != nil {
			grace = *o.WindDown
		}
		if t.Phase == "running" && t.job.SnapshotEvery > 0 && grace >= t.job.Snapshot {
			t.Phase = "saving"
			t.savedAt = time.Now().Add(time.Duration(t.job.Snapshot * float64(time.Second)))
			w.changed = true
			continue
		}
		if t.Phase == "saving" && grace > 0 {
			continue
		}
		w.exit(t, "halted")
	}
}

// report returns the body of a report. The caller holds the lock.
func (w *worker) report() []byte {
	w.tick++
	tasks := w.tasks
	if tasks == nil {
		tasks = []*taskState{}
	}
	body, _ := json.Marshal(map[string]any{
		"host": w.m.name, "addr": w.addr, "flavor": w.m.flavor, "yard": w.m.yard, "loaners": w.m.loaners,
		"tenure": w.tenure, "tick": w.tick, "fence": w.fence, "recall_s": nil, "shards": tasks,
	})
	return body
}

func (w *worker) reportLoop() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	usual := w.cl.c.cfg.reportS * float64(time.Second)
	interval := time.Duration(usual)
	var last time.Time
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		since := time.Since(last)
		if since < 500*time.Millisecond || (since < interval && !w.changed) {
			w.mu.Unlock()
			continue
		}
		w.changed = false
		body := w.report()
		tenure := w.tenure
		node := w.node
		w.mu.Unlock()
		last = time.Now()
		interval = time.Duration(usual * (0.75 + 0.5*rand.Float64()))
		w.send(client, node, body, tenure, last)
	}
}

// send sends a report and handles the answer.
func (w *worker) send(client *http.Client, node int, body []byte, tenure uint64, sentAt time.Time) {
	c := w.cl.c
	status, answer := 0, []byte(nil)
	response, err := client.Post("http://"+c.nodes[node].bind+"/hello", "application/json", bytes.NewReader(body))
	if err == nil {
		status = response.StatusCode
		answer, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			status = 0
		}
	}
	c.rec.log("report of %s to %s: %.300s -> %d %.200s", w.m.name, c.nodes[node].label, body, status, answer)
	next := (node + 1) % len(c.nodes)
	pause := time.Second
	switch status {
	case 200:
		w.accept(answer, tenure, sentAt, c.nodes[node].label)
		return
	case 421:
		var redirect struct {
			Steward string `json:"steward"`
		}
		_ = json.Unmarshal(answer, &redirect)
		for i, other := range c.nodes {
			if other.label == redirect.Steward && i != node {
				next, pause = i, 100*time.Millisecond
			}
		}
	}
	time.Sleep(pause)
	w.mu.Lock()
	w.node = next
	w.changed = true
	w.mu.Unlock()
}

func (w *worker) accept(answer []byte, tenure uint64, sentAt time.Time, from string) {
	var body struct {
		Fence  uint64  `json:"fence"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(answer, &body) != nil {
		return
	}
	w.cl.mu.Lock()
	defer w.cl.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || tenure != w.tenure || body.Fence == 0 || body.Fence < w.fence {
		return
	}
	if body.Fence > w.fence {
		w.fence = body.Fence
		w.changed = true
	}
	w.answered = sentAt
	for _, o := range body.Orders {
		w.cl.onOrder(o, w.m.name, sentAt)
	}
	w.execute(body.Orders, from)
}

// ServeHTTP serves direct commands.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	w.cl.mu.Lock()
	defer w.cl.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusOK
	if r.URL.Path == "/do" {
		var body struct {
			Fence  *uint64 `json:"fence"`
			Tenure *uint64 `json:"tenure"`
			Orders []order `json:"orders"`
		}
		switch {
		case json.Unmarshal(data, &body) != nil || body.Fence == nil || body.Tenure == nil:
			reply(out, http.StatusBadRequest, nil)
			return
		case *body.Fence < w.fence || *body.Tenure != w.tenure:
			status = http.StatusConflict
		default:
			if *body.Fence > w.fence {
				w.fence = *body.Fence
				w.changed = true
			}
			w.execute(body.Orders, "a direct command")
		}
	}
	reply(out, status, json.RawMessage(w.report()))
}
