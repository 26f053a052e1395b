package simtest

import (
	"fmt"
	"testing"
	"time"
)

// meeting brings two random faults that meet.
func (w *World) meeting() {
	w.misfortune()
	w.Run(seconds(w.rng.Float64() * 3))
	w.misfortune()
}

// misfortune brings one random fault, which ends by itself.
func (w *World) misfortune() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	long := seconds(0.1 + w.rng.Float64()*20)
	w.lasting(long)
	switch w.rng.IntN(28) {
	case 9:
		// Several are back within a fraction of a second, wherever they were.
		for _, n := range w.nodes {
			if n.up && w.rng.IntN(2) == 0 {
				n.kill()
				w.after(seconds(0.05+w.rng.Float64()/2), func() {
					if !n.up {
						n.boot()
					}
				})
			}
		}
	case 10:
		if on := w.check.onMachines(); len(on) > 0 {
			k := on[w.rng.IntN(len(on))].on
			w.BlockInbound(k, true)
			w.after(long, func() { w.BlockInbound(k, false) })
		}
	case 12:
		if l := w.Leader(); l != nil && w.rng.IntN(2) == 0 {
			n = l
		}
		if n.up && !n.paused {
			n.pause(long/2, w.rng.IntN(2) == 0)
		}
	case 11:
		if l := w.Leader(); l != nil {
			w.isolate(l, true)
			w.after(long, func() { w.isolate(l, false) })
		}
	case 0, 1:
		if n.up {
			n.kill()
			w.after(long/4, func() {
				if !n.up {
					n.boot()
				}
			})
		}
	case 2:
		w.Cut(n.name, "state", true)
		w.after(long, func() { w.Cut(n.name, "state", false) })
	case 3:
		for _, k := range w.Workers() {
			w.Cut(n.name, k.name, true)
		}
		w.after(long, func() {
			for _, k := range w.Workers() {
				w.Cut(n.name, k.name, false)
			}
		})
	case 4:
		w.state.outage(true)
		w.after(long, func() { w.state.outage(false) })
	case 5:
		if on := w.check.onMachines(); len(on) > 0 {
			k := on[w.rng.IntN(len(on))].on
			switch w.rng.IntN(3) {
			case 0:
				k.die()
			case 1:
				k.hang(long)
			default:
				w.cloud.remove(k.name)
			}
		}
	case 6:
		w.cloud.down = true
		w.after(long, func() { w.cloud.down = false })
	case 7:
		w.cloud.never = 1 + w.rng.IntN(2)
	case 13:
		w.forWhile(&w.lateWrites, 0.3, long)
	case 14:
		w.forWhile(&w.heldReports, 0.3, long)
	case 15:
		w.forWhile(&w.heldCommands, 0.5, long)
	case 16:
		w.someMachines(func(k *worker) { w.blockReportsFor(k, long) })
	case 17, 18:
		w.gap()
	case 19:
		hang := seconds(w.rng.Float64() * 12)
		w.cancelNow(1+w.rng.IntN(4), hang)
		w.lasting(hang)
	case 20:
		w.forWhile(&w.cancelEnds, 0.5, long)
	case 21:
		if !w.invalidRequests {
			w.invalidRequests = true
			w.sendInvalidRequests()
			w.after(long, func() { w.invalidRequests = false })
		}
	case 22:
		w.churn(10, 2*time.Minute, "")
		w.lasting(2 * time.Minute)
	case 23:
		// A zone with workers and a controller, for longer than the lease.
		long += seconds(10)
		w.lasting(long)
		w.cutZone(n, []string{"a", "b"}[w.rng.IntN(2)], long)
	case 24:
		// All controllers are away for longer than the lease.
		for _, n := range w.nodes {
			n.kill()
			w.after(seconds(10.5+w.rng.Float64()*5), func() {
				if !n.up {
					n.boot()
				}
			})
		}
	case 26:
		w.slowState = seconds(w.rng.Float64() * 4)
		w.after(long, func() { w.slowState = 0 })
	case 27:
		if l := w.Leader(); l != nil && w.rng.IntN(2) == 0 {
			n = l
		}
		n.watchBlocked = true
		w.after(long, func() { n.watchBlocked = false })
	case 25:
		w.someMachines(func(k *worker) {
			w.BlockInbound(k, true)
			w.after(long, func() { w.BlockInbound(k, false) })
		})
	}
}

// lasting notes that a fault lasts for so long from now.
func (w *World) lasting(d time.Duration) { w.faultsEnd = max(w.faultsEnd, w.now+d) }

func (w *World) forWhile(share *float64, value float64, d time.Duration) {
	*share = value
	w.after(d, func() { *share = 0 })
}

// someMachines does something to one machine or to all of a zone.
func (w *World) someMachines(do func(k *worker)) {
	list := w.Workers()
	if len(list) == 0 {
		return
	}
	one, zone := list[w.rng.IntN(len(list))], w.rng.IntN(3) == 0
	for _, k := range list {
		if k == one || (zone && k.zone == one.zone) {
			do(k)
		}
	}
}

// gap is the meeting that broke most: the state service refuses the leader
// alone, which may lose the other controllers too, others confirm cancellations,
// some machines hang, and then the state service is out for all for longer than
// a cancellation may take.
func (w *World) gap() {
	l := w.Leader()
	if l == nil {
		return
	}
	alone := seconds(0.5 + w.rng.Float64()*8)
	out := seconds(w.cfg.Settings.Workers.CancelS + w.rng.Float64()*20)
	w.lasting(alone + out + time.Second)
	if w.rng.IntN(2) == 0 {
		w.denyFor(l, alone+seconds(w.rng.Float64()))
	} else {
		w.isolateFor(l, alone+out)
	}
	var hang time.Duration
	if w.rng.IntN(2) == 0 {
		hang = seconds(w.rng.Float64() * 10)
	}
	w.after(seconds(w.rng.Float64()*alone.Seconds()), func() { w.cancelNow(1+w.rng.IntN(4), hang) })
	w.after(alone, func() {
		w.state.outage(true)
		w.after(out, func() { w.state.outage(false) })
	})
}

// TestSeedsThatBroke plays again what broke a rule in long trials.
func TestSeedsThatBroke(t *testing.T) {
	for _, seed := range []uint64{
		27732, // all machines gone: every leader yields before its proof of silence
		25980, // a term begins before the replica holds what was stored before it
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}
