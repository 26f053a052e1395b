package api

import (
	"math"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// submit accepts a job once its record is stored.
//
// Submissions are idempotent by the job's ID. A repeat of an accepted one is
// answered with the job's status before anything else of it is judged, so it never
// gets 400 or 422 for its other fields.
func (s *Server) submit(now event.Time, r event.Request, out *event.Effects) {
	sub, err := parseSubmission(r.Body)
	if err != nil {
		refuse(r.Conn, err, out)
		return
	}
	if s.answerRepeat(now, r.Conn, *sub.ID, out) {
		return
	}
	j, upstream, err := s.decide(sub)
	switch {
	case isUnavailable(err):
		refuse(r.Conn, err, out)
	case err != nil:
		s.refuseAfterBarrier(r.Conn, *sub.ID, err)
	case s.checkUpstream(upstream) != nil:
		s.acceptAfterBarrier(r.Conn, j, upstream)
	default:
		s.accept(now, r.Conn, j, upstream, out)
	}
}

// answerRepeat answers a submission that repeats an accepted one, or any while the
// key-value store is unavailable. It reports whether it did.
func (s *Server) answerRepeat(now event.Time, conn uint64, id string, out *event.Effects) bool {
	if status := s.terminalStatus(id); status != nil {
		out.Reply(conn, httpwire.StatusOK, status)
		return true
	}
	if s.unavailable(now) {
		out.ReplyUnavailable(conn, minRetryAfter)
		return true
	}
	if s.accepted(id) != nil {
		s.poll(now, conn, id, out)
		return true
	}
	return false
}

// decide returns the submitted job and the IDs of its upstream jobs, or why it is
// refused. Whether the upstream jobs exist is not checked.
func (s *Server) decide(sub *submission) (*pipeline.Job, []string, error) {
	upstream, err := sub.upstreamJobs()
	if err != nil {
		return nil, nil, err
	}
	j, err := s.newJob(sub)
	if err != nil {
		return nil, nil, err
	}
	return j, upstream, nil
}

// refuseAfterBarrier refuses a submission for good, after a read barrier: another
// controller that knew more may have accepted the job a moment ago.
func (s *Server) refuseAfterBarrier(conn uint64, id string, err error) {
	s.answerAfterBarrier(conn, id, func(_ event.Time, out *event.Effects) {
		refuse(conn, err, out)
	})
}

// acceptAfterBarrier accepts a job if a read barrier shows all of its upstream
// jobs: the watch cache may lag behind the controllers that accepted them.
func (s *Server) acceptAfterBarrier(conn uint64, j *pipeline.Job, upstream []string) {
	s.answerAfterBarrier(conn, j.ID, func(now event.Time, out *event.Effects) {
		if err := s.checkUpstream(upstream); err != nil {
			refuse(conn, err, out)
			return
		}
		s.accept(now, conn, j, upstream, out)
	})
}

// accept stores the record of a job that can run.
func (s *Server) accept(now event.Time, conn uint64, j *pipeline.Job, upstream []string, out *event.Effects) {
	j.SubmittedAt = s.jobs.UnixMS(now)
	j.Ready = s.allDone(upstream)
	if j.Ready {
		j.ReadyAt = j.SubmittedAt
	}
	pages := s.layOutUpstream(j, upstream)
	record, err := s.encodeRecord(j, len(pages) > 0)
	if err != nil {
		refuse(conn, err, out)
		return
	}
	if delay := s.store.QueueDelay(kv.PrioritySubmission); delay.AtTotalRate > s.cfg.AnswerTimeout.Seconds() {
		// The write would wait for longer than the user does. Refusing it now
		// leaves the rate to those that wait already.
		refuse(conn, s.backlogError(), out)
		return
	}
	if len(pages) > 0 {
		s.startPagedSubmission(now, conn, j, pages, out)
		return
	}
	s.storeRecord(now, conn, j.ID, record)
}

// encodeRecord returns a new job's record. Its error is a *malformedError if the
// record is larger than a value may be: the user's names are too long.
func (s *Server) encodeRecord(j *pipeline.Job, paged bool) ([]byte, error) {
	limit := s.cfg.ValueBytes
	if paged {
		limit -= pagesRevisionBytes
	}
	data := pipeline.EncodeJob(s.names, j)
	if len(data) > limit {
		return nil, &malformedError{badField: badField{Value: len(data), Expected: "a shorter record"}}
	}
	return data, nil
}

// storeRecord stores a new job's record unless the job has one or has ended, and
// answers the submission.
func (s *Server) storeRecord(now event.Time, conn uint64, id string, data []byte) {
	jobKey, terminalKey := record.JobKey(id), record.TerminalKey(id)
	s.store.Submit(&kv.Txn{
		Priority: kv.PrioritySubmission,
		Compares: []kv.Compare{{Key: jobKey}, {Key: terminalKey}},
		Writes:   []kv.Write{{Key: jobKey, Data: data}},
		Done: func(r kv.Result) {
			switch r.Outcome {
			case kv.Committed:
				r.Out.Reply(conn, httpwire.StatusCreated, s.statusOfNew(id))
			case kv.Aborted, kv.Rejected:
				refuse(conn, s.backlogError(), r.Out)
			default:
				s.answerAsStored(conn, id)
			}
		},
	}, now+s.cfg.AnswerTimeout)
}

// backlogError asks a client to come back when the writes that wait now are done.
func (s *Server) backlogError() error {
	wait := s.store.QueueDelay(kv.PrioritySubmission).AtOwnShare
	seconds := min(max(wait, minRetryAfter), maxRetryAfter)
	return &unavailableError{Reason: "too many writes wait", RetryAfter: int(math.Ceil(seconds))}
}

// answerAsStored answers a submission whose write conflicted or whose outcome is
// unknown: with the job's status if a read barrier shows it as accepted, else with
// 503. A write that is carried out after the barrier leaves an accepted job, which
// the user's retry finds.
func (s *Server) answerAsStored(conn uint64, id string) {
	s.answerAfterBarrier(conn, id, func(_ event.Time, out *event.Effects) {
		out.ReplyUnavailable(conn, minRetryAfter)
	})
}
