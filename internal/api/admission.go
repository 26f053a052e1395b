package api

import "lugward/internal/pipeline"

// memoryRetryAfter is the Retry-After of submissions that are rejected for lack of memory, in
// seconds. Memory is freed as jobs end.
const memoryRetryAfter = 5

// bytesPerUpstreamID is the estimated memory of an ID in the list of a submission that waits.
const bytesPerUpstreamID = 48

// admit returns an *unavailableError if a new job of a priority that waits for the given number of
// upstream jobs might not leave enough memory to the controllers.
func (s *Server) admit(priority pipeline.Priority, upstreamJobs, pages int) error {
	job := pipeline.NewJob{
		Priority:     priority,
		UpstreamJobs: upstreamJobs,
		Pages:        pages,
		PendingBytes: bytesPerUpstreamID * s.waitingUpstreamIDs,
	}
	for _, p := range s.pagedSubmissions {
		job.PendingBytes += p.pageBytes
	}
	if scarce := s.jobs.CheckMemory(job); scarce != pipeline.EnoughMemory {
		return &unavailableError{Reason: "no memory left for " + string(scarce), RetryAfter: memoryRetryAfter}
	}
	return nil
}
