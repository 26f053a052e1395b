package simtest

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"lugward/internal/config"
	"lugward/internal/controller"
	"lugward/internal/event"
)

// node is a controller.
type node struct {
	w     *World
	index int
	name  string
	core  *controller.Controller
	out   event.Effects
	life  int // incarnation
	up    bool
	start time.Duration
	conns map[uint64]func(status int, body []byte)

	connected map[string]bool // workers with a connection, by name
	next      uint64

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
	n.connected = map[string]bool{}
	n.core = controller.New(&cfg, n.w.log.With("node", n.name, "life", n.life), nil)
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
			n.core.SetWallClock(now, dayBegin.Add(n.w.now))
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
	n.observeEffects(replies, calls, frames)
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
		to := n.peer(fr.Peer)
		data := fr.Data
		n.w.send(n.name, to.name, func() {
			if to.up {
				to.step(func(now event.Time) { to.core.HandleFrame(now, event.PeerFrame{Peer: -1, Data: data}, &to.out) })
			}
		})
	}
}

// peer returns the controller at a place in this one's list of seeds.
func (n *node) peer(seed int) *node {
	others := 0
	for _, o := range n.w.nodes {
		if o == n {
			continue
		}
		if others == seed {
			return o
		}
		others++
	}
	return nil
}

func (n *node) call(c event.Call, life int) {
	answered := false
	finish := func(status int, body []byte) {
		if answered || !n.up || n.life != life {
			return
		}
		answered = true
		n.w.observe(Message{From: c.Addr, To: n.name, Path: c.Path, Status: status, Body: body})
		n.step(func(now event.Time) {
			n.core.HandleCallResult(now, event.CallResult{ID: c.ID, Status: status, Body: body}, &n.out)
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
				a(503, unavailable)
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
	there, back := n.w.commandDelays(to)
	n.w.sendDelayed(there, n.name, to, func() {
		serve(func(status int, v any) {
			body, _ := json.Marshal(v)
			n.w.sendDelayed(back, to, n.name, func() { finish(status, body) })
		})
		// A repeat of what was carried out, as the network may make it.
		if c.Method == "POST" && n.w.rng.Float64() < n.w.late {
			n.w.after(time.Duration(n.w.rng.Int64N(int64(20*time.Second))), func() { serve(func(int, any) {}) })
		}
	})
}

// lateWrite lets a transaction go unanswered and be executed late, judged by its
// conditions then. In an outage it waits in the service for its end.
func (n *node) lateWrite(c event.Call) bool {
	w := n.w
	if c.Path != "/commit" || n.denied || w.state.down || w.cut[[2]string{n.name, "state"}] || !w.strikes(w.lateWrites) {
		return false
	}
	var do func()
	do = func() {
		if w.state.down {
			w.after(100*time.Millisecond, do)
			return
		}
		w.state.expire()
		w.state.commit(c.Body)
	}
	w.after(w.between(minDelay, maxDelay), do)
	return true
}

func (w *World) denyFor(n *node, d time.Duration) {
	n.denied = true
	w.after(d, func() { n.denied = false })
}

// churn changes the leader so many times within that time, in all the ways
// that a leader can go.
func (w *World) churn(times int, over time.Duration, how string) {
	each := over / time.Duration(times)
	for i := range times {
		w.after(time.Duration(i)*each, func() {
			l := w.Leader()
			if l == nil || !l.up {
				return
			}
			way := how
			if way == "" {
				way = []string{"kill", "kill", "deny", "isolate", "pause"}[w.rng.IntN(5)]
			}
			long := each * 3 / 4
			switch way {
			case "kill":
				l.kill()
				w.after(w.between(50*time.Millisecond, long/2), func() {
					if !l.up {
						l.boot()
					}
				})
			case "deny":
				w.denyFor(l, long)
			case "isolate":
				w.isolateFor(l, long)
			case "pause":
				if !l.paused {
					l.pause(long, w.rng.IntN(2) == 0)
				}
			}
		})
	}
}
