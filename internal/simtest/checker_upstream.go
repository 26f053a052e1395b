package simtest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// parseJobIDs reads job IDs joined by "+", where req-000100*3000 stands for that
// many, counted up.
func parseJobIDs(text string) ([]string, error) {
	var ids []string
	for _, part := range strings.Split(text, "+") {
		id, count, many := strings.Cut(part, "*")
		if !many {
			ids = append(ids, id)
			continue
		}
		first, err := strconv.Atoi(strings.TrimPrefix(id, "req-"))
		if err != nil {
			return nil, fmt.Errorf("%s is not req- and a number", id)
		}
		n, err := strconv.Atoi(count)
		if err != nil {
			return nil, fmt.Errorf("%s is not a number of jobs", count)
		}
		for i := range n {
			ids = append(ids, jobID(first+i))
		}
	}
	return ids, nil
}

// recordUpstream notes the upstream jobs that a submission names. Once the job is
// accepted its list is what it was, whatever a retry says.
func (world *World) recordUpstream(job *jobRecord, arguments Arguments) []string {
	text, ok := arguments["awaits"]
	if !ok {
		return nil
	}
	ids, err := parseJobIDs(text)
	if err != nil {
		world.reportMisuse("%s: %v", job.id, err)
		return nil
	}
	if world.checker.acknowledgedPhase[job.id] == "" {
		job.upstream = ids
	}
	return ids
}

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

// hasDoneRecord tells whether the state service holds a job's done mark.
func (world *World) hasDoneRecord(id string) bool {
	var f struct {
		Phase string `json:"p"`
	}
	_ = json.Unmarshal(world.stateService.keys["f/"+id].data, &f)
	return f.Phase == "done"
}

// unfinishedUpstream names a job that a job needs and that is not done yet, or "".
func (checker *Checker) unfinishedUpstream(id string) (upstream, why string) {
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

// waitsForUpstream tells whether a job waits for others, or would for ever.
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
func (checker *Checker) checkUpstreamDone(other *assignment) {
	if upstream, why := checker.unfinishedUpstream(other.job.id); upstream != "" {
		checker.reportViolation("too_early: %s starts on %s, needs %s, before %s", other.name, other.worker.name, upstream, why)
	}
}

// cancelRequested tells whether the user of a job, or of one that it needs, asked to
// cancel it and was not answered that it is done.
func (checker *Checker) cancelRequested(id string) bool {
	if checker.cancelRequests[id] {
		return true
	}
	for _, upstream := range checker.world.allUpstream(id) {
		if checker.cancelRequests[upstream] && checker.acknowledgedPhase[upstream] != "done" {
			return true
		}
	}
	return false
}

// cancelledSince is when the cancellation of a job, or of one that it needs, was
// first acknowledged.
func (checker *Checker) cancelledSince(id string) (time.Duration, bool) {
	since, ok := checker.cancelAcknowledgedAt[id]
	for _, upstream := range checker.world.allUpstream(id) {
		if a, acknowledged := checker.cancelAcknowledgedAt[upstream]; acknowledged && (!ok || a < since) {
			since, ok = a, true
		}
	}
	return since, ok
}

// overdue tells whether a cancellation acknowledged then must be complete by now.
func (checker *Checker) overdue(since time.Duration) bool {
	return checker.world.now-since > seconds(checker.world.config.Settings.Workers.CancelS)
}

// checkUpstreamAnswer checks an answer against the jobs that its job needs.
func (checker *Checker) checkUpstreamAnswer(id string, status int, phase string) {
	job := checker.world.jobs[id]
	if status == 201 {
		for _, up := range job.upstream {
			upstream := checker.world.jobs[up]
			if up == id || upstream == nil || !upstream.submitted || upstream.shape == "daemon" {
				checker.reportViolation("taken: %s is accepted though it awaits %s", id, up)
			}
		}
	}
	if status == 200 && (phase == "queued" || phase == "running") {
		for _, up := range checker.world.allUpstream(id) {
			if since, ok := checker.cancelAcknowledgedAt[up]; ok && checker.overdue(since) {
				checker.reportViolation("orphaned: %s called %s %s after %s was cancelled", id, phase, checker.world.now-since, up)
				break
			}
		}
	}
	if phase != "done" || checker.acknowledgedPhase[id] == "done" || !checker.cancelRequests[id] {
		return
	}
	// The cancellation lost: what needs the job goes on.
	var ids []string
	for other, acknowledged := range checker.acknowledgedPhase {
		if acknowledged == "cancelled" && !checker.cancelRequests[other] {
			ids = append(ids, other)
		}
	}
	slices.Sort(ids)
	for _, other := range ids {
		if needs := checker.world.allUpstream(other); slices.Contains(needs, id) && !slices.ContainsFunc(needs, func(up string) bool {
			return up != id && checker.cancelRequests[up] && checker.acknowledgedPhase[up] != "done"
		}) {
			checker.reportViolation("went_back: %s cancelled by nobody, as %s is done", other, id)
		}
	}
}
