package api

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/pipeline"
)

// poll answers with a job's status. A terminal one is answered from memory, as it
// never changes; any other waits for a read barrier.
func (s *Server) poll(now event.Time, conn uint64, id string, out *event.Effects) {
	if status := s.terminalStatus(id); status != nil {
		out.Reply(conn, httpwire.StatusOK, status)
		return
	}
	if s.unavailable(now) {
		out.ReplyUnavailable(conn, minRetryAfter)
		return
	}
	s.answerAfterBarrier(conn, id, func(_ event.Time, out *event.Effects) {
		out.Reply(conn, httpwire.StatusNotFound, nil)
	})
}

// answerAfterBarrier answers with a job's status as of now or later, and with 503
// if the key-value store does not answer. If no such job has been accepted it
// calls unknown, which has to answer.
func (s *Server) answerAfterBarrier(conn uint64, id string, unknown func(now event.Time, out *event.Effects)) {
	s.store.Barrier(func(now event.Time, err error, out *event.Effects) {
		if err != nil {
			out.ReplyUnavailable(conn, minRetryAfter)
		} else if status := s.status(id); status != nil {
			out.Reply(conn, httpwire.StatusOK, status)
		} else {
			unknown(now, out)
		}
	})
}

// accepted returns a job whose record is stored, or nil. A record that the local
// watch cache does not show yet does not count.
func (s *Server) accepted(id string) *pipeline.Job {
	if j := s.jobs.Job(id); j != nil && j.ModRevision != 0 {
		return j
	}
	return nil
}

// status returns the encoded status of a job as the watch cache has it, nil if it
// shows no such job.
func (s *Server) status(id string) []byte {
	if status := s.terminalStatus(id); status != nil {
		return status
	}
	j := s.accepted(id)
	if j == nil {
		return nil
	}
	return jobStatus{ID: id, Phase: phaseNames[j.Phase()], Done: j.DoneCount(), Running: j.ActiveCount()}.encode()
}

// terminalStatus returns the encoded status of a job that has ended, nil for any
// other. A job has ended if it has a terminal record, or if it depends on a
// cancelled job.
func (s *Server) terminalStatus(id string) []byte {
	if terminal, ok := s.jobs.Terminal.Get(id); ok {
		status := jobStatus{ID: id, Phase: phaseNames[terminal.Phase]}
		if terminal.Phase == pipeline.Done {
			status.Done = terminal.TaskCount
		}
		return status.encode()
	}
	if j := s.accepted(id); j != nil && j.UpstreamCancelled() {
		return jobStatus{ID: id, Phase: phaseNames[pipeline.Cancelled]}.encode()
	}
	return nil
}

// statusOfNew returns the encoded status of a job that has just been accepted: it
// is cancelled at once if it depends on a cancelled job.
func (s *Server) statusOfNew(id string) []byte {
	if status := s.terminalStatus(id); status != nil {
		return status
	}
	return jobStatus{ID: id, Phase: phaseNames[pipeline.Queued]}.encode()
}
