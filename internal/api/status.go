package api

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/pipeline"
)

// poll replies with a job's status. A terminal status never changes and is returned from
// the watch cache. Any other status is returned after a read barrier.
func (s *Server) poll(now event.Time, conn uint64, id string, out *event.Effects) {
	if s.replyIfEnded(now, conn, httpwire.StatusOK, id, out) {
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
	} else if s.replyIfEnded(now, conn, httpwire.StatusOK, id, out) {
		return
	} else if status := s.unfinishedStatus(id); status != nil {
		out.Reply(conn, httpwire.StatusOK, status)
	} else {
		replyUnknownJob(now, out)
	}
}

// replyIfEnded replies with the status of a job that has ended, and reports whether it has. If the
// job is cancelled, the reply is sent once every start command takes that into account.
func (s *Server) replyIfEnded(now event.Time, conn uint64, httpStatus int, id string, out *event.Effects) bool {
	status := s.endedStatus(id)
	switch {
	case status == nil:
		return false
	case status.Phase == phaseNames[pipeline.Cancelled]:
		s.cancelled.reply(now, heldAnswer{conn: conn, id: id, status: httpStatus, body: status.encode()}, out)
	default:
		out.Reply(conn, httpStatus, status.encode())
	}
	return true
}

// acceptedJob returns a job whose persisted record is in the local watch cache, or nil.
func (s *Server) acceptedJob(id string) *pipeline.Job {
	if j := s.jobs.Job(id); j != nil && j.ModRevision != 0 {
		return j
	}
	return nil
}

// known reports whether the watch cache has a job, which may have ended.
func (s *Server) known(id string) bool { return s.acceptedJob(id) != nil || s.endedStatus(id) != nil }

// unfinishedStatus returns the encoded status of a job that has not ended from the watch cache,
// or nil if the watch cache has no such job.
func (s *Server) unfinishedStatus(id string) []byte {
	j := s.acceptedJob(id)
	if j == nil {
		return nil
	}
	return jobStatus{ID: id, Phase: phaseNames[j.Phase()], Done: j.DoneCount(), Running: j.ActiveCount()}.encode()
}

// endedStatus returns the status of a job that has ended, or nil if it has not. A job has ended
// if it has a terminal record or depends on a cancelled job.
func (s *Server) endedStatus(id string) *jobStatus {
	if terminal, ok := s.jobs.Terminal.Get(id); ok {
		status := &jobStatus{ID: id, Phase: phaseNames[terminal.Phase]}
		if terminal.Phase == pipeline.Done {
			status.Done = terminal.TaskCount
		}
		return status
	}
	if j := s.acceptedJob(id); j != nil && j.UpstreamCancelled() {
		return &jobStatus{ID: id, Phase: phaseNames[pipeline.Cancelled]}
	}
	return nil
}

// replyAccepted replies that a job has just been accepted. The job is cancelled immediately if
// it depends on a cancelled job, otherwise it is queued.
func (s *Server) replyAccepted(now event.Time, conn uint64, id string, out *event.Effects) {
	if !s.replyIfEnded(now, conn, httpwire.StatusCreated, id, out) {
		out.Reply(conn, httpwire.StatusCreated, jobStatus{ID: id, Phase: phaseNames[pipeline.Queued]}.encode())
	}
}
