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
	flavor, zone       string
	spot               bool
	up                 bool
	slow               float64 // run times are multiplied by this, 0: by 1
	tenure, tick       uint64
	fence              uint64
	recallAt           time.Duration
	tasks              map[string]*task
	images             map[string]bool
	target             int
	inflight           bool
	changed            bool
	lastSent, nextTime time.Duration
	leaseFrom          time.Duration
	fenceSeen          time.Duration
	mute               bool // it reaches no controller, direct commands reach it
	stillness
}

type task struct {
	on     *worker
	job    *job
	shard  string
	index  int
	try    uint64
	phase  string
	cause  string
	stored bool
	begun  time.Duration // of running, in time that the machine executed, for progress
	gen    int           // outdates scheduled events
}

func (t *task) onMachine() bool {
	return t.phase == "waiting" || t.phase == "running" || t.phase == "saving"
}

// job is what users upload.
type job struct {
	id            string
	team, class   string
	asked         time.Duration // when its user first got an answer
	began         time.Duration // when it first ran, a gang as a whole
	shape         string
	n             int
	cores, cards  float64
	ram           float64
	flavors       []string
	yard          string
	same, scatter bool
	loaners       bool
	snapEvery     time.Duration
	snapCost      time.Duration
	run           time.Duration
	image         time.Duration
	broken        bool // fails on every machine
	progress      map[int]time.Duration
	complete      map[int]bool
	gangs         map[uint64]*gang
	submitted     bool
	awaits        []string // jobs that must be done before any task of it starts
	body          []byte   // the submission
	never         int      // the status with which it is to be refused, 0: it can run
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

func newWorker(w *World, name, addr, flavor, zone string, spot bool) *worker {
	k := &worker{w: w, name: name, addr: addr, flavor: flavor, zone: zone, spot: spot, up: true, tenure: 1, tasks: map[string]*task{},
		images: map[string]bool{}, leaseFrom: w.now, target: w.rng.IntN(len(w.nodes)), changed: true}
	w.workers[addr] = k
	if w.deafNext > 0 {
		w.deafNext--
		w.Deafen(k, true)
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
	sort.Slice(list, func(a, b int) bool { return list[a].shard < list[b].shard })
	return list
}

func (k *worker) body() map[string]any {
	k.tick++
	var recall any
	if k.recallAt != 0 {
		recall = (k.recallAt - k.w.now).Seconds()
	}
	shards := []object{}
	for _, t := range k.sorted() {
		o := object{"shard": t.shard, "try": t.try, "phase": t.phase}
		if t.phase == "exited" {
			o["cause"] = t.cause
			if t.stored {
				o["stored"] = true
			}
		}
		shards = append(shards, o)
	}
	return object{"host": k.name, "addr": k.addr, "flavor": k.flavor, "yard": k.zone, "loaners": k.spot, "tenure": k.tenure,
		"tick": k.tick, "fence": k.fence, "recall_s": recall, "shards": shards}
}

func (k *worker) report() {
	k.inflight, k.changed = true, false
	k.lastSent = k.w.now
	every := seconds(k.w.cfg.Settings.Workers.ReportS)
	k.nextTime = k.w.now + every*3/4 + time.Duration(k.w.rng.Int64N(int64(every/2)))
	body, _ := json.Marshal(k.body())
	sent, tenure := k.w.now, k.tenure
	take := func(status int, body []byte) {
		k.inflight = false
		if !k.up {
			return
		}
		var v struct {
			Fence   uint64  `json:"fence"`
			Steward string  `json:"steward"`
			Orders  []order `json:"orders"`
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
		if v.Fence < k.fence || v.Fence == 0 || tenure != k.tenure {
			return
		}
		k.see(v.Fence)
		k.leaseFrom = max(k.leaseFrom, sent)
		k.execute(v.Orders)
	}
	if k.mute {
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

func (k *worker) see(fence uint64) {
	if fence > k.fence {
		k.fence = fence
		if k.w.now-k.fenceSeen > seconds(k.w.cfg.Settings.Workers.LeaseS/2) || k.fenceSeen == 0 {
			k.changed, k.fenceSeen = true, k.w.now
		}
	}
}

type order struct {
	Verb  string  `json:"verb"`
	Shard string  `json:"shard"`
	Try   uint64  `json:"try"`
	Wind  float64 `json:"wind_down_s"`
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
			Fence  *uint64 `json:"fence"`
			Tenure *uint64 `json:"tenure"`
			Orders []order `json:"orders"`
		}
		if json.Unmarshal(body, &v) != nil || v.Fence == nil || v.Tenure == nil {
			k.w.fault("bad direct command %s", body)
			answer(400, nil)
			return
		}
		if *v.Fence < k.fence || *v.Tenure != k.tenure {
			answer(409, k.body())
			return
		}
		k.see(*v.Fence)
		k.execute(v.Orders)
	}
	answer(200, k.body())
}

func (k *worker) execute(orders []order) {
	for _, o := range orders {
		t := k.tasks[o.Shard]
		switch o.Verb {
		case "start":
			if t != nil && t.try == o.Try {
				continue
			}
			k.start(o)
		case "stop":
			if t != nil && t.try == o.Try && t.phase != "exited" {
				k.stop(t, seconds(o.Wind))
			}
		case "reap":
			if t != nil && t.try == o.Try && t.phase == "exited" {
				delete(k.tasks, o.Shard)
				k.changed = true
			}
		default:
			k.w.fault("unknown order %q", o.Verb)
		}
	}
}

func (k *worker) start(o order) {
	k.changed = true
	i := strings.LastIndexByte(o.Shard, '/')
	var index int
	_, _ = fmt.Sscan(o.Shard[i+1:], &index)
	j := k.w.jobs[o.Shard[:i]]
	t := &task{on: k, job: j, shard: o.Shard, index: index, try: o.Try, phase: "exited"}
	if old := k.tasks[o.Shard]; old != nil {
		k.w.check.refused("in_use", o.Shard)
		return // refused without a trace: the old attempt keeps its line
	}
	k.tasks[o.Shard] = t
	if j == nil || index >= j.n {
		t.cause = "unknown"
		return
	}
	f := flavors[k.flavor]
	cores, cards, ram := f.cores, f.cards, f.ram
	for _, x := range k.tasks {
		if x.phase != "exited" {
			cores -= x.job.cores
			cards -= x.job.cards
			ram -= x.job.ram
		}
	}
	if j.cores > cores+1e-9 || j.cards > cards+1e-9 || j.ram > ram+1e-9 {
		t.cause = "full"
		k.w.check.refused("full", o.Shard)
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
		case j.broken:
			t.phase = "running"
			k.w.later(t, 300*time.Millisecond, func() { k.exit(t, "error", false) })
		case j.shape == "gang":
			t.phase = "waiting"
			k.joinGang(t)
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

// later runs f unless the task has changed state by then.
func (w *World) later(t *task, d time.Duration, f func()) {
	t.gen++
	gen := t.gen
	t.on.afterExecuting(max(d, 0), func() {
		if t.gen == gen && t.on.up && t.on.tasks[t.shard] == t {
			f()
		}
	})
}

func (k *worker) exit(t *task, cause string, stored bool) {
	t.gen++
	t.phase, t.cause, t.stored = "exited", cause, stored
	k.changed = true
	if g := t.job.gangs[t.try]; g != nil && cause != "done" {
		k.w.leaveGang(t, g)
	}
}

// vanish removes a task without a trace.
func (k *worker) vanish(t *task) {
	t.gen++
	t.phase = "exited"
	if g := t.job; g != nil {
		if g := g.gangs[t.try]; g != nil {
			k.w.leaveGang(t, g)
		}
	}
}

func (k *worker) joinGang(t *task) {
	j := t.job
	g := j.gangs[t.try]
	if g == nil {
		g = &gang{tasks: map[int]*task{}, stopped: map[int]bool{}}
		j.gangs[t.try] = g
	}
	g.tasks[t.index] = t
	if !g.started && len(g.tasks) == j.n {
		g.started = true
		j.begin(k.w.now)
		for i := range j.n {
			m := g.tasks[i]
			m.phase, m.begun = "running", m.on.executed()
			m.on.changed = true
			m.gen++
		}
		k.w.endsAfter(j, g, j.run-j.progress[0])
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
	if t.phase != "running" || j.snapEvery == 0 || wind < j.snapCost {
		k.exit(t, "halted", false)
		return
	}
	made := j.progress[t.index] + k.executed() - t.begun
	if j.shape == "gang" {
		g := j.gangs[t.try]
		if g.stopAt == 0 {
			g.stopAt = k.w.now
		}
		g.stopped[t.index] = true
		t.phase = "saving"
		k.w.later(t, j.snapCost, func() {
			saved := len(g.stopped) == j.n && !g.over
			if saved {
				j.progress[0] = made
			}
			k.exit(t, "halted", saved)
		})
		return
	}
	t.phase = "saving"
	k.w.later(t, j.snapCost, func() {
		j.progress[t.index] = made
		k.exit(t, "halted", true)
	})
}

// die ends the machine.
func (k *worker) die() {
	k.killAll()
	k.up = false
}
