package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	responseTimeout = 4 * time.Second
	retryPause      = time.Second
	minReportPause  = 500 * time.Millisecond
	maxLineBytes    = 64 << 10 // no line of a response to a worker may be longer
	maxReportBytes  = 64 << 10 // no request body may be longer
)

// worker is a stand-in of the worker of one machine. It follows the section "Workers ->
// controller nodes" for arrays and services; gangs are not supported.
type worker struct {
	cluster *cluster
	host    *host
	flavor  *flavor
	addr    string // address of direct commands, a proxy
	direct  *proxy

	mu           sync.Mutex
	running      bool
	node         int // index of the controller that it reports to
	tenure       uint64
	tick         uint64
	fence        uint64
	sessionStart time.Time // or when the last answered report was sent, if later
	tasks        []*task
	images       map[string]time.Time // when each image is on the machine
	changed      chan struct{}        // receives a value when a report is due early
	phase        time.Duration        // offset of the regular reports within report_s
	fenceReport  time.Time            // last report because of a higher token

	sentAt   time.Time // when the last report was sent
	sentTo   int       // the controller that it was sent to
	awaiting bool      // its answer is still to come

	client *http.Client
}

// setPhase sets when the regular reports are sent within report_s.
func (w *worker) setPhase(phase time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase = phase
}

// servedBy reports whether a leader serves the worker.
func (w *worker) servedBy(node int, fence uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.node == node && w.fence == fence
}

// pendingAt reports whether a report to a controller, sent at least age ago, waits for its
// answer.
func (w *worker) pendingAt(node int, age time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.awaiting && w.sentTo == node && time.Since(w.sentAt) >= age
}

// task is a task on a machine.
type task struct {
	shard  string
	try    uint64
	phase  string
	cause  string
	job    *job
	onHost bool // from when it has its image until it has exited
}

type order struct {
	Verb     string  `json:"verb"`
	Shard    string  `json:"shard"`
	Try      uint64  `json:"try"`
	WindDown float64 `json:"wind_down_s"`
}

func newWorker(c *cluster, h *host, f *flavor) *worker {
	w := &worker{cluster: c, host: h, flavor: f, tenure: 1, images: map[string]time.Time{}, changed: make(chan struct{}, 1)}
	listener := listen()
	w.direct = newProxy(listener.Addr().String())
	w.addr = w.direct.addr()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.handleDirect)
	mux.HandleFunc("GET /inspect", w.handleInspect)
	go func() { _ = http.Serve(listener, mux) }()
	w.client = newWorkerClient()
	return w
}

// newWorkerClient returns a client that keeps one connection open.
func newWorkerClient() *http.Client {
	dialer := &net.Dialer{Timeout: responseTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:        dialer.DialContext,
		DisableCompression: true,
		MaxConnsPerHost:    1,
		IdleConnTimeout:    time.Minute,
	}}
}

// run reports to the controllers until the machine is gone.
func (w *worker) run() {
	w.mu.Lock()
	w.running = true
	w.sessionStart = time.Now()
	w.mu.Unlock()
	go w.watchLease()
	for w.isRunning() {
		sent := time.Now()
		pause, again := w.report(sent)
		if again {
			w.sleep(pause)
			continue
		}
		w.waitForReport(sent)
	}
}

func (w *worker) isRunning() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

func (w *worker) sleep(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && w.isRunning(); {
		time.Sleep(min(20*time.Millisecond, time.Until(end)))
	}
}

// waitForReport waits until the next report is due: after report_s plus or minus a quarter,
// as near to the phase of the worker as that allows, or earlier after a change.
func (w *worker) waitForReport(sent time.Time) {
	interval := w.cluster.settings.report
	w.mu.Lock()
	phase := w.phase
	w.mu.Unlock()
	offset := (sent.Sub(w.cluster.start) - phase) % interval
	shift := -offset
	if offset > interval/2 {
		shift = interval - offset
	}
	next := sent.Add(interval + max(-interval/4, min(interval/4, shift)))
	select {
	case <-w.changed:
		w.sleep(time.Until(sent.Add(minReportPause)))
	case <-time.After(time.Until(next)):
	}
}

// notify asks for a report before the regular one.
func (w *worker) notify() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// stop ends the machine with all that is on it.
func (w *worker) stop(reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = false
	w.killAll(reason)
}

func (w *worker) killAll(reason string) {
	for _, t := range w.tasks {
		if t.phase != "exited" {
			w.exit(t, reason)
		}
	}
	w.tasks = nil
}

// watchLease starts a new session when the lease has expired.
func (w *worker) watchLease() {
	for w.isRunning() {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if time.Since(w.sessionStart) > w.cluster.settings.lease {
			w.cluster.record(w.host.name, "lease expired: session %d ends", w.tenure)
			w.killAll("lease expired")
			w.tenure++
			w.sessionStart = time.Now()
			w.notify()
		}
		w.mu.Unlock()
	}
}

// status returns the body of a report. The caller holds the lock.
func (w *worker) status() []byte {
	w.tick++
	shards := []map[string]any{}
	for _, t := range w.tasks {
		entry := map[string]any{"shard": t.shard, "try": t.try, "phase": t.phase}
		if t.phase == "exited" {
			entry["cause"] = t.cause
		}
		shards = append(shards, entry)
	}
	shardList, _ := json.Marshal(shards)
	return fmt.Appendf(nil, `{"host":%q,"addr":%q,"flavor":%q,"yard":%q,"loaners":%t,"tenure":%d,"tick":%d,"fence":%d,"recall_s":null,"shards":%s}`,
		w.host.name, w.addr, w.host.flavor, w.host.yard, w.host.loaners, w.tenure, w.tick, w.fence, shardList)
}

// report sends a report to the current controller. again means that the next one follows
// after the pause, to the controller that is current then.
func (w *worker) report(sent time.Time) (pause time.Duration, again bool) {
	w.mu.Lock()
	body := w.status()
	tenure, tick, node := w.tenure, w.tick, w.node
	listed := len(w.tasks)
	w.sentAt, w.sentTo, w.awaiting = sent, node, true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.awaiting = false
		w.mu.Unlock()
	}()
	label := w.cluster.labels[node]
	w.cluster.record(w.host.name, "report to %s: tenure %d tick %d fence %d tasks %d, %d bytes", label, tenure, tick, w.fenceSeen(), listed, len(body))
	if len(body) > maxReportBytes {
		w.cluster.record(w.host.name, "report can't be sent: longer than %d bytes", maxReportBytes)
		return w.nextNode(node)
	}
	status, answer, err := w.post(w.cluster.workerAddrs[node], body)
	if err != nil {
		w.cluster.record(w.host.name, "no usable answer from %s to tick %d: %v", label, tick, err)
		return w.nextNode(node)
	}
	switch status {
	case http.StatusOK:
		w.handleAnswer(label, tick, tenure, sent, answer)
		return 0, false
	case http.StatusMisdirectedRequest:
		return w.redirect(node, tick, answer)
	default:
		w.cluster.record(w.host.name, "answer %d from %s to tick %d", status, label, tick)
		return w.nextNode(node)
	}
}

func (w *worker) fenceSeen() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence
}

func (w *worker) post(addr string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/hello", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	// net/http would otherwise send the report again on a new connection.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(request)
	if err != nil {
		w.client.CloseIdleConnections()
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	for _, line := range bytes.Split(answer, []byte("\n")) {
		if len(line) > maxLineBytes {
			w.cluster.checker.add(ruleLineLimit, "a line of %d bytes, longer than %d, in a response to worker %s", len(line), maxLineBytes, w.host.name)
			w.client.CloseIdleConnections()
			return 0, nil, fmt.Errorf("a line of %d bytes, longer than %d", len(line), maxLineBytes)
		}
	}
	return response.StatusCode, answer, nil
}

// nextNode turns to the next controller, one second later.
func (w *worker) nextNode(node int) (time.Duration, bool) {
	w.client.CloseIdleConnections()
	w.mu.Lock()
	w.node = (node + 1) % len(w.cluster.labels)
	w.mu.Unlock()
	return retryPause, true
}

func (w *worker) redirect(node int, tick uint64, answer []byte) (time.Duration, bool) {
	var body struct {
		Steward string `json:"steward"`
	}
	_ = json.Unmarshal(answer, &body)
	w.cluster.record(w.host.name, "answer 421 from %s to tick %d, steward %q", w.cluster.labels[node], tick, body.Steward)
	for i, label := range w.cluster.labels {
		if label == body.Steward && i != node {
			w.client.CloseIdleConnections()
			w.mu.Lock()
			w.node = i
			w.mu.Unlock()
			return 0, true
		}
	}
	return w.nextNode(node)
}

// handleAnswer handles the answer 200 to a report.
func (w *worker) handleAnswer(label string, tick, tenure uint64, sent time.Time, answer []byte) {
	var body struct {
		Fence  *uint64 `json:"fence"`
		Orders []order `json:"orders"`
	}
	err := json.Unmarshal(answer, &body)
	w.mu.Lock()
	defer w.mu.Unlock()
	dropped := ""
	switch {
	case err != nil:
		dropped = "malformed"
	case tenure != w.tenure:
		dropped = "earlier session"
	case body.Fence == nil || *body.Fence < w.fence:
		dropped = "lower token"
	case !w.running:
		dropped = "machine gone"
	}
	if dropped != "" {
		w.cluster.record(w.host.name, "answer 200 from %s to tick %d dropped: %s", label, tick, dropped)
		return
	}
	w.cluster.record(w.host.name, "answer 200 from %s to tick %d: fence %d, %d orders %s", label, tick, *body.Fence, len(body.Orders), clip(answer))
	w.raiseFence(*body.Fence)
	if sent.After(w.sessionStart) {
		w.sessionStart = sent
	}
	w.execute(body.Orders)
}

func (w *worker) raiseFence(fence uint64) {
	if fence <= w.fence {
		return
	}
	w.fence = fence
	if time.Since(w.fenceReport) >= w.cluster.settings.lease/2 {
		w.fenceReport = time.Now()
		w.notify()
	}
}

func (w *worker) handleDirect(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Fence  *uint64 `json:"fence"`
		Tenure *uint64 `json:"tenure"`
		Orders []order `json:"orders"`
	}
	raw, err := readBody(r, maxStateBody)
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusOK
	switch {
	case err != nil || json.Unmarshal(raw, &body) != nil || body.Fence == nil || body.Tenure == nil:
		rw.WriteHeader(http.StatusBadRequest)
		return
	case !w.running:
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case *body.Fence < w.fence || *body.Tenure != w.tenure:
		status = http.StatusConflict
	default:
		w.raiseFence(*body.Fence)
		w.execute(body.Orders)
	}
	w.cluster.record(w.host.name, "direct command: status %d %s", status, clip(raw))
	rw.WriteHeader(status)
	_, _ = rw.Write(w.status())
}

func (w *worker) handleInspect(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = rw.Write(w.status())
}

// execute executes commands in order. The caller holds the lock.
func (w *worker) execute(orders []order) {
	for _, o := range orders {
		switch o.Verb {
		case "start":
			w.startTask(o)
		case "stop":
			// No task of these scenarios has checkpoints, so each exits at once.
			if t := w.find(o.Shard, o.Try); t != nil && t.phase != "exited" {
				w.exit(t, "halted")
			}
		case "reap":
			w.reap(o)
		}
	}
}

func (w *worker) find(shard string, try uint64) *task {
	for _, t := range w.tasks {
		if t.shard == shard && t.try == try {
			return t
		}
	}
	return nil
}

func (w *worker) reap(o order) {
	for i, t := range w.tasks {
		if t.shard == o.Shard && t.try == o.Try && t.phase == "exited" {
			w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
			w.notify()
			return
		}
	}
}

// startTask carries out the command start. The caller holds the lock.
func (w *worker) startTask(o order) {
	if w.find(o.Shard, o.Try) != nil {
		return
	}
	t := &task{shard: o.Shard, try: o.Try, phase: "exited", job: w.cluster.jobOf(o.Shard)}
	w.tasks = append(w.tasks, t)
	w.notify()
	if t.job == nil {
		t.cause = "unknown"
		return
	}
	cores, cards, ram := w.flavor.Cores, w.flavor.Cards, w.flavor.RAM
	for _, other := range w.tasks {
		if other == t || other.phase == "exited" {
			continue
		}
		if other.shard == t.shard {
			t.cause = "in_use"
			return
		}
		cores -= other.job.Cores
		cards -= other.job.Cards
		ram -= other.job.RAM
	}
	const rounding = 1e-6
	if t.job.Cores > cores+rounding || t.job.Cards > cards+rounding || t.job.RAM > ram+rounding {
		t.cause = "full"
		return
	}
	t.phase = "pulling"
	ready, known := w.images[t.job.Bundle]
	if !known {
		ready = time.Now().Add(time.Duration(t.job.ImageGB / w.flavor.Fetch * float64(time.Second)))
		w.images[t.job.Bundle] = ready
	}
	time.AfterFunc(time.Until(ready), func() { w.begin(t) })
}

// begin begins a task that has its image.
func (w *worker) begin(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.phase != "pulling" {
		return
	}
	t.phase = "running"
	t.onHost = true
	w.cluster.checker.started(w.host, t)
	w.notify()
	if t.job.Shape == "daemon" {
		return
	}
	time.AfterFunc(t.job.runTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.phase == "running" {
			w.exit(t, "done")
		}
	})
}

// exit ends a task. The caller holds the lock.
func (w *worker) exit(t *task, cause string) {
	t.phase = "exited"
	t.cause = cause
	if t.onHost {
		t.onHost = false
		w.cluster.checker.ended(w.host, t)
	}
	w.notify()
}

func clip(data []byte) string {
	const most = 400
	if len(data) <= most {
		return string(data)
	}
	return string(data[:most]) + "..."
}
