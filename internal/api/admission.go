package api

import "lugward/internal/pipeline"

// Shares of a controller's memory that accepted work may take by the estimate of
// pipeline.Table. The rest is for connections, messages and the garbage of the Go runtime,
// also while a controller reads all records at its start.
const (
	// unfinishedWorkShare is for unfinished jobs and those that ended so recently that their
	// records are not deleted yet.
	unfinishedWorkShare = 0.4
	// upstreamListShare is the part of it that lists of upstream jobs may take. Otherwise a
	// few users with long lists could use up the memory for everybody's jobs.
	upstreamListShare = 0.2
	// allWorkShare is for unfinished jobs and all terminal records, which are never deleted.
	allWorkShare = 0.55
)

// memoryRetryAfter is the Retry-After of submissions that are rejected for lack of memory, in
// seconds. Memory is freed as jobs end.
const memoryRetryAfter = 5

// memoryLimits are the limits on the estimated memory of accepted work, in bytes.
type memoryLimits struct {
	unfinishedWork int
	upstreamLists  int
	allWork        int
}

func newMemoryLimits(memoryBytes int) memoryLimits {
	return memoryLimits{
		unfinishedWork: int(unfinishedWorkShare * float64(memoryBytes)),
		upstreamLists:  int(upstreamListShare * float64(memoryBytes)),
		allWork:        int(allWorkShare * float64(memoryBytes)),
	}
}

// admit returns an *unavailableError if a new job that waits for the given number of upstream
// jobs might not leave enough memory to the controllers. All of them keep all jobs, and their
// estimates agree but for records that they have not seen yet.
func (s *Server) admit(upstreamJobs, pages int) error {
	if s.cfg.MemoryBytes == 0 {
		return nil
	}
	newLists := pipeline.EstimatedListBytes(upstreamJobs, pages)
	for _, p := range s.pagedSubmissions {
		newLists += p.estimatedBytes
	}
	newWork := pipeline.EstimatedJobBytes() + newLists
	limits := newMemoryLimits(s.cfg.MemoryBytes)
	switch {
	case upstreamJobs > 0 && s.jobs.EstimatedUpstreamBytes()+newLists > limits.upstreamLists:
		return outOfMemory("lists of upstream jobs")
	case s.jobs.EstimatedUnfinishedBytes()+newWork > limits.unfinishedWork:
		return outOfMemory("unfinished jobs")
	case s.jobs.EstimatedBytes()+newWork > limits.allWork:
		return outOfMemory("all jobs")
	}
	return nil
}

func outOfMemory(cause string) error {
	return &unavailableError{Reason: "no memory left for " + cause, RetryAfter: memoryRetryAfter}
}
