package api

import "lugward/internal/pipeline"

// candidate is a valid submission of a job that is not accepted yet.
type candidate struct {
	job          *pipeline.Job
	class, image string
	upstream     []string // IDs of the upstream jobs
}

// validate returns the submitted job, or an error if the submission must be rejected. It does
// not check whether the upstream jobs exist.
func (s *Server) validate(sub *submission) (*candidate, error) {
	upstream, err := sub.upstreamJobs()
	if err != nil {
		return nil, err
	}
	j, err := s.newJob(sub)
	if err != nil {
		return nil, err
	}
	return &candidate{job: j, class: *sub.Class, image: *sub.Image, upstream: upstream}, nil
}

// addedNames tells which names of a candidate no other job had before.
type addedNames struct {
	class, image bool
}

// indexNames sets the indices of the candidate's class and image. It adds them if they are new.
func (s *Server) indexNames(c *candidate) (added addedNames) {
	_, classKnown := s.names.Classes.Lookup(c.class)
	_, imageKnown := s.names.Images.Lookup(c.image)
	c.job.Class = s.names.Classes.Index(c.class)
	c.job.Image = s.names.Images.Index(c.image)
	return addedNames{class: !classKnown, image: !imageKnown}
}

// releaseNames removes the names that indexNames has added, as the job is not accepted. Names
// of accepted jobs are never removed, so those of any number of refused submissions would
// otherwise fill the controller's memory.
func (s *Server) releaseNames(c *candidate, added addedNames) {
	if added.class {
		s.names.Classes.Release(c.job.Class)
	}
	if added.image {
		s.names.Images.Release(c.job.Image)
	}
}
