package api

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/store"
)

// submissionTimeout bounds how long a list of upstream jobs is being stored: the user
// is long told to come back, and what is there is left to be cleaned up.
const submissionTimeout = 20 * time.Second

// pendingSubmission is a submission whose list of upstream jobs takes several values.
// Part 0 stands for it: whatever follows, and last the job's record, requires
// part 0 to have the attempt's version. So a late write or a rival's fails, and
// only the last write makes the job accepted.
type pendingSubmission struct {
	id       string
	job      *pipeline.Job
	conn     uint64 // who waits for the answer
	answered bool   // to come back: nobody waits any more
	since    event.Time
	version  uint64
	lists    [][]byte
	next     int // the part to be written next
	inflight int
	attempts int // at a write without an answer
}

const maxWriteRetries = 5

func (in *Server) beginUpstreamWrite(now event.Time, conn uint64, j *pipeline.Job, lists [][]byte, out *event.Effects) {
	id := j.ID
	version, shown := in.jobs.SubmissionAttempt(id, now)
	if in.pending[id] != nil || (version != 0 && shown < pipeline.RivalTimeout) {
		out.Busy(conn, retryAfter) // it is being stored; a retry finds it
		return
	}
	a := &pendingSubmission{id: id, job: j, conn: conn, since: now, lists: lists, next: 1}
	in.pending[id] = a
	in.write(now, a, store.Write{Key: pipeline.PartKeyOf(id, 0), Data: lists[0]}, store.Condition{Key: pipeline.PartKeyOf(id, 0), Version: version},
		func(r store.Result) {
			switch r.Outcome {
			case store.OK:
				a.version, j.SubmissionVersion = r.Revision, r.Revision
				in.advance(r.Now, a)
			case store.Refused:
				in.abandon(a, r)
			default:
				// Ours or a rival's, the stored part 0 does not tell.
				in.settle(a)
			}
		})
}

// write submits one write of an attempt. Each requires that the job is not
// accepted yet, so that nothing is added once it is.
func (in *Server) write(now event.Time, a *pendingSubmission, w store.Write, pendingSubmission store.Condition, done func(store.Result)) {
	in.store.Submit(&store.Intent{Priority: store.Accept, Writes: []store.Write{w}, Done: done,
		Conditions: []store.Condition{pendingSubmission, {Key: pipeline.JobKeyOf(a.id)}, {Key: pipeline.FinalKeyOf(a.id)}}}, now+submissionTimeout)
}

// advance sends as many parts as one transaction holds, so that other
// submissions have their turn between them, and the job's record at the end.
func (in *Server) advance(now event.Time, a *pendingSubmission) {
	for a.next < len(a.lists) && a.inflight < in.cfg.TxnOps {
		a.next++
		a.inflight++
		in.put(now, a, store.Write{Key: pipeline.PartKeyOf(a.id, a.next-1), Data: a.lists[a.next-1]}, func(r store.Result) {
			a.inflight--
			in.advance(r.Now, a)
		})
	}
	if a.next == len(a.lists) && a.inflight == 0 {
		a.inflight++
		in.put(now, a, store.Write{Key: pipeline.JobKeyOf(a.id), Data: pipeline.Encode(in.names, a.job)}, func(r store.Result) {
			delete(in.pending, a.id)
			if !a.answered {
				r.Out.Reply(a.conn, 201, in.accepted(a.id))
			}
		})
	}
}

// put writes a value of an attempt that has its part 0, again if no answer comes:
// carried out twice it changes nothing.
func (in *Server) put(now event.Time, a *pendingSubmission, w store.Write, then func(store.Result)) {
	if in.pending[a.id] != a {
		return
	}
	in.write(now, a, w, store.Condition{Key: pipeline.PartKeyOf(a.id, 0), Version: a.version}, func(r store.Result) {
		switch {
		case in.pending[a.id] != a:
		case r.Outcome == store.OK:
			then(r)
		case r.Outcome == store.Unknown && a.attempts < maxWriteRetries:
			a.attempts++
			in.put(r.Now, a, w, then)
		case r.Outcome == store.Refused:
			in.abandon(a, r)
		default:
			in.settle(a)
		}
	})
}

// abandon ends an attempt whose write was not executed.
func (in *Server) abandon(a *pendingSubmission, r store.Result) {
	delete(in.pending, a.id)
	if !a.answered {
		in.later(a.conn, r.Out)
	}
}

// settle ends an attempt that lost to another one, or does not know whether it
// is through: what is stored decides.
func (in *Server) settle(a *pendingSubmission) {
	delete(in.pending, a.id)
	if !a.answered {
		in.afterUnknown(a.conn, a.id)
	}
}

// Tick tells users whose list takes long to come back for the answer, and ends
// attempts that go on for too long.
func (in *Server) Tick(now event.Time, out *event.Effects) {
	for _, id := range slices.Sorted(maps.Keys(in.pending)) {
		a := in.pending[id]
		if !a.answered && now-a.since > in.cfg.Answer {
			out.Busy(a.conn, retryAfter)
			a.answered = true
		}
		if now-a.since > submissionTimeout {
			delete(in.pending, id)
		}
	}
}
