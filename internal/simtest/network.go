package simtest

import (
	"time"

	"lugward/internal/event"
)

// heldPacket is a packet that a cut link holds back.
type heldPacket struct {
	path [2]string
	do   func()
}

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

// sendDelayed sends a packet after a delay.
func (w *World) sendDelayed(d time.Duration, from, to string, do func()) {
	if d == 0 {
		w.send(from, to, do)
		return
	}
	w.after(d, func() { w.send(from, to, do) })
}

// commandDelays draws the delays of a call and of its answer.
func (w *World) commandDelays(to string) (there, back time.Duration) {
	if to == "state" && w.slowState > 0 {
		return 0, w.between(0, w.slowState)
	}
	if to == "state" || to == "cloud" || !w.strikes(w.delayedCommands) {
		return 0, 0
	}
	if w.rng.IntN(2) == 0 {
		return w.between(time.Second, maxDelay), 0
	}
	return 0, w.between(time.Second, maxDelay)
}

// reportDelays draws where a report arrives, and the delays of the report and of
// its answer: the worker may have given it up by then.
func (w *World) reportDelays(n *node, path string) (to *node, there, back time.Duration) {
	if path != "/hello" || !w.strikes(w.delayedReports) {
		return n, 0, 0
	}
	switch w.rng.IntN(4) {
	case 0:
		return n, 0, w.between(time.Second, maxDelay/2)
	case 1:
		return n, w.between(500*time.Millisecond, answerTimeout), 0
	case 2:
		return n, w.between(minDelay, maxDelay), 0
	}
	lease := seconds(w.cfg.Settings.Workers.LeaseS)
	return w.nodes[w.rng.IntN(len(w.nodes))], w.between(minDelay, 2*lease), 0
}

// Cut stops packets between two machines in both directions.
func (w *World) Cut(a, b string, on bool) {
	w.setCut(a, b, on)
	if !on {
		w.releaseHeld()
	}
}

func (w *World) setCut(a, b string, on bool) {
	for _, p := range [][2]string{{a, b}, {b, a}} {
		w.cut[p] = on
	}
}

// releaseHeld delivers the packets that were held back on links that are cut no more.
func (w *World) releaseHeld() {
	held := w.held
	w.held = nil
	for _, h := range held {
		w.send(h.path[0], h.path[1], h.do)
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

// BlockInbound lets a machine be heard while nothing reaches it, or ends that.
func (w *World) BlockInbound(k *worker, on bool) {
	for _, n := range w.nodes {
		w.lost[[2]string{n.name, k.name}] = on
	}
}

// unreachable tells whether some controller and the machine can't talk.
func (w *World) unreachable(k *worker) bool {
	for _, n := range w.nodes {
		for _, p := range [][2]string{{n.name, k.name}, {k.name, n.name}} {
			if w.cut[p] || w.lost[p] {
				return true
			}
		}
	}
	return false
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
	if w.cut[[2]string{from, n.name}] && w.strikes(w.refusedWhenCut) {
		w.after(time.Millisecond, func() { once(0, nil) })
		return
	}
	deliver := func(n *node, answer func(status int, body []byte)) {
		if !n.up {
			answer(0, nil)
			return
		}
		n.next++
		id := n.next
		n.conns[id] = answer
		w.observe(Message{From: from, To: n.name, Method: method, Path: path, Body: body})
		n.step(func(now event.Time) {
			crowded := path == "/hello" && n.connect(from, id)
			n.core.HandleRequest(now, event.Request{Conn: id, Method: method, Path: path, Body: body, ConnectionLimitReached: crowded}, &n.out)
		})
	}
	to, there, back := w.reportDelays(n, path)
	w.sendDelayed(there, from, to.name, func() {
		deliver(to, func(status int, body []byte) {
			if status == 0 {
				once(0, nil)
				return
			}
			if to == n {
				w.sendDelayed(back, n.name, from, func() { once(status, body) })
			}
		})
	})
	if path == "/hello" && w.rng.Float64() < w.copies {
		// Nobody waits for what is answered to a copy.
		to, late := w.nodes[w.rng.IntN(len(w.nodes))], time.Duration(w.rng.Int64N(int64(w.copyLate)))
		w.after(late, func() { deliver(to, func(int, []byte) {}) })
	}
}

// connect notes that a worker is connected to a controller, and tells whether that is
// more than it has sockets for: the connection then ends with the answer, as it does
// where the worker is sent elsewhere.
func (n *node) connect(worker string, request uint64) (crowded bool) {
	for _, o := range n.w.nodes {
		delete(o.connected, worker)
	}
	n.connected[worker] = true
	crowded = n.w.workerSockets > 0 && len(n.connected) > n.w.workerSockets
	answer := n.conns[request]
	n.conns[request] = func(status int, body []byte) {
		if crowded || status == 421 {
			delete(n.connected, worker)
		}
		answer(status, body)
	}
	return crowded
}

func (w *World) isolateFor(n *node, d time.Duration) {
	w.isolate(n, true)
	w.after(d, func() { w.isolate(n, false) })
}

// blockReportsFor lets a machine reach no controller.
func (w *World) blockReportsFor(k *worker, d time.Duration) {
	k.reportsBlocked = true
	w.after(d, func() { k.reportsBlocked = false })
}

// cutZone cuts the workers of a zone and a controller off from everything else.
func (w *World) cutZone(n *node, zone string, d time.Duration) {
	in := map[string]bool{n.name: true}
	for _, k := range w.Workers() {
		in[k.name] = k.zone == zone
	}
	out := []string{"state", "cloud", "user"}
	for _, o := range w.nodes {
		if o != n {
			out = append(out, o.name)
		}
	}
	for _, k := range w.Workers() {
		if !in[k.name] {
			out = append(out, k.name)
		}
	}
	cut := func(on bool) {
		for _, k := range w.Workers() {
			if in[k.name] {
				for _, o := range w.nodes {
					if o != n {
						w.Cut(k.name, o.name, on)
					}
				}
			}
		}
		for _, o := range out {
			w.Cut(n.name, o, on)
		}
	}
	cut(true)
	w.after(d, func() { cut(false) })
}
