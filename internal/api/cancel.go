package api

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// maxCancelRetries bounds the attempts at one cancellation. Each conflict means
// that the job's record has changed meanwhile, which does not go on for long.
const maxCancelRetries = 6

// cancellation is a user's request to cancel a job.
type cancellation struct {
	conn    uint64
	id      string
	retries int
}

// cancel answers once the job has ended, by this cancellation or otherwise. The
// write requires that there is no terminal record, so a job ends exactly once.
func (s *Server) cancel(now event.Time, c cancellation, out *event.Effects) {
	if status := s.terminalStatus(c.id); status != nil {
		out.Reply(c.conn, httpwire.StatusOK, status)
		return
	}
	if s.unavailable(now) || c.retries >= maxCancelRetries {
		out.ReplyUnavailable(c.conn, minRetryAfter)
		return
	}
	j := s.accepted(c.id)
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
	}, now+s.cfg.AnswerTimeout)
}

// handleCancelResult handles the result of the write. After a conflict or without an
// answer the terminal record may be there, ours or another's: what is stored decides.
func (s *Server) handleCancelResult(c cancellation, r kv.Result) {
	switch r.Outcome {
	case kv.Committed:
		s.cancel(r.Now, c, r.Out) // answers from the terminal record
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

// cancelAfterBarrier cancels a job that the watch cache does not show: another
// controller may have accepted it a moment ago, which only a read barrier tells.
func (s *Server) cancelAfterBarrier(c cancellation) {
	s.store.Barrier(func(now event.Time, err error, out *event.Effects) {
		switch {
		case err != nil:
			out.ReplyUnavailable(c.conn, minRetryAfter)
		case s.status(c.id) == nil:
			out.Reply(c.conn, httpwire.StatusNotFound, nil)
		default:
			s.retryCancel(now, c, out)
		}
	})
}

// retryCancel tries again, with a watch cache that is newer by a read barrier.
func (s *Server) retryCancel(now event.Time, c cancellation, out *event.Effects) {
	c.retries++
	s.cancel(now, c, out)
}
