package api

import (
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// pagesRevisionBytes is the most that the revision of a list's first page takes in
// the job's record. It is added after the record's size has been checked.
const pagesRevisionBytes = 32

// checkUpstream returns an *infeasibleError unless the watch cache shows that a
// new job may depend on all of a list: jobs that have been accepted, and that end
// (not daemons). The new job itself is not accepted, so it cannot be among them.
func (s *Server) checkUpstream(upstream []string) error {
	for _, id := range upstream {
		if !s.mayBeUpstream(id) {
			return infeasible(fieldUpstream, id, "an accepted job that ends by itself")
		}
	}
	return nil
}

func (s *Server) mayBeUpstream(id string) bool {
	if terminal, ok := s.jobs.Terminal.Get(id); ok {
		return !terminal.Daemon
	}
	j := s.accepted(id)
	return j != nil && j.Shape != pipeline.Daemon
}

// allDone reports whether all of a list of jobs are done.
func (s *Server) allDone(ids []string) bool {
	for _, id := range ids {
		if terminal, _ := s.jobs.Terminal.Get(id); terminal.Phase != pipeline.Done {
			return false
		}
	}
	return true
}

// layOutUpstream puts the list of upstream jobs into the job's record if it
// fits there even when the record gets the time at which the job became ready.
// Otherwise it returns the list cut into pages, each the value of a key of its
// own. A job that is ready needs no list.
func (s *Server) layOutUpstream(j *pipeline.Job, upstream []string) (pages [][]byte) {
	if len(upstream) == 0 {
		return nil
	}
	j.Upstream = upstream
	largest := *j
	largest.Ready = true
	largest.ReadyAt = j.SubmittedAt + 1 // has as many digits as any later time
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
