package simtest

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// largestJobDeadline is how soon the largest jobs of a class must begin.
const largestJobDeadline = 4 * time.Minute

// servedGroup counts jobs that have something in common, and those of them that ran.
type servedGroup struct{ all, ran int }

// servedGroups are groups of jobs by their names.
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

// checkServed checks that at least half of each class, of each team and of each
// class's largest jobs ran, the largest within their time.
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
	checker.reportViolation("not served: %s", strings.Join(short, ", "))
	return strings.Join(short, "\n")
}

// groupServed counts the accepted jobs that nobody cancelled and that wait for no other, by
// class, by team and the largest of each class.
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
			waited := job.startedAt - max(job.firstAnsweredAt, checker.releasedAt[id])
			groups.add("largest of "+job.class, ran && waited <= largestJobDeadline)
		}
	}
	return groups
}
