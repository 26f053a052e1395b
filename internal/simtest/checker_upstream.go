package simtest

import (
	"encoding/json"
	"net/http"
	"slices"
)

// allUpstream lists all jobs that a job needs, directly or through others, each
// once.
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

// hasDoneRecord reports whether the state service holds the record that a job is done.
func (world *World) hasDoneRecord(id string) bool {
	var record terminalRecord
	_ = json.Unmarshal(world.stateService.keys[terminalKeyPrefix+id].data, &record)
	return record.Phase == jobDone
}

// unfinishedUpstream names a job that a job needs and that is not done yet, or "".
func (checker *Checker) unfinishedUpstream(id string) (upstream, reason string) {
	for _, up := range checker.world.allUpstream(id) {
		job := checker.world.jobs[up]
		switch {
		case job == nil || len(job.completed) < job.taskCount:
			return up, "all its tasks are complete"
		case !checker.world.hasDoneRecord(up):
			return up, "it is marked done"
		}
	}
	return "", ""
}

// waitsForUpstream reports whether a job waits for others, or would for ever.
func (checker *Checker) waitsForUpstream(id string) bool {
	upstream, _ := checker.unfinishedUpstream(id)
	return upstream != ""
}

// noteReleased notes when jobs cease to be held: other times count from then.
func (checker *Checker) noteReleased() {
	for id, job := range checker.world.jobs {
		if _, ok := checker.releasedAt[id]; !ok && len(job.upstream) > 0 && !checker.waitsForUpstream(id) {
			checker.releasedAt[id] = checker.world.now
		}
	}
}

// checkUpstreamDone checks that all that a task's job needs is done when it starts.
func (checker *Checker) checkUpstreamDone(assignment *taskAssignment) {
	if upstream, reason := checker.unfinishedUpstream(assignment.job.id); upstream != "" {
		checker.reportViolation("too_early: %s starts on %s, needs %s, before %s", assignment.name, assignment.worker.name, upstream, reason)
	}
}

// checkUpstreamAnswer checks an answer against the jobs that its job needs.
func (checker *Checker) checkUpstreamAnswer(id string, status int, phase string) {
	job := checker.world.jobs[id]
	if status == http.StatusCreated {
		for _, up := range job.upstream {
			upstream := checker.world.jobs[up]
			if up == id || upstream == nil || !upstream.submitted || upstream.shape == shapeDaemon {
				checker.reportViolation("taken: %s is accepted though it awaits %s", id, up)
			}
		}
	}
	if status == http.StatusOK && (phase == jobQueued || phase == jobRunning) {
		for _, up := range checker.world.allUpstream(id) {
			if since, ok := checker.cancelAcknowledgedAt[up]; ok && checker.overdue(since) {
				checker.reportViolation("orphaned: %s called %s %s after %s was cancelled", id, phase, checker.world.now-since, up)
				break
			}
		}
	}
	if phase != jobDone || checker.acknowledgedPhase[id] == jobDone || !checker.cancelRequests[id] {
		return
	}
	// The cancellation lost: what needs the job goes on.
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
			checker.reportViolation("went_back: %s cancelled by nobody, as %s is done", other, id)
		}
	}
}
