package api

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/store"
)

// attemptFor bounds how long a list of upstream jobs is being stored: the user
// is long told to come back, and what is there is left to be cleaned up.
const attemptFor = 20 * time.Second

// attempt is a submission whose list of upstream jobs takes several values.
// Part 0 stands for it: whatever follows, and last the job's record, requires
// part 0 to have the attempt's stamp. So a late write or a rival's fails, and
// only the last write makes the job accepted.
type attempt struct {
	id       string
	job      *pipeline.Job
	conn     uint64 // who waits for the answer
	told     bool   // to come back: nobody waits any more
	since    event.Time
	stamp    uint64
	lists    [][]byte
	next     int // the part to be written next
	inflight int
	tries    int // at a write without an answer
}

const attemptTries = 5

func (in *Server) begin(now event.Time, conn uint64, j *pipeline.Job, lists [][]byte, out *event.Effects) {
	id := j.ID
	stamp, shown := in.jobs.Attempt(id, now)
	if in.attempts[id] != nil || (stamp != 0 && shown < pipeline.RivalFor) {
		out.Busy(conn, retryAfter) // it is being stored; a retry finds it
		return
	}
	a := &attempt{id: id, job: j, conn: conn, since: now, lists: lists, next: 1}
	in.attempts[id] = a
	in.write(now, a, store.Write{Key: pipeline.PartKeyOf(id, 0), Data: lists[0]}, store.Cond{Key: pipeline.PartKeyOf(id, 0), Stamp: stamp},
		func(r store.Result) {
			switch r.Outcome {
			case store.OK:
				a.stamp, j.Attempt = r.Epoch, r.Epoch
				in.advance(r.Now, a)
			case store.Refused:
				in.give(a, r)
			default:
				// Ours or a rival's, the stored part 0 does not tell.
				in.settle(a)
			}
		})
}

// write submits one write of an attempt. Each requires that the job is not
// accepted yet, so that nothing is added once it is.
func (in *Server) write(now event.Time, a *attempt, w store.Write, attempt store.Cond, done func(store.Result)) {
	in.store.Submit(&store.Intent{Priority: store.Accept, Writes: []store.Write{w}, Done: done,
		Conds: []store.Cond{attempt, {Key: pipeline.JobKeyOf(a.id)}, {Key: pipeline.FinalKeyOf(a.id)}}}, now+attemptFor)
}

// advance sends as many parts as one transaction holds, so that other
// submissions have their turn between them, and the job's record at the end.
func (in *Server) advance(now event.Time, a *attempt) {
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
			delete(in.attempts, a.id)
			if !a.told {
				r.Out.Reply(a.conn, 201, in.accepted(a.id))
			}
		})
	}
}

// put writes a value of an attempt that has its part 0, again if no answer comes:
// carried out twice it changes nothing.
func (in *Server) put(now event.Time, a *attempt, w store.Write, then func(store.Result)) {
	if in.attempts[a.id] != a {
		return
	}
	in.write(now, a, w, store.Cond{Key: pipeline.PartKeyOf(a.id, 0), Stamp: a.stamp}, func(r store.Result) {
		switch {
		case in.attempts[a.id] != a:
		case r.Outcome == store.OK:
			then(r)
		case r.Outcome == store.Unknown && a.tries < attemptTries:
			a.tries++
			in.put(r.Now, a, w, then)
		case r.Outcome == store.Refused:
			in.give(a, r)
		default:
			in.settle(a)
		}
	})
}

// give ends an attempt whose write was not executed.
func (in *Server) give(a *attempt, r store.Result) {
	delete(in.attempts, a.id)
	if !a.told {
		in.later(a.conn, r.Out)
	}
}

// settle ends an attempt that lost to another one, or does not know whether it
// is through: what is stored decides.
func (in *Server) settle(a *attempt) {
	delete(in.attempts, a.id)
	if !a.told {
		in.afterUnknown(a.conn, a.id)
	}
}

// Tick tells users whose list takes long to come back for the answer, and ends
// attempts that go on for too long.
func (in *Server) Tick(now event.Time, out *event.Effects) {
	for _, id := range slices.Sorted(maps.Keys(in.attempts)) {
		a := in.attempts[id]
		if !a.told && now-a.since > in.cfg.Answer {
			out.Busy(a.conn, retryAfter)
			a.told = true
		}
		if now-a.since > attemptFor {
			delete(in.attempts, id)
		}
	}
}
