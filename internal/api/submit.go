package api

import (
	"errors"
	"math"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
)

// submit accepts a job once its record is stored. A repeat of an accepted
// submission is answered with the job's state before anything else of it is
// judged, so it never gets 400 or 422.
func (s *Server) submit(now event.Time, r event.Request, out *event.Effects) {
	sub, err := parseSubmission(r.Body)
	if err != nil {
		out.Reply(r.Conn, httpwire.StatusBadRequest, nil)
		return
	}
	id := *sub.ID
	if b := s.finalState(id); b != nil {
		out.Reply(r.Conn, httpwire.StatusOK, b)
		return
	}
	if s.unavailable(now) {
		out.ReplyUnavailable(r.Conn, retryAfter)
		return
	}
	if s.accepted(id) != nil {
		s.poll(now, r.Conn, id, out)
		return
	}
	upstream, err := sub.upstreamJobs()
	if err != nil {
		s.reject(r.Conn, id, httpwire.StatusBadRequest)
		return
	}
	j, err := s.newJob(sub)
	switch {
	case errors.Is(err, errMachineTypesUnknown):
		out.ReplyUnavailable(r.Conn, retryAfter)
	case err != nil:
		s.reject(r.Conn, id, httpwire.StatusUnprocessableContent)
	case !s.validUpstream(upstream):
		s.acceptAfterBarrier(r.Conn, j, upstream)
	default:
		s.accept(now, r.Conn, j, upstream, out)
	}
}

// reject answers a submission with a final refusal, after a read barrier:
// another controller that knew more may have accepted the job a moment ago.
func (s *Server) reject(conn uint64, id string, status int) {
	s.answerAfterBarrier(conn, id, func(_ event.Time, out *event.Effects) {
		out.Reply(conn, status, nil)
	})
}

// acceptAfterBarrier accepts a job if a read barrier shows all of its upstream
// jobs: the replica may lag behind the controllers that accepted them.
func (s *Server) acceptAfterBarrier(conn uint64, j *pipeline.Job, upstream []string) {
	s.answerAfterBarrier(conn, j.ID, func(now event.Time, out *event.Effects) {
		if !s.validUpstream(upstream) {
			out.Reply(conn, httpwire.StatusUnprocessableContent, nil)
			return
		}
		s.accept(now, conn, j, upstream, out)
	})
}

// validUpstream reports whether the replica shows that a new job may depend on
// all of a list: jobs that have been accepted, and that end (not daemons). The
// new job itself is not accepted, so it cannot be among them.
func (s *Server) validUpstream(upstream []string) bool {
	for _, id := range upstream {
		if final, ok := s.jobs.Terminal.Get(id); ok {
			if final.Daemon {
				return false
			}
			continue
		}
		if j := s.accepted(id); j == nil || j.Shape == pipeline.Daemon {
			return false
		}
	}
	return true
}

// accept stores the record of a job that can run.
func (s *Server) accept(now event.Time, conn uint64, j *pipeline.Job, upstream []string, out *event.Effects) {
	j.SubmittedAt = s.jobs.UnixMS(now)
	for _, id := range upstream {
		final, _ := s.jobs.Terminal.Get(id)
		j.Ready = j.Ready && final.Phase == pipeline.Done
	}
	if j.Ready {
		j.ReadyAt = j.SubmittedAt
	}
	parts := s.layOutUpstream(j, upstream)
	data := pipeline.Encode(s.names, j)
	capacity := s.cfg.ValueBytes
	if parts != nil {
		capacity -= partsVersionBytes
	}
	if len(data) > capacity {
		out.Reply(conn, httpwire.StatusBadRequest, nil)
		return
	}
	if delay := s.store.QueueDelay(kv.PrioritySubmission); delay.AtTotalRate > s.cfg.Answer.Seconds() {
		// The write would wait for longer than the user does. Refusing it now
		// leaves the rate to those that wait already.
		s.refuseForBacklog(conn, out)
		return
	}
	if parts != nil {
		s.beginPartsWrite(now, conn, j, parts, out)
		return
	}
	s.storeRecord(now, conn, j.ID, data)
}

func (s *Server) storeRecord(now event.Time, conn uint64, id string, record []byte) {
	jobKey, finalKey := pipeline.JobKeyOf(id), pipeline.TerminalKeyOf(id)
	s.store.Submit(&kv.Txn{
		Priority: kv.PrioritySubmission,
		Compares: []kv.Compare{{Key: jobKey}, {Key: finalKey}},
		Writes:   []kv.Write{{Key: jobKey, Data: record}},
		Done: func(r kv.Result) {
			switch r.Outcome {
			case kv.Committed:
				r.Out.Reply(conn, httpwire.StatusCreated, s.stateOfNew(id))
			case kv.Aborted, kv.Rejected:
				s.refuseForBacklog(conn, r.Out)
			default:
				s.answerFromStore(conn, id)
			}
		},
	}, now+s.cfg.Answer)
}

// stateOfNew returns the encoded state of a job that has just been accepted: it
// is cancelled at once if it needs a cancelled job.
func (s *Server) stateOfNew(id string) []byte {
	if b := s.finalState(id); b != nil {
		return b
	}
	return answer{ID: id, Phase: phaseNames[pipeline.Queued]}.encode()
}

// refuseForBacklog answers 503 with the time that the writes before this one take.
func (s *Server) refuseForBacklog(conn uint64, out *event.Effects) {
	wait := s.store.QueueDelay(kv.PrioritySubmission).AtOwnShare
	seconds := min(max(wait, retryAfter), maxRetryAfter)
	out.ReplyUnavailable(conn, int(math.Ceil(seconds)))
}

// answerFromStore answers a submission whose write conflicted or whose outcome
// is unknown. A write that is carried out after the barrier leaves an accepted
// job, which the user's retry finds.
func (s *Server) answerFromStore(conn uint64, id string) {
	s.answerAfterBarrier(conn, id, func(_ event.Time, out *event.Effects) {
		out.ReplyUnavailable(conn, retryAfter)
	})
}
