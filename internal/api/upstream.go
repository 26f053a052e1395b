package api

import "lugward/internal/pipeline"

// partsVersionBytes is the most that the version of a list's part 0 takes in
// the job's record. It is added after the record's size has been checked.
const partsVersionBytes = 32

// layOutUpstream puts the list of upstream jobs into the job's record if it
// fits there even when the record gets the time at which the job became ready.
// Otherwise it returns the list cut into parts, each the value of a key of its
// own. A job that is ready needs no list.
func (s *Server) layOutUpstream(j *pipeline.Job, upstream []string) [][]byte {
	if len(upstream) == 0 {
		return nil
	}
	j.Upstream = upstream
	largest := *j
	largest.Ready = true
	largest.ReadyAt = j.SubmittedAt + 1 // has as many digits as any later time
	if len(pipeline.Encode(s.names, &largest)) <= s.cfg.ValueBytes {
		return nil
	}
	j.Upstream = nil
	if j.Ready {
		return nil
	}
	parts := pipeline.EncodeUpstreamPages(upstream, s.cfg.ValueBytes)
	j.UpstreamPages = len(parts)
	return parts
}
