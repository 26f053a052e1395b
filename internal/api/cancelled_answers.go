package api

import (
	"log/slog"

	"lugward/internal/event"
)

// StartViews tells which changes every start command takes into account. *election.Election
// implements it.
type StartViews interface {
	// StartsInclude reports whether every start command that any controller gives from now on
	// takes into account a change in the watch cache of this controller. revision is the
	// revision of the change, and seenAt the time at which this controller first saw it.
	StartsInclude(revision uint64, seenAt, now event.Time) bool
}

// cancelledAnswers holds back the answers that report a job as cancelled until no controller can
// give a command to start one of its tasks any more. Users take such an answer as the
// confirmation of the cancellation, whatever they have asked.
type cancelledAnswers struct {
	startViews StartViews
	log        *slog.Logger
	// unconfirmed are the cancellations that a start command may not yet take into account.
	unconfirmed map[string]cancellationChange // by job ID
	// scanned is the newest cancellation that was read while the watch cache was not complete.
	// It stands for all of them, as there may be very many. Its revision is zero once every
	// start command takes it into account.
	scanned cancellationChange
	held    []heldAnswer // in the order of the requests
}

// cancellationChange is the change of the watch cache that shows a cancellation.
type cancellationChange struct {
	revision uint64
	seenAt   event.Time // when this controller first saw it
}

// heldAnswer is an answer that reports a job as cancelled and has not been sent yet.
type heldAnswer struct {
	conn   uint64
	id     string // job ID
	status int    // HTTP status
	body   []byte
	heldAt event.Time
}

func newCancelledAnswers(startViews StartViews, log *slog.Logger) cancelledAnswers {
	return cancelledAnswers{startViews: startViews, log: log, unconfirmed: map[string]cancellationChange{}}
}

// RecordCancellation records that the watch cache shows the cancellation of a job for the first
// time. modRevision is the revision of its terminal record.
func (s *Server) RecordCancellation(id string, modRevision uint64, now event.Time) {
	change := cancellationChange{revision: modRevision, seenAt: now}
	if s.store.Synced() {
		s.cancelled.unconfirmed[id] = change
		return
	}
	change.revision = max(change.revision, s.cancelled.scanned.revision)
	s.cancelled.scanned = change
}

// ReleaseAnswers sends the held answers whose cancellations every start command takes into
// account by now. Tick does so, too; a caller that knows that more has become known saves users
// the wait for the next tick.
func (s *Server) ReleaseAnswers(now event.Time, out *event.Effects) { s.cancelled.release(now, out) }

// reply sends an answer that reports a job as cancelled, at once or as soon as it is confirmed.
func (a *cancelledAnswers) reply(now event.Time, answer heldAnswer, out *event.Effects) {
	if a.confirmed(answer.id, now) {
		out.Reply(answer.conn, answer.status, answer.body)
		return
	}
	answer.heldAt = now
	a.held = append(a.held, answer)
}

// confirmed reports whether every start command that is given from now on takes the cancellation
// of a job into account.
func (a *cancelledAnswers) confirmed(id string, now event.Time) bool {
	change, ok := a.unconfirmed[id]
	if !ok {
		return a.included(a.scanned, now)
	}
	if !a.included(change, now) {
		return false
	}
	delete(a.unconfirmed, id)
	return true
}

// included reports whether every start command that is given from now on takes a cancellation
// into account. The zero change is always included.
func (a *cancelledAnswers) included(change cancellationChange, now event.Time) bool {
	return change.revision == 0 || a.startViews.StartsInclude(change.revision, change.seenAt, now)
}

// release sends the held answers that are confirmed by now, and forgets the cancellations that
// need no further check.
func (a *cancelledAnswers) release(now event.Time, out *event.Effects) {
	if a.scanned.revision != 0 && a.included(a.scanned, now) {
		a.scanned = cancellationChange{}
	}
	for id := range a.unconfirmed {
		a.confirmed(id, now) // forgets it if so
	}
	waiting := a.held[:0]
	for _, answer := range a.held {
		if !a.confirmed(answer.id, now) {
			waiting = append(waiting, answer)
			continue
		}
		a.log.Debug("confirmed cancellation", "job", answer.id, "after", now-answer.heldAt)
		out.Reply(answer.conn, answer.status, answer.body)
	}
	clear(a.held[len(waiting):])
	a.held = waiting
}
