package worker

import (
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// checkReachable finds out whether our answers reach a machine: being heard from is not
// being reachable. A machine is used once a report carries our fencing token, which is
// also what tells a report of this term from a copy of an older one; and no
// more once it does not take up what it was told.
func (f *Registry) checkReachable(h *Machine, r *Report, now event.Time, term Term) {
	if !h.TokenConfirmed {
		switch {
		case r.FencingToken == term.FencingToken():
			h.TokenConfirmed, h.UnreachableSince = true, 0
			f.Jobs.Changed = true
		case h.UnreachableSince != 0 || h.LastAnswer == 0:
		case h.unconfirmedReports < maxMissedStarts:
			// What we answered first may have been a copy; the machine itself,
			// which stayed with the leader before us, answers for itself.
			h.unconfirmedReports++
		case now-h.firstReport > f.SilentAfter:
			f.markUnreachable(h, now)
		}
		return
	}
	if h.UnreachableSince != 0 {
		// A session that outlives the lease has heard us.
		if h.Session == h.unreachableSession && now-h.UnreachableSince > term.WorkerLease()+unreachableMargin {
			f.log.Info("machine is reachable again", "machine", h.Name)
			h.UnreachableSince = 0
			f.Jobs.Changed = true
		} else {
			f.evictUnstarted(h)
		}
		return
	}
	for _, e := range f.Jobs.OnMachine(h.Index) {
		if e.OrderedSequence == 0 || e.OrderedSequence >= r.Sequence || e.Phase != pipeline.Unseen {
			continue
		}
		name := taskName(e)
		if slices.ContainsFunc(r.Tasks, func(s TaskReport) bool { return s.Task == name }) {
			e.MissedReports = 0
		} else if e.MissedReports++; e.MissedReports >= maxMissedStarts {
			f.markUnreachable(h, now)
			return
		}
	}
}

// markUnreachable gives up on a machine that does not hear us: what it never took up is
// moved, once a report proves that it will not start. What runs goes on: it may
// complete before its lease ends, and we may be wrong.
func (f *Registry) markUnreachable(h *Machine, now event.Time) {
	f.log.Info("machine is unreachable: it does not receive our answers", "machine", h.Name, "tasks", len(f.Jobs.OnMachine(h.Index)))
	h.UnreachableSince, h.unreachableSession = now, h.Session
	f.evictUnstarted(h)
}

func (f *Registry) evictUnstarted(h *Machine) {
	for _, e := range f.sorted(h) {
		if e.Phase == pipeline.Unseen {
			f.Evict(e, e.Job.CheckpointDuration+1)
		}
	}
}

// UnreachableBeyondLease tells whether a machine has not heard us for so long that its
// tasks have ended with its lease.
func (f *Registry) UnreachableBeyondLease(h *Machine, now event.Time, term Term) bool {
	return h.UnreachableSince != 0 && now-h.UnreachableSince > term.WorkerLease()+2*unreachableMargin
}
