package simtest

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// largestJobDeadline is how long the largest jobs of a class may wait for their start.
const largestJobDeadline = 4 * time.Minute

// servedGroup counts the jobs of a group and those of them that ran.
type servedGroup struct{ all, ran int }

// servedGroups holds groups of jobs by group name.
type servedGroups map[string]*servedGroup

func (groups servedGroups) add(name string, ran bool) {
	group := groups[name]
	if group == nil {
		group = &servedGroup{}
		groups[name] = group
	}
	if group.all++; ran {
		group.ran++
	}
}

// checkServed checks that at least half of the jobs of each class, of each team and of the
// largest jobs of each class ran, the largest jobs within largestJobDeadline.
func (checker *Checker) checkServed() string {
	var short []string
	for name, group := range checker.groupServed() {
		if 2*group.ran < group.all {
			short = append(short, fmt.Sprintf("%s: %d of %d", name, group.ran, group.all))
		}
	}
	if len(short) == 0 {
		return "served"
	}
	sort.Strings(short)
	checker.reportViolation("less than half of a group of jobs ran: %s", strings.Join(short, ", "))
	return strings.Join(short, "\n")
}

// groupServed counts the accepted jobs by class, by team and, for the largest jobs, by
// class. It leaves out cancelled jobs and jobs that wait for upstream jobs.
func (checker *Checker) groupServed() servedGroups {
	largest := map[string]int{}
	for _, job := range checker.world.jobs {
		largest[job.class] = max(largest[job.class], job.taskCount)
	}
	groups := servedGroups{}
	for id, job := range checker.world.jobs {
		if checker.acknowledgedPhase[id] == "" || checker.cancelRequested(id) || checker.waitsForUpstream(id) {
			continue
		}
		ran := job.startedAt != 0
		groups.add("class "+job.class, ran)
		groups.add("team "+job.team, ran)
		if job.taskCount == largest[job.class] {
			waited := job.startedAt - max(job.firstAnsweredAt, checker.upstreamDoneAt[id])
			groups.add("largest of "+job.class, ran && waited <= largestJobDeadline)
		}
	}
	return groups
}
