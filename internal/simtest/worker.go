package simtest

import (
	"encoding/json"
	"sort"
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

// die ends the machine.
func (k *worker) die() {
	k.killAll()
	k.up = false
}
