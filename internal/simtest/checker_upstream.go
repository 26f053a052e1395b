package simtest

import (
	"net/http"
	"slices"

	"lugward/internal/jsonwire"
)

// allUpstream returns all direct and transitive upstream jobs of a job, sorted and without
// duplicates.
func (world *World) allUpstream(id string) []string {
	job := world.jobs[id]
	if job == nil || len(job.upstream) == 0 {
		return nil
	}
	seen := map[string]bool{id: true}
	var list []string
	todo := slices.Clone(job.upstream)
	for len(todo) > 0 {
		up := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if seen[up] {
			continue
		}
		seen[up] = true
		list = append(list, up)
		if upstream := world.jobs[up]; upstream != nil {
			todo = append(todo, upstream.upstream...)
		}
	}
	slices.Sort(list)
	return list
}

// hasDoneRecord reports whether the state service holds the done record of a job.
func (world *World) hasDoneRecord(id string) bool {
	var record terminalRecord
	_ = jsonwire.Unmarshal(world.stateService.keys[terminalKeyPrefix+id].data, &record)
	return record.Phase == jobDone
}

// unfinishedUpstream returns an upstream job that is not done yet and the reason, or ""
// if all upstream jobs are done.
func (checker *Checker) unfinishedUpstream(id string) (upstream, reason string) {
	for _, up := range checker.world.allUpstream(id) {
		job := checker.world.jobs[up]
		switch {
		case job == nil || len(job.completed) < job.taskCount:
			return up, "not all of its tasks have completed"
		case !checker.world.hasDoneRecord(up):
			return up, "the state service has no done record of it"
		}
	}
	return "", ""
}

// waitsForUpstream reports whether a job has unfinished upstream jobs, including ones that
// will never be done.
func (checker *Checker) waitsForUpstream(id string) bool {
	upstream, _ := checker.unfinishedUpstream(id)
	return upstream != ""
}

// recordUpstreamDoneTimes records when all upstream jobs of a job are done. The waiting time
// of the job counts from then.
func (checker *Checker) recordUpstreamDoneTimes() {
	for id, job := range checker.world.jobs {
		if _, ok := checker.upstreamDoneAt[id]; !ok && len(job.upstream) > 0 && !checker.waitsForUpstream(id) {
			checker.upstreamDoneAt[id] = checker.world.now
		}
	}
}

// checkUpstreamDone checks that all upstream jobs are done when a task starts.
func (checker *Checker) checkUpstreamDone(assignment *taskAssignment) {
	if upstream, reason := checker.unfinishedUpstream(assignment.job.id); upstream != "" {
		checker.reportViolation("task started before its upstream jobs were done: task %s starts on %s, upstream job %s is not done: %s", assignment.name, assignment.worker.name, upstream, reason)
	}
}

// checkUpstreamAnswer checks the answer for a job against the state of its upstream jobs.
func (checker *Checker) checkUpstreamAnswer(id string, status int, phase string) {
	job := checker.world.jobs[id]
	if status == http.StatusCreated {
		for _, up := range job.upstream {
			upstream := checker.world.jobs[up]
			if up == id || upstream == nil || !upstream.submitted || upstream.shape == shapeDaemon {
				checker.reportViolation("job with invalid upstream accepted: submission of job %s got status 201, want refusal as upstream job %s is unknown, a daemon or the job itself", id, up)
			}
		}
	}
	if status == http.StatusOK && (phase == jobQueued || phase == jobRunning) {
		for _, up := range checker.world.allUpstream(id) {
			if since, ok := checker.cancelAcknowledgedAt[up]; ok && checker.cancellationOverdue(since) {
				checker.reportViolation("downstream job not cancelled in time: job %s was reported as %s %s after the acknowledged cancellation of upstream job %s, want at most %vs",
					id, phase, checker.world.now-since, up, checker.world.config.Settings.Workers.CancelS)
				break
			}
		}
	}
	if phase != jobDone || checker.acknowledgedPhase[id] == jobDone || !checker.cancelRequests[id] {
		return
	}
	// The job was done before its cancellation took effect, so its downstream jobs must not
	// be cancelled.
	var ids []string
	for other, acknowledged := range checker.acknowledgedPhase {
		if acknowledged == jobCancelled && !checker.cancelRequests[other] {
			ids = append(ids, other)
		}
	}
	slices.Sort(ids)
	for _, other := range ids {
		if needs := checker.world.allUpstream(other); slices.Contains(needs, id) && !slices.ContainsFunc(needs, func(up string) bool {
			return up != id && checker.cancelRequests[up] && checker.acknowledgedPhase[up] != jobDone
		}) {
			checker.reportViolation("job cancelled without request: job %s was reported as cancelled, but its upstream job %s was reported as done and no other upstream cancellation is pending", other, id)
		}
	}
}
