package api

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// maxCancelRetries is the maximum number of retries of a cancellation. A conflict means
// that the job's record has changed in the meantime, which does not continue for long.
const maxCancelRetries = 6

// cancellation is a user's request to cancel a job.
type cancellation struct {
	conn    uint64
	id      string
	retries int
}

// cancel writes the terminal record of a job and replies when the job has ended, by this
// cancellation or otherwise. The write requires that no terminal record exists, so a job
// ends exactly once.
func (s *Server) cancel(now event.Time, c cancellation, out *event.Effects) {
	if s.replyIfEnded(now, c.conn, httpwire.StatusOK, c.id, out) {
		return
	}
	if s.storeUnavailable(now) || c.retries >= maxCancelRetries {
		out.ReplyUnavailable(c.conn, minRetryAfter)
		return
	}
	j := s.acceptedJob(c.id)
	if j == nil {
		s.cancelAfterBarrier(c)
		return
	}
	jobKey, terminalKey := record.JobKey(c.id), record.TerminalKey(c.id)
	s.store.Submit(&kv.Txn{
		Priority: kv.PriorityCancellation,
		Compares: []kv.Compare{{Key: jobKey, ModRevision: j.ModRevision}, {Key: terminalKey}},
		Writes:   []kv.Write{{Key: terminalKey, Data: pipeline.EncodeTerminal(pipeline.Cancelled, j)}},
		Done:     func(r kv.Result) { s.handleCancelResult(c, r) },
	}, now+s.cfg.RequestTimeout)
}

// handleCancelResult handles the result of writing the terminal record. After a conflict
// or an unknown outcome a terminal record may exist, written by this request or another
// one, so the cancellation is retried after a read barrier.
func (s *Server) handleCancelResult(c cancellation, r kv.Result) {
	switch r.Outcome {
	case kv.Committed:
		s.cancel(r.Now, c, r.Out) // replies from the terminal record
	case kv.Aborted, kv.Rejected:
		r.Out.ReplyUnavailable(c.conn, minRetryAfter)
	default:
		s.store.Barrier(func(now event.Time, err error, out *event.Effects) {
			if err != nil {
				out.ReplyUnavailable(c.conn, minRetryAfter)
				return
			}
			s.retryCancel(now, c, out)
		})
	}
}

// cancelAfterBarrier cancels a job that is not in the watch cache. Another controller may
// have just accepted it, so the job is looked up again after a read barrier.
func (s *Server) cancelAfterBarrier(c cancellation) {
	s.store.Barrier(func(now event.Time, err error, out *event.Effects) {
		switch {
		case err != nil:
			out.ReplyUnavailable(c.conn, minRetryAfter)
		case !s.known(c.id):
			out.Reply(c.conn, httpwire.StatusNotFound, nil)
		default:
			s.retryCancel(now, c, out)
		}
	})
}

// retryCancel retries a cancellation after a read barrier has updated the watch cache.
func (s *Server) retryCancel(now event.Time, c cancellation, out *event.Effects) {
	c.retries++
	s.cancel(now, c, out)
}
