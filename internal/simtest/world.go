// Package simtest plays whole scenarios in virtual time: several cores against
// stand-ins of the state service, the cloud and the workers, written from
// their published protocols, with a checker that watches the rules.
package simtest

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"lugward/internal/config"
	"lugward/internal/core"
	"lugward/internal/event"
)

const (
	stateAddr = "10.2.0.1:2379"
	cloudAddr = "10.2.0.2:8443"
	tickEvery = 50 * time.Millisecond
)

// dayBegin is the time of day at which every world begins.
var dayBegin = time.Unix(1_700_000_000, 0)

// World is one simulated deployment.
type World struct {
	now      time.Duration
	schedule schedule
	seq      int
	rng      *rand.Rand
	cfg      *config.Platform

	nodes   []*node
	state   *state
	cloud   *cloud
	workers map[string]*worker // by address
	jobs    map[string]*job
	check   *Checker

	cut             map[[2]string]bool
	lost            map[[2]string]bool // packets that way vanish
	copies          float64            // share of reports of which a copy comes later, to any node
	copyLate        time.Duration      // by at most this
	unreachableNext int                // so many of the next machines are unreachable
	users           *node              // whom users ask, nil: any
	held            []heldPacket
	loss            float64 // share of packets between machines that are lost
	late            float64 // share of calls to the state service and cloud executed late as well
	pageLimit       int
	announced       bool              // the settings tell of lower limits of the state service
	answers         map[string]string // to requests that nobody waits for, by what was asked
	faults          []string          // errors of the service against its own limits
	log             *slog.Logger
	troubles
}

type heldPacket struct {
	path [2]string
	do   func()
}

type scheduled struct {
	at  time.Duration
	seq int
	do  func()
}

type schedule []scheduled

func (e schedule) Len() int { return len(e) }
func (e schedule) Less(a, b int) bool {
	return e[a].at < e[b].at || (e[a].at == e[b].at && e[a].seq < e[b].seq)
}
func (e schedule) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *schedule) Push(x any)   { *e = append(*e, x.(scheduled)) }
func (e *schedule) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Settings are the JSON settings that every simulated controller gets.
const Settings = `{"label":"n0","site":"a","bind":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081","seeds":[],
"services":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"settings":{"count":3,"zones":["a","b"],
"teams":[{"name":"red","gpus":4,"gpus_max":8},{"name":"blue","gpus":4,"cpus_max":16}],"objectives":[],
"workers":{"report_s":1,"lease_s":10,"gang_wait_s":15,"gang_peer_s":2,"cancel_s":25},
"state":{"rps":100,"write_rps":60,"value_kb":4,"txn_ops":12},
"cloud":{"rps":4,"list_lag_s":2},
"resources":{"core_share":0.1,"ram_mb":100,"max_connections":500},"skew_ms":100}}`

// New returns a world with so many controllers. tune changes the settings.
func New(nodes int, seed uint64, log io.Writer, tune ...func(*config.Platform)) *World {
	return NewWith(Settings, nodes, seed, log, tune...)
}

// NewWith is New with settings of its own.
func NewWith(settings string, nodes int, seed uint64, log io.Writer, tune ...func(*config.Platform)) *World {
	cfg, err := config.Parse([]byte(settings))
	if err != nil {
		panic(err)
	}
	for _, f := range tune {
		f(cfg)
	}
	w := &World{rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, workers: map[string]*worker{}, jobs: map[string]*job{},
		cut: map[[2]string]bool{}, lost: map[[2]string]bool{}, pageLimit: 1000, answers: map[string]string{},
		announced: strings.Contains(settings, `"next":`), log: slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelInfo}))}
	w.state, w.cloud, w.check = newState(w), newCloud(w), newChecker(w)
	for i := range nodes {
		w.nodes = append(w.nodes, &node{w: w, index: i, name: fmt.Sprintf("n%d", i)})
	}
	for _, n := range w.nodes {
		n.boot()
	}
	return w
}

func (w *World) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.schedule, scheduled{w.now + d, w.seq, f})
}

// Run plays for d.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for len(w.schedule) > 0 && w.schedule[0].at <= end {
		e := heap.Pop(&w.schedule).(scheduled)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *World) fault(f string, a ...any) { w.faults = append(w.faults, fmt.Sprintf(f, a...)) }

// send delivers a packet after the network's delay. A cut holds it back; lost
// packets of a stream are resent, so a loss only ends the exchange.
func (w *World) send(from, to string, do func()) {
	path := [2]string{from, to}
	if w.lost[path] {
		return
	}
	if w.cut[path] {
		w.held = append(w.held, heldPacket{path, do})
		return
	}
	if w.rng.Float64() < w.loss {
		return
	}
	w.after(time.Millisecond+time.Duration(w.rng.Int64N(int64(4*time.Millisecond))), do)
}

// BlockInbound lets a machine be heard while nothing reaches it, or ends that.
func (w *World) BlockInbound(k *worker, on bool) {
	for _, n := range w.nodes {
		w.lost[[2]string{n.name, k.name}] = on
	}
}

// isolate cuts a controller off from the state service and the other
// controllers, but not from its workers.
func (w *World) isolate(n *node, on bool) {
	w.Cut(n.name, "state", on)
	for _, o := range w.nodes {
		if o != n {
			w.Cut(n.name, o.name, on)
		}
	}
}

// Cut stops packets between two machines in both directions.
func (w *World) Cut(a, b string, on bool) {
	for _, p := range [][2]string{{a, b}, {b, a}} {
		w.cut[p] = on
	}
	if on {
		return
	}
	held := w.held
	w.held = nil
	for _, h := range held {
		w.send(h.path[0], h.path[1], h.do)
	}
}

// node is a controller.
type node struct {
	w     *World
	index int
	name  string
	core  *core.Node
	out   event.Effects
	life  int // incarnation
	up    bool
	start time.Duration
	conns map[uint64]func(status int, body []byte)
	next  uint64

	watchBlocked bool // its questions about changes get no answer, its other requests do
	denied       bool // the state service answers everybody but this one
	paused       bool
	pauseNext    time.Duration
	stopped      []func() // inputs that wait while it is paused
	decided      func()   // what its last step decided and did not carry out
}

func (n *node) addr() string { return fmt.Sprintf("10.0.0.%d:8080", n.index+1) }

func (n *node) boot() {
	cfg := *n.w.cfg
	cfg.Label, cfg.Seeds = n.name, nil
	for _, o := range n.w.nodes {
		if o != n {
			cfg.Seeds = append(cfg.Seeds, config.Seed{Label: o.name, Endpoint: o.addr()})
		}
	}
	n.life++
	n.up, n.start = true, n.w.now
	n.conns = map[uint64]func(int, []byte){}
	n.core = core.New(&cfg, n.w.log.With("node", n.name, "life", n.life), nil)
	n.out.Reset()
	n.tick(n.life)
}

func (n *node) kill() {
	n.up, n.paused, n.stopped, n.decided, n.pauseNext = false, false, nil, nil, 0
	conns := n.conns
	n.conns = nil
	var ids []uint64
	for id := range conns {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, id := range ids {
		conns[id](0, nil)
	}
}

func (n *node) tick(life int) {
	if !n.up || n.life != life {
		return
	}
	if !n.paused {
		n.step(func(now event.Time) {
			n.core.Clock(now, dayBegin.Add(n.w.now))
			n.core.Tick(now, &n.out)
		})
	}
	n.w.after(tickEvery, func() { n.tick(life) })
}

// pause lets a controller be paused while its clock runs on, from now or,
// within a step, from when its next decision is made but not carried out yet.
// What arrives meanwhile waits, and comes in any order before anything that
// time brings.
func (n *node) pause(d time.Duration, within bool) {
	if within {
		n.pauseNext = d
		return
	}
	n.paused = true
	life := n.life
	n.w.after(d, func() {
		if n.life != life || !n.paused {
			return
		}
		n.paused = false
		list := n.stopped
		n.stopped = nil
		n.w.rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
		if do := n.decided; do != nil {
			n.decided = nil
			do()
		}
		for _, f := range list {
			f()
		}
	})
}

// step gives one input to the core and carries out the effects.
func (n *node) step(f func(now event.Time)) {
	if n.paused {
		n.stopped = append(n.stopped, func() { n.step(f) })
		return
	}
	f(n.w.now - n.start)
	replies, calls, frames := n.out.Replies, n.out.Calls, n.out.Frames
	n.out.Replies, n.out.Calls, n.out.Frames = nil, nil, nil
	if d := n.pauseNext; d > 0 && len(replies)+len(calls) > 0 {
		n.pauseNext = 0
		n.decided = func() { n.perform(replies, calls, frames) }
		n.pause(d, false)
		return
	}
	n.perform(replies, calls, frames)
}

// perform carries out the effects of a step.
func (n *node) perform(replies []event.Reply, calls []event.Call, frames []event.PeerFrame) {
	life := n.life
	for _, r := range replies {
		if answer := n.conns[r.Conn]; answer != nil {
			delete(n.conns, r.Conn)
			answer(r.Status, r.Body)
		}
	}
	for _, c := range calls {
		n.call(c, life)
	}
	for _, fr := range frames {
		var to *node
		k := 0
		for _, o := range n.w.nodes {
			if o != n {
				if k == fr.Peer {
					to = o
				}
				k++
			}
		}
		data := fr.Data
		n.w.send(n.name, to.name, func() {
			if to.up {
				to.step(func(now event.Time) { to.core.Frame(now, event.PeerFrame{Peer: -1, Data: data}, &to.out) })
			}
		})
	}
}

func (n *node) call(c event.Call, life int) {
	answered := false
	finish := func(status int, body []byte) {
		if answered || !n.up || n.life != life {
			return
		}
		answered = true
		n.step(func(now event.Time) {
			n.core.CallDone(now, event.CallDone{ID: c.ID, Status: status, Body: body}, &n.out)
		})
	}
	n.w.after(c.Timeout, func() { finish(0, nil) })
	to := ""
	var serve func(answer func(int, any))
	switch c.Addr {
	case stateAddr:
		to = "state"
		serve = func(a func(int, any)) {
			if n.denied {
				a(503, object{"error": "trouble"})
				return
			}
			n.w.state.serve(c.Method, c.Path, c.Body, func(status int, v any) {
				if !n.denied { // else an open watch waits on
					a(status, v)
				}
			})
		}
	case cloudAddr:
		to = "cloud"
		serve = func(a func(int, any)) { n.w.cloud.serve(c.Method, c.Path, c.Body, a) }
	default:
		wk := n.w.workers[c.Addr]
		if wk == nil {
			return
		}
		to = wk.name
		serve = func(a func(int, any)) { wk.serve(c.Path, c.Body, a) }
	}
	if to == "state" && (n.lateWrite(c) || n.watchBlocked && strings.HasPrefix(c.Path, "/follow")) {
		return
	}
	there, back := n.w.heldCommand(to)
	n.w.heldUp(there, n.name, to, func() {
		serve(func(status int, v any) {
			body, _ := json.Marshal(v)
			n.w.heldUp(back, to, n.name, func() { finish(status, body) })
		})
		// A repeat of what was carried out, as the network may make it.
		if c.Method == "POST" && n.w.rng.Float64() < n.w.late {
			n.w.after(time.Duration(n.w.rng.Int64N(int64(20*time.Second))), func() { serve(func(int, any) {}) })
		}
	})
}

// request sends an HTTP request to a controller; answer is called once, with
// status 0 for no response.
func (w *World) request(from string, n *node, method, path string, body []byte, timeout time.Duration, answer func(status int, body []byte)) {
	answered := false
	once := func(status int, body []byte) {
		if !answered {
			answered = true
			answer(status, body)
		}
	}
	w.after(timeout, func() { once(0, nil) })
	deliver := func(n *node, answer func(status int, body []byte)) {
		if !n.up {
			answer(0, nil)
			return
		}
		n.next++
		id := n.next
		n.conns[id] = answer
		n.step(func(now event.Time) {
			n.core.Request(now, event.Request{Conn: id, Method: method, Path: path, Body: body}, &n.out)
		})
	}
	to, there, back := w.heldReport(n, path)
	w.heldUp(there, from, to.name, func() {
		deliver(to, func(status int, body []byte) {
			if status == 0 {
				once(0, nil)
				return
			}
			if to == n {
				w.heldUp(back, n.name, from, func() { once(status, body) })
			}
		})
	})
	if path == "/hello" && w.rng.Float64() < w.copies {
		// Nobody waits for what is answered to a copy.
		to, late := w.nodes[w.rng.IntN(len(w.nodes))], time.Duration(w.rng.Int64N(int64(w.copyLate)))
		w.after(late, func() { deliver(to, func(int, []byte) {}) })
	}
}

// Workers lists the workers in an order that does not change from run to run.
func (w *World) Workers() []*worker {
	var list []*worker
	for _, k := range w.workers {
		list = append(list, k)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}

// Keys lists what the state service holds, for scenarios to show.
func (w *World) Keys(prefix string) []string {
	var keys []string
	for k, v := range w.state.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, fmt.Sprintf("%s %s", k, v.data))
		}
	}
	sort.Strings(keys)
	return keys
}

// Leader is the name of the controller that the state service shows as leader.
func (w *World) Leader() *node {
	var r struct {
		Label string `json:"l"`
	}
	_ = json.Unmarshal(w.state.keys["t/lead"].data, &r)
	for _, n := range w.nodes {
		if n.name == r.Label {
			return n
		}
	}
	return nil
}
