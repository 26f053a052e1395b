package api

import (
	"math"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// submit handles a submission. The job is accepted when its record is persisted.
//
// Submissions are idempotent by job ID. A repeat of an accepted submission gets the
// job's status before its upstream list and the feasibility of the job are checked, so
// it is never rejected for those.
func (s *Server) submit(now event.Time, r event.Request, out *event.Effects) {
	sub, err := parseSubmission(r.Body)
	if err != nil {
		replyError(r.Conn, err, out)
		return
	}
	if s.replyToRepeat(now, r.Conn, *sub.ID, out) {
		return
	}
	c, err := s.validate(sub)
	switch {
	case isUnavailable(err):
		replyError(r.Conn, err, out)
	case err != nil:
		s.rejectAfterBarrier(r.Conn, *sub.ID, err)
	case s.checkUpstream(c.upstream) != nil:
		s.acceptAfterBarrier(r.Conn, c, out)
	default:
		s.accept(now, r.Conn, c, out)
	}
}

// replyToRepeat replies to a submission of a job that has already been accepted. It
// replies to any other submission with 503 while the state service is unavailable. It
// reports whether it has handled the submission.
func (s *Server) replyToRepeat(now event.Time, conn uint64, id string, out *event.Effects) bool {
	if s.replyIfEnded(now, conn, httpwire.StatusOK, id, out) {
		return true
	}
	if s.storeUnavailable(now) {
		out.ReplyUnavailable(conn, minRetryAfter)
		return true
	}
	if s.acceptedJob(id) != nil {
		s.poll(now, conn, id, out)
		return true
	}
	return false
}

// rejectAfterBarrier rejects a submission after a read barrier, unless the barrier
// shows the job as accepted: another controller with newer data may have just accepted
// it.
func (s *Server) rejectAfterBarrier(conn uint64, id string, err error) {
	s.replyAfterBarrier(conn, id, func(_ event.Time, out *event.Effects) {
		replyError(conn, err, out)
	})
}

// acceptAfterBarrier accepts a job if all of its upstream jobs are known after a read
// barrier. The barrier is needed because the watch cache may lag behind the controllers
// that accepted them. The job waits for it only if its list does not take too much memory.
func (s *Server) acceptAfterBarrier(conn uint64, c *candidate, out *event.Effects) {
	if err := s.admit(c.job.Priority, len(c.upstream), 0); err != nil {
		replyError(conn, err, out)
		return
	}
	s.waitingUpstreamIDs += len(c.upstream)
	s.store.Barrier(func(now event.Time, err error, out *event.Effects) {
		s.waitingUpstreamIDs -= len(c.upstream)
		s.replyWhenRead(now, err, conn, c.job.ID, func(now event.Time, out *event.Effects) {
			if err := s.checkUpstream(c.upstream); err != nil {
				replyError(conn, err, out)
				return
			}
			s.accept(now, conn, c, out)
		}, out)
	})
}

// accept writes the record of a validated job, unless there is no room for it.
func (s *Server) accept(now event.Time, conn uint64, c *candidate, out *event.Effects) {
	added := s.indexNames(c)
	pages, data, err := s.prepareRecord(now, c)
	if err != nil {
		s.releaseNames(c, added)
		replyError(conn, err, out)
		return
	}
	if len(pages) > 0 {
		s.startPagedSubmission(now, conn, c.job, pages, out)
		return
	}
	s.writeUnpagedRecord(now, conn, c.job.ID, data)
}

// prepareRecord returns the encoded record of a new job, and the pages of its list of
// upstream jobs if the record does not hold the list. It returns an error if the record is too
// large, or if there is no room for the job in the controllers' memory or in the queue of writes.
func (s *Server) prepareRecord(now event.Time, c *candidate) (pages [][]byte, data []byte, err error) {
	j := c.job
	j.SubmittedAt = s.jobs.UnixMS(now)
	j.Ready = s.allDone(c.upstream)
	if j.Ready {
		j.ReadyAt = j.SubmittedAt
	}
	pages = s.setUpstream(j, c.upstream)
	if data, err = s.encodeRecord(j, len(pages) > 0); err != nil {
		return nil, nil, err
	}
	heldFor := len(c.upstream)
	if j.Ready {
		heldFor = 0
	}
	if err = s.admit(j.Priority, heldFor, len(pages)); err != nil {
		return nil, nil, err
	}
	if delay := s.store.QueueDelay(kv.PrioritySubmission); delay.SecondsAtTotalRate > s.cfg.RequestTimeout.Seconds() {
		// The write would stay in the queue until the request has timed out.
		// Rejecting it now leaves the write rate to the writes already queued.
		return nil, nil, s.backlogError()
	}
	return pages, data, nil
}

// encodeRecord returns the encoded record of a new job. It returns a *malformedError
// if the record exceeds the maximum value size, which happens if the names in the
// submission are too long.
func (s *Server) encodeRecord(j *pipeline.Job, paged bool) ([]byte, error) {
	limit := s.cfg.ValueBytes
	if paged {
		limit -= maxSubmissionRevisionBytes
	}
	data := pipeline.EncodeJob(s.names, j)
	if len(data) > limit {
		return nil, &malformedError{badField: badField{Value: len(data), Expected: "a smaller job record (size in bytes)"}}
	}
	return data, nil
}

// writeUnpagedRecord writes the record of a new job whose upstream list is not split into
// pages, and replies to the submission. The write requires that the job has neither a
// record nor a terminal record.
func (s *Server) writeUnpagedRecord(now event.Time, conn uint64, id string, data []byte) {
	jobKey, terminalKey := record.JobKey(id), record.TerminalKey(id)
	s.store.Submit(&kv.Txn{
		Priority: kv.PrioritySubmission,
		Compares: []kv.Compare{{Key: jobKey}, {Key: terminalKey}},
		Writes:   []kv.Write{{Key: jobKey, Data: data}},
		Done: func(r kv.Result) {
			switch r.Outcome {
			case kv.Committed:
				s.replyAccepted(r.Now, conn, id, r.Out)
			case kv.Aborted, kv.Rejected:
				replyError(conn, s.backlogError(), r.Out)
			default:
				s.replyWithPersistedStatus(conn, id)
			}
		},
	}, now+s.cfg.RequestTimeout)
}

// backlogError returns an *unavailableError whose RetryAfter is the estimated time until
// the queued writes have been sent, within minRetryAfter and maxRetryAfter.
func (s *Server) backlogError() error {
	wait := s.store.QueueDelay(kv.PrioritySubmission).SecondsAtOwnShare
	seconds := min(max(wait, minRetryAfter), maxRetryAfter)
	return &unavailableError{Reason: "too many queued writes", RetryAfter: int(math.Ceil(seconds))}
}

// replyWithPersistedStatus replies to a submission whose write conflicted or has an unknown
// outcome. It replies with the job's status if a read barrier shows the job as accepted,
// otherwise with 503. If the write is executed after the barrier, the job is accepted
// and the user's retry finds it.
func (s *Server) replyWithPersistedStatus(conn uint64, id string) {
	s.replyAfterBarrier(conn, id, func(_ event.Time, out *event.Effects) {
		out.ReplyUnavailable(conn, minRetryAfter)
	})
}
