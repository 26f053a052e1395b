package pipeline

import "iter"

// jobIndex holds the jobs by ID and by index. The index of a job that is removed serves
// another, so that indices stay dense.
type jobIndex struct {
	byID        map[string]*Job
	jobs        []*Job // by index; nil: the index is free
	freeIndexes []int
}

// Job returns an unfinished job, or one that is finished but not cleaned up; nil: there
// is none.
func (i *jobIndex) Job(id string) *Job { return i.byID[id] }

// AllJobs returns the unfinished jobs and those that are finished but not cleaned up,
// in the order of their indices.
func (i *jobIndex) AllJobs() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, job := range i.jobs {
			if job != nil && !yield(job) {
				return
			}
		}
	}
}

// add gives a new job an index that is free.
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
