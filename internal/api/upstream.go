package api

import (
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// maxSubmissionRevisionBytes is the maximum size that the revision of the first page adds
// to the job's record. The revision is set after the record's size has been checked.
const maxSubmissionRevisionBytes = 32

// checkUpstream returns an *infeasibleError unless a new job may depend on all of the
// given jobs. According to the watch cache, each must have been accepted and must not be
// a daemon, as daemons do not end by themselves. The new job has not been accepted yet,
// so it cannot depend on itself.
func (s *Server) checkUpstream(upstream []string) error {
	for _, id := range upstream {
		if !s.canBeUpstream(id) {
			return infeasible(fieldUpstream, id, "an accepted job that ends by itself")
		}
	}
	return nil
}

func (s *Server) canBeUpstream(id string) bool {
	if terminal, ok := s.jobs.Terminal.Get(id); ok {
		return !terminal.Daemon
	}
	j := s.acceptedJob(id)
	return j != nil && j.Shape != pipeline.Daemon
}

// allDone reports whether all of the given jobs are done.
func (s *Server) allDone(ids []string) bool {
	for _, id := range ids {
		if terminal, _ := s.jobs.Terminal.Get(id); terminal.Phase != pipeline.Done {
			return false
		}
	}
	return true
}

// setUpstream sets the list of upstream jobs in the job if its record can hold it, even
// after the time at which the job became ready has been added. Otherwise it returns the
// list split into pages, each to be written under its own key. If the list does not fit
// and the job is ready, the list is omitted, as a ready job does not need it.
func (s *Server) setUpstream(j *pipeline.Job, upstream []string) (pages [][]byte) {
	if len(upstream) == 0 {
		return nil
	}
	j.Upstream = upstream
	largest := *j
	largest.Ready = true
	largest.ReadyAt = j.SubmittedAt + 1 // as many digits as any later time
	if len(pipeline.EncodeJob(s.names, &largest)) <= s.cfg.ValueBytes {
		return nil
	}
	j.Upstream = nil
	if j.Ready {
		return nil
	}
	pages = record.EncodeUpstreamPages(upstream, s.cfg.ValueBytes)
	j.UseUpstreamPages(len(pages))
	return pages
}
