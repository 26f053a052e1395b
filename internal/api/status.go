package api

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/pipeline"
)

// poll replies with a job's status. A terminal status never changes and is returned from
// the watch cache. Any other status is returned after a read barrier.
func (s *Server) poll(now event.Time, conn uint64, id string, out *event.Effects) {
	if status := s.terminalStatus(id); status != nil {
		out.Reply(conn, httpwire.StatusOK, status)
		return
	}
	if s.storeUnavailable(now) {
		out.ReplyUnavailable(conn, minRetryAfter)
		return
	}
	s.replyAfterBarrier(conn, id, func(_ event.Time, out *event.Effects) {
		out.Reply(conn, httpwire.StatusNotFound, nil)
	})
}

// replyAfterBarrier replies with a job's status after a read barrier, or with 503 if the
// barrier fails. If the job has not been accepted, it calls replyUnknownJob, which must
// send the reply.
func (s *Server) replyAfterBarrier(conn uint64, id string, replyUnknownJob replyFunc) {
	s.store.Barrier(func(now event.Time, err error, out *event.Effects) {
		s.replyWhenRead(now, err, conn, id, replyUnknownJob, out)
	})
}

// replyFunc sends the reply to a request.
type replyFunc func(now event.Time, out *event.Effects)

// replyWhenRead sends the reply of replyAfterBarrier once the barrier has ended with err.
func (s *Server) replyWhenRead(now event.Time, err error, conn uint64, id string, replyUnknownJob replyFunc, out *event.Effects) {
	if err != nil {
		out.ReplyUnavailable(conn, minRetryAfter)
	} else if status := s.status(id); status != nil {
		out.Reply(conn, httpwire.StatusOK, status)
	} else {
		replyUnknownJob(now, out)
	}
}

// acceptedJob returns a job whose persisted record is in the local watch cache, or nil.
func (s *Server) acceptedJob(id string) *pipeline.Job {
	if j := s.jobs.Job(id); j != nil && j.ModRevision != 0 {
		return j
	}
	return nil
}

// status returns the encoded status of a job from the watch cache, or nil if the watch
// cache has no such job.
func (s *Server) status(id string) []byte {
	if status := s.terminalStatus(id); status != nil {
		return status
	}
	j := s.acceptedJob(id)
	if j == nil {
		return nil
	}
	return jobStatus{ID: id, Phase: phaseNames[j.Phase()], Done: j.DoneCount(), Running: j.ActiveCount()}.encode()
}

// terminalStatus returns the encoded status of a job that has ended, or nil if it has
// not. A job has ended if it has a terminal record or depends on a cancelled job.
func (s *Server) terminalStatus(id string) []byte {
	if terminal, ok := s.jobs.Terminal.Get(id); ok {
		status := jobStatus{ID: id, Phase: phaseNames[terminal.Phase]}
		if terminal.Phase == pipeline.Done {
			status.Done = terminal.TaskCount
		}
		return status.encode()
	}
	if j := s.acceptedJob(id); j != nil && j.UpstreamCancelled() {
		return jobStatus{ID: id, Phase: phaseNames[pipeline.Cancelled]}.encode()
	}
	return nil
}

// newJobStatus returns the encoded status of a job that has just been accepted. The job
// is cancelled immediately if it depends on a cancelled job, otherwise it is queued.
func (s *Server) newJobStatus(id string) []byte {
	if status := s.terminalStatus(id); status != nil {
		return status
	}
	return jobStatus{ID: id, Phase: phaseNames[pipeline.Queued]}.encode()
}
