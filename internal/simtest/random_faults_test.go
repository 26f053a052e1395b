package simtest

import (
	"fmt"
	"testing"
	"time"
)

// twoFaults causes two random faults that overlap.
func (w *World) twoFaults() {
	w.randomFault()
	w.Run(seconds(w.rng.Float64() * 3))
	w.randomFault()
}

// fault causes a fault of a controller, or another one, that ends after a while.
type fault func(w *World, n *node, long time.Duration)

// randomFaults are drawn with equal probability; those that are there twice are
// to be more frequent.
var randomFaults = [...]fault{
	restart, restart, loseState, loseWorkers, stateOutage, loseMachine, cloudOutage, machinesNeverBoot,
	noFault, restartSeveral, blockInboundOnce, isolateLeader, pauseOnce, lateWrites, delayReports, delayCommands,
	blockReportsOfSome, gapOnce, gapOnce, cancelSome, cancelEnding, invalidRequests, churnLeaders, loseZone,
	restartAllAfterLease, blockInboundOfSome, slowState, blockWatch,
}

// randomFault causes one random fault, which ends by itself.
func (w *World) randomFault() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	long := seconds(0.1 + w.rng.Float64()*20)
	w.lasting(long)
	randomFaults[w.rng.IntN(len(randomFaults))](w, n, long)
}

func noFault(*World, *node, time.Duration) {}

// bootAfter restarts a controller after a while, if it is down then.
func (w *World) bootAfter(n *node, d time.Duration) { w.after(d, n.bootIfDown) }

func restart(w *World, n *node, long time.Duration) {
	if n.up {
		n.kill()
		w.bootAfter(n, long/4)
	}
}

// restartSeveral restarts several controllers within a fraction of a second.
func restartSeveral(w *World, _ *node, _ time.Duration) {
	for _, n := range w.nodes {
		if n.up && w.rng.IntN(2) == 0 {
			n.kill()
			w.bootAfter(n, seconds(0.05+w.rng.Float64()/2))
		}
	}
}

// restartAllAfterLease lets all controllers be down for longer than the lease.
func restartAllAfterLease(w *World, _ *node, _ time.Duration) {
	for _, n := range w.nodes {
		n.kill()
		w.bootAfter(n, seconds(10.5+w.rng.Float64()*5))
	}
}

// leaderOr is the leader or, as often, the controller.
func (w *World) leaderOr(n *node) *node {
	if l := w.Leader(); l != nil && w.rng.IntN(2) == 0 {
		return l
	}
	return n
}

func pauseOnce(w *World, n *node, long time.Duration) {
	if n = w.leaderOr(n); n.up && !n.paused {
		n.pause(long/2, w.rng.IntN(2) == 0)
	}
}

func isolateLeader(w *World, _ *node, long time.Duration) {
	if l := w.Leader(); l != nil {
		w.isolateFor(l, long)
	}
}

func loseState(w *World, n *node, long time.Duration) {
	w.Cut(n.name, "state", true)
	w.after(long, func() { w.Cut(n.name, "state", false) })
}

func loseWorkers(w *World, n *node, long time.Duration) {
	cut := func(on bool) {
		for _, k := range w.Workers() {
			w.Cut(n.name, k.name, on)
		}
	}
	cut(true)
	w.after(long, func() { cut(false) })
}

// loseZone cuts a zone with workers and a controller off for longer than the
// lease.
func loseZone(w *World, n *node, long time.Duration) {
	long += seconds(10)
	w.lasting(long)
	w.cutZone(n, []string{"a", "b"}[w.rng.IntN(2)], long)
}

func stateOutage(w *World, _ *node, long time.Duration) {
	w.state.outage(true)
	w.after(long, func() { w.state.outage(false) })
}

func slowState(w *World, _ *node, long time.Duration) {
	w.slowState = seconds(w.rng.Float64() * 4)
	w.after(long, func() { w.slowState = 0 })
}

func blockWatch(w *World, n *node, long time.Duration) {
	n = w.leaderOr(n)
	n.watchBlocked = true
	w.after(long, func() { n.watchBlocked = false })
}

func lateWrites(w *World, _ *node, long time.Duration) { w.forWhile(&w.lateWrites, 0.3, long) }

func delayReports(w *World, _ *node, long time.Duration) { w.forWhile(&w.delayedReports, 0.3, long) }

func delayCommands(w *World, _ *node, long time.Duration) { w.forWhile(&w.delayedCommands, 0.5, long) }

// loseMachine lets a machine with tasks crash, hang or be terminated.
func loseMachine(w *World, _ *node, long time.Duration) {
	on := w.check.onMachines()
	if len(on) == 0 {
		return
	}
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

func blockInboundOnce(w *World, _ *node, long time.Duration) {
	if on := w.check.onMachines(); len(on) > 0 {
		w.blockInboundFor(on[w.rng.IntN(len(on))].on, long)
	}
}

func blockInboundOfSome(w *World, _ *node, long time.Duration) {
	w.someMachines(func(k *worker) { w.blockInboundFor(k, long) })
}

func blockReportsOfSome(w *World, _ *node, long time.Duration) {
	w.someMachines(func(k *worker) { w.blockReportsFor(k, long) })
}

func cloudOutage(w *World, _ *node, long time.Duration) {
	w.cloud.down = true
	w.after(long, func() { w.cloud.down = false })
}

func machinesNeverBoot(w *World, _ *node, _ time.Duration) { w.cloud.never = 1 + w.rng.IntN(2) }

func gapOnce(w *World, _ *node, _ time.Duration) { w.gap() }

func churnLeaders(w *World, _ *node, _ time.Duration) {
	w.churn(10, 2*time.Minute, "")
	w.lasting(2 * time.Minute)
}

func cancelSome(w *World, _ *node, _ time.Duration) {
	hang := seconds(w.rng.Float64() * 12)
	w.cancelNow(1+w.rng.IntN(4), hang)
	w.lasting(hang)
}

func cancelEnding(w *World, _ *node, long time.Duration) { w.forWhile(&w.cancelEnds, 0.5, long) }

func invalidRequests(w *World, _ *node, long time.Duration) {
	if !w.invalidRequests {
		w.invalidRequests = true
		w.sendInvalidRequests()
		w.after(long, func() { w.invalidRequests = false })
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

// gap is the combination of faults that broke most: the state service refuses the leader
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
		27732, // all machines terminated: every leader yields before its proof of silence
		25980, // a term begins before the replica holds what was stored before it
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}
