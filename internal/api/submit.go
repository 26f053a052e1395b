package api

import (
	"encoding/json"
	"errors"
	"math"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/store"
)

// submit accepts a job once its vertex is stored.
func (in *Server) submit(now event.Time, r event.Request, out *event.Effects) {
	s, malformed := parse(r.Body)
	if malformed != nil && s == nil {
		out.Reply(r.Conn, 400, nil)
		return
	}
	id := *s.ID
	if b := in.over(id); b != nil {
		out.Reply(r.Conn, 200, b)
		return
	}
	if in.unavailable(now) {
		out.Busy(r.Conn, retryAfter)
		return
	}
	if j := in.jobs.Job(id); j != nil && j.Version != 0 {
		in.poll(now, r.Conn, id, out) // known: never 400 or 422 from here on
		return
	}
	if malformed != nil {
		in.refuse(r.Conn, id, 400, nil)
		return
	}
	j, err := in.job(s)
	switch {
	case errors.Is(err, errUndecided):
		out.Busy(r.Conn, retryAfter)
	case err != nil:
		in.refuse(r.Conn, id, 422, nil)
	case !in.known(s.upstream):
		// The replica may be behind the node that accepted what it names.
		in.refuse(r.Conn, id, 422, func(now event.Time, out *event.Effects) bool {
			if !in.known(s.upstream) {
				return false
			}
			in.accept(now, r.Conn, j, s.upstream, out)
			return true
		})
	default:
		in.accept(now, r.Conn, j, s.upstream, out)
	}
}

// refuse answers a submission with a status for good, behind a barrier: the job
// may have been accepted a moment ago by a node that knew more. rescue, if set,
// may take the submission after all.
func (in *Server) refuse(conn uint64, id string, status int, rescue func(now event.Time, out *event.Effects) bool) {
	in.store.Barrier(func(now event.Time, ok bool, out *event.Effects) {
		if !ok {
			out.Busy(conn, retryAfter)
		} else if st := in.state(id); st != nil {
			out.Reply(conn, 200, st)
		} else if rescue == nil || !rescue(now, out) {
			out.Reply(conn, status, nil)
		}
	})
}

// known tells whether the replica shows that a new job may await all of a list:
// accepted jobs, so not itself, that are no services.
func (in *Server) known(up []string) bool {
	for _, u := range up {
		if f, ok := in.jobs.Finals[u]; ok {
			if f.Daemon {
				return false
			}
			continue
		}
		if j := in.jobs.Job(u); j == nil || j.Version == 0 || j.Shape == pipeline.Daemon {
			return false
		}
	}
	return true
}

// accept stores the vertex of a job that can run.
func (in *Server) accept(now event.Time, conn uint64, j *pipeline.Job, up []string, out *event.Effects) {
	j.Submitted = in.jobs.UnixMS(now)
	for _, u := range up {
		j.Ready = j.Ready && in.jobs.Finals[u].Phase == pipeline.Done
	}
	if j.Ready {
		j.ReadyAt = j.Submitted
	}
	lists := in.layOutUpstream(j, up)
	data := pipeline.Encode(in.names, j)
	capacity := in.cfg.ValueBytes
	if lists != nil {
		capacity -= versionSize
	}
	if len(data) > capacity {
		out.Reply(conn, 400, nil)
		return
	}
	if best, _ := in.store.Backlog(store.Accept); best > in.cfg.Answer.Seconds() {
		// It would wait for longer than its user does: told so at once, the
		// user is not kept, and what waits already keeps its turn.
		in.later(conn, out)
		return
	}
	id := j.ID
	if lists != nil {
		in.beginUpstreamWrite(now, conn, j, lists, out)
		return
	}
	in.store.Submit(&store.Intent{Priority: store.Accept,
		Conditions: []store.Condition{{Key: pipeline.JobKeyOf(id)}, {Key: pipeline.FinalKeyOf(id)}},
		Writes:     []store.Write{{Key: pipeline.JobKeyOf(id), Data: data}},
		Done: func(res store.Result) {
			switch res.Outcome {
			case store.OK:
				res.Out.Reply(conn, 201, in.accepted(id))
			case store.Refused:
				in.later(conn, res.Out)
			default:
				in.afterUnknown(conn, id)
			}
		}}, now+in.cfg.Answer)
}

// accepted is what the user of a new job is told: if it needs a cancelled one
// it is cancelled at once.
func (in *Server) accepted(id string) []byte {
	if b := in.over(id); b != nil {
		return b
	}
	b, _ := json.Marshal(answer{ID: id, Phase: phaseNames[pipeline.Queued]})
	return b
}

// later refuses a submission for as long as what waits before it takes.
func (in *Server) later(conn uint64, out *event.Effects) {
	_, wait := in.store.Backlog(store.Accept)
	out.Busy(conn, int(math.Ceil(min(max(wait, retryAfter), maxRetryAfter))))
}

// afterUnknown answers a submission whose write conflicted or whose outcome
// did not come: the store is read, nothing is guessed. A write that lands
// after that leaves an accepted job, which a retry then finds.
func (in *Server) afterUnknown(conn uint64, id string) {
	in.store.Barrier(func(_ event.Time, ok bool, out *event.Effects) {
		if st := in.state(id); ok && st != nil {
			out.Reply(conn, 200, st)
		} else {
			out.Busy(conn, retryAfter)
		}
	})
}
