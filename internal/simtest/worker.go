package simtest

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"
)

// worker is a stand-in of a machine's worker.
type worker struct {
	w                  *World
	name, addr         string
	machineType, zone  string
	spot               bool
	up                 bool
	slow               float64 // run times are multiplied by this, 0: by 1
	session, sequence  uint64
	token              uint64
	reclaimAt          time.Duration
	tasks              map[string]*task
	images             map[string]bool
	target             int
	inflight           bool
	changed            bool
	lastSent, nextTime time.Duration
	leaseFrom          time.Duration
	tokenSeen          time.Duration
	reportsBlocked     bool // it reaches no controller, direct commands reach it
	faulty             bool // every task that starts on it fails
	hangState
}

type task struct {
	on      *worker
	job     *job
	name    string
	index   int
	attempt uint64
	phase   string
	cause   string
	stored  bool
	begun   time.Duration // of running, in time that the machine executed, for progress
	gen     int           // outdates scheduled events
}

func (t *task) onMachine() bool {
	return t.phase == "waiting" || t.phase == "running" || t.phase == "saving"
}

// job is what users upload.
type job struct {
	id                 string
	team, class        string
	asked              time.Duration // when its user first got an answer
	began              time.Duration // when it first ran, a gang as a whole
	shape              string
	taskCount          int
	cpus, gpus         float64
	memory             float64
	machineTypes       []string
	zone               string
	sameZone, scatter  bool
	allowSpot          bool
	checkpointInterval time.Duration
	checkpointDuration time.Duration
	run                time.Duration
	image              time.Duration
	broken             bool // fails on every machine
	attempts           int  // starts that workers executed
	stopped            int  // tasks stopped by a command while the job was neither finished nor cancelled
	progress           map[int]time.Duration
	complete           map[int]bool
	gangs              map[uint64]*gang
	submitted          bool
	awaits             []string // jobs that must be done before any task of it starts
	body               []byte   // the submission
	never              int      // the status with which it is to be refused, 0: it can run
}

func (j *job) begin(now time.Duration) {
	if j.began == 0 {
		j.began = now
	}
}

type gang struct {
	tasks   map[int]*task
	started bool
	over    bool
	stopAt  time.Duration
	stopped map[int]bool
}

func newWorker(w *World, name, addr, machineType, zone string, spot bool) *worker {
	k := &worker{w: w, name: name, addr: addr, machineType: machineType, zone: zone, spot: spot, up: true, session: 1, tasks: map[string]*task{},
		images: map[string]bool{}, leaseFrom: w.now, target: w.rng.IntN(len(w.nodes)), changed: true}
	w.workers[addr] = k
	if w.unreachableNext > 0 {
		w.unreachableNext--
		w.BlockInbound(k, true)
	}
	k.loop()
	return k
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (k *worker) loop() {
	if !k.up {
		return
	}
	k.w.after(100*time.Millisecond, k.loop)
	if k.hung {
		return
	}
	k.endLease()
	if !k.inflight && (k.w.now >= k.nextTime || (k.changed && k.w.now-k.lastSent >= 500*time.Millisecond)) {
		k.report()
	}
}

func (k *worker) killAll() {
	for _, t := range k.sorted() {
		k.vanish(t)
	}
	k.tasks = map[string]*task{}
	k.images = map[string]bool{}
}

func (k *worker) sorted() []*task {
	var list []*task
	for _, t := range k.tasks {
		list = append(list, t)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}

func (k *worker) body() map[string]any {
	k.sequence++
	var reclaimIn any
	if k.reclaimAt != 0 {
		reclaimIn = (k.reclaimAt - k.w.now).Seconds()
	}
	shards := []object{}
	for _, t := range k.sorted() {
		o := object{"shard": t.name, "try": t.attempt, "phase": t.phase}
		if t.phase == "exited" {
			o["cause"] = t.cause
			if t.stored {
				o["stored"] = true
			}
		}
		shards = append(shards, o)
	}
	return object{"host": k.name, "addr": k.addr, "flavor": k.machineType, "yard": k.zone, "loaners": k.spot, "tenure": k.session,
		"tick": k.sequence, "fence": k.token, "recall_s": reclaimIn, "shards": shards}
}

func (k *worker) report() {
	k.inflight, k.changed = true, false
	k.lastSent = k.w.now
	every := seconds(k.w.cfg.Settings.Workers.ReportS)
	k.nextTime = k.w.now + every*3/4 + time.Duration(k.w.rng.Int64N(int64(every/2)))
	body, _ := json.Marshal(k.body())
	sent, session := k.w.now, k.session
	take := func(status int, body []byte) {
		k.inflight = false
		if !k.up {
			return
		}
		var v struct {
			FencingToken uint64  `json:"fence"`
			Steward      string  `json:"steward"`
			Orders       []order `json:"orders"`
		}
		_ = json.Unmarshal(body, &v)
		if status == 421 && v.Steward != "" {
			for i, n := range k.w.nodes {
				if n.name == v.Steward && i != k.target {
					k.target = i
					k.changed = true
					k.lastSent = k.w.now - 400*time.Millisecond
					return
				}
			}
		}
		if status != 200 {
			k.target = (k.target + 1) % len(k.w.nodes)
			k.nextTime = k.w.now + time.Second
			return
		}
		if v.FencingToken < k.token || v.FencingToken == 0 || session != k.session {
			return
		}
		k.see(v.FencingToken)
		k.leaseFrom = max(k.leaseFrom, sent)
		k.execute(v.Orders)
	}
	if k.reportsBlocked {
		// No connection comes about, at once or after a while.
		k.w.after(time.Duration(k.w.rng.Int64N(int64(answerTimeout))), func() { k.whenAwake(func() { take(0, nil) }) })
		return
	}
	k.w.request(k.name, k.w.nodes[k.target], "POST", "/hello", body, answerTimeout, func(status int, body []byte) {
		k.whenAwake(func() {
			if k.w.now-sent >= answerTimeout {
				status, body = 0, nil // it came while the machine hung
			}
			take(status, body)
		})
	})
}

func (k *worker) see(token uint64) {
	if token > k.token {
		k.token = token
		if k.w.now-k.tokenSeen > seconds(k.w.cfg.Settings.Workers.LeaseS/2) || k.tokenSeen == 0 {
			k.changed, k.tokenSeen = true, k.w.now
		}
	}
}

type order struct {
	Verb    string  `json:"verb"`
	Task    string  `json:"shard"`
	Attempt uint64  `json:"try"`
	Wind    float64 `json:"wind_down_s"`
}

// serve answers a direct command.
func (k *worker) serve(path string, body []byte, answer func(int, any)) {
	if !k.up {
		return
	}
	if k.hung {
		// Held until the machine goes on, then executed like any other.
		k.whenAwake(func() { k.serve(path, body, answer) })
		return
	}
	if path == "/do" {
		var v struct {
			FencingToken *uint64 `json:"fence"`
			Session      *uint64 `json:"tenure"`
			Orders       []order `json:"orders"`
		}
		if json.Unmarshal(body, &v) != nil || v.FencingToken == nil || v.Session == nil {
			k.w.fault("bad direct command %s", body)
			answer(400, nil)
			return
		}
		if *v.FencingToken < k.token || *v.Session != k.session {
			answer(409, k.body())
			return
		}
		k.see(*v.FencingToken)
		k.execute(v.Orders)
	}
	answer(200, k.body())
}

func (k *worker) execute(orders []order) {
	for _, o := range orders {
		t := k.tasks[o.Task]
		switch o.Verb {
		case "start":
			if t != nil && t.attempt == o.Attempt {
				continue
			}
			k.start(o)
		case "stop":
			if t != nil && t.attempt == o.Attempt && t.phase != "exited" {
				k.w.check.stopped(t)
				k.stop(t, seconds(o.Wind))
			}
		case "reap":
			if t != nil && t.attempt == o.Attempt && t.phase == "exited" {
				delete(k.tasks, o.Task)
				k.changed = true
			}
		default:
			k.w.fault("unknown order %q", o.Verb)
		}
	}
}

func (k *worker) start(o order) {
	k.changed = true
	i := strings.LastIndexByte(o.Task, '/')
	var index int
	_, _ = fmt.Sscan(o.Task[i+1:], &index)
	j := k.w.jobs[o.Task[:i]]
	t := &task{on: k, job: j, name: o.Task, index: index, attempt: o.Attempt, phase: "exited"}
	if old := k.tasks[o.Task]; old != nil {
		k.w.check.refused("in_use", o.Task)
		return // refused without a trace: the old attempt keeps its line
	}
	k.tasks[o.Task] = t
	if j == nil || index >= j.taskCount {
		t.cause = "unknown"
		return
	}
	f := machineTypes[k.machineType]
	cpus, gpus, memory := f.cpus, f.gpus, f.memory
	for _, x := range k.tasks {
		if x.phase != "exited" {
			cpus -= x.job.cpus
			gpus -= x.job.gpus
			memory -= x.job.memory
		}
	}
	if j.cpus > cpus+1e-9 || j.gpus > gpus+1e-9 || j.memory > memory+1e-9 {
		t.cause = "full"
		k.w.check.refused("full", o.Task)
		return
	}
	t.phase = "pulling"
	wait := j.image
	if k.images[j.id] {
		wait = 0
	}
	k.w.later(t, wait, func() {
		k.images[j.id] = true
		k.changed = true
		k.w.check.started(t)
		switch {
		case j.complete[index]:
			k.exit(t, "done", false)
		case j.shape == "gang":
			t.phase = "waiting"
			k.joinGang(t)
		case t.fails():
			t.phase = "running"
			k.failSoon(t)
		default:
			t.phase, t.begun = "running", k.executed()
			j.begin(k.w.now)
			if j.shape == "array" {
				left := j.run - j.progress[index]
				if k.slow > 0 {
					left = time.Duration(float64(left) * k.slow)
				}
				k.w.later(t, left, func() {
					j.complete[index] = true
					k.exit(t, "done", false)
					k.w.ended(j)
				})
			}
		}
	})
}

// failureDelay is how long a task that fails runs before it exits.
const failureDelay = 300 * time.Millisecond

// fails tells whether a task can only fail: because of its job or its machine.
func (t *task) fails() bool { return t.job.broken || t.on.faulty }

// failSoon lets a running task exit with an error.
func (k *worker) failSoon(t *task) {
	k.w.later(t, failureDelay, func() { k.exit(t, "error", false) })
}

// later runs f unless the task has changed state by then.
func (w *World) later(t *task, d time.Duration, f func()) {
	t.gen++
	gen := t.gen
	t.on.afterExecuting(max(d, 0), func() {
		if t.gen == gen && t.on.up && t.on.tasks[t.name] == t {
			f()
		}
	})
}

func (k *worker) exit(t *task, cause string, stored bool) {
	t.gen++
	t.phase, t.cause, t.stored = "exited", cause, stored
	k.changed = true
	if g := t.job.gangs[t.attempt]; g != nil && cause != "done" {
		k.w.leaveGang(t, g)
	}
}

// vanish removes a task without a trace.
func (k *worker) vanish(t *task) {
	t.gen++
	t.phase = "exited"
	if g := t.job; g != nil {
		if g := g.gangs[t.attempt]; g != nil {
			k.w.leaveGang(t, g)
		}
	}
}

func (k *worker) joinGang(t *task) {
	j := t.job
	g := j.gangs[t.attempt]
	if g == nil {
		g = &gang{tasks: map[int]*task{}, stopped: map[int]bool{}}
		j.gangs[t.attempt] = g
	}
	g.tasks[t.index] = t
	if !g.started && len(g.tasks) == j.taskCount {
		g.started = true
		failing := false
		for i := range j.taskCount {
			m := g.tasks[i]
			m.phase, m.begun = "running", m.on.executed()
			m.on.changed = true
			m.gen++
			if m.fails() {
				failing = true
				m.on.failSoon(m)
			}
		}
		if !failing {
			j.begin(k.w.now)
			k.w.endsAfter(j, g, j.run-j.progress[0])
		}
		return
	}
	k.w.later(t, seconds(k.w.cfg.Settings.Workers.GangWaitS), func() { k.exit(t, "incomplete", false) })
}

func (w *World) leaveGang(t *task, g *gang) {
	if g.tasks[t.index] == t {
		delete(g.tasks, t.index)
	}
	if !g.started || g.over {
		return
	}
	if t.cause == "halted" && t.stored {
		return
	}
	g.over = true
	w.after(seconds(w.cfg.Settings.Workers.GangPeerS), func() { w.endGang(t.job, g) })
}

func (k *worker) stop(t *task, wind time.Duration) {
	j := t.job
	k.changed = true
	if t.phase == "saving" {
		if wind == 0 {
			k.exit(t, "halted", false)
		}
		return
	}
	if t.phase != "running" || j.checkpointInterval == 0 || wind < j.checkpointDuration {
		k.exit(t, "halted", false)
		return
	}
	made := j.progress[t.index] + k.executed() - t.begun
	if j.shape == "gang" {
		g := j.gangs[t.attempt]
		if g.stopAt == 0 {
			g.stopAt = k.w.now
		}
		g.stopped[t.index] = true
		t.phase = "saving"
		k.w.later(t, j.checkpointDuration, func() {
			saved := len(g.stopped) == j.taskCount && !g.over
			if saved {
				j.progress[0] = made
			}
			k.exit(t, "halted", saved)
		})
		return
	}
	t.phase = "saving"
	k.w.later(t, j.checkpointDuration, func() {
		j.progress[t.index] = made
		k.exit(t, "halted", true)
	})
}

// die ends the machine.
func (k *worker) die() {
	k.killAll()
	k.up = false
}
