package pipeline

import "iter"

// jobIndex holds the jobs by ID and by index. The index of a removed job is reused, so
// that indices stay dense.
type jobIndex struct {
	byID        map[string]*Job
	jobs        []*Job // by index, nil if the index is free
	freeIndexes []int
}

// Job returns the job with an ID, or nil if there is none. Finished jobs are included
// until their records are deleted.
func (i *jobIndex) Job(id string) *Job { return i.byID[id] }

// AllJobs returns all jobs in the order of their indices. Finished jobs are included until
// their records are deleted.
func (i *jobIndex) AllJobs() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, job := range i.jobs {
			if job != nil && !yield(job) {
				return
			}
		}
	}
}

// add adds a new job under a free index.
func (i *jobIndex) add(job *Job) {
	i.byID[job.ID] = job
	last := len(i.freeIndexes) - 1
	if last < 0 {
		job.Index = len(i.jobs)
		i.jobs = append(i.jobs, job)
		return
	}
	job.Index = i.freeIndexes[last]
	i.freeIndexes = i.freeIndexes[:last]
	i.jobs[job.Index] = job
}

// remove removes a job and frees its index.
func (i *jobIndex) remove(job *Job) {
	delete(i.byID, job.ID)
	i.jobs[job.Index] = nil
	i.freeIndexes = append(i.freeIndexes, job.Index)
}
