package simtest

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// largestJobDeadline is how soon the largest jobs of a class must begin.
const largestJobDeadline = 4 * time.Minute

// checkServed checks that at least half of each class, of each team and of each
// class's largest jobs ran, the largest within their time.
func (checker *Checker) checkServed() string {
	type servedGroup struct{ all, ran int }
	groups := map[string]*servedGroup{}
	add := func(name string, ran bool) {
		group := groups[name]
		if group == nil {
			group = &servedGroup{}
			groups[name] = group
		}
		if group.all++; ran {
			group.ran++
		}
	}
	largest := map[string]int{}
	for _, job := range checker.world.jobs {
		largest[job.class] = max(largest[job.class], job.taskCount)
	}
	for id, job := range checker.world.jobs {
		if checker.acknowledgedPhase[id] == "" || checker.cancelRequested(id) || checker.waitsForUpstream(id) {
			continue
		}
		add("class "+job.class, job.startedAt != 0)
		add("team "+job.team, job.startedAt != 0)
		if job.taskCount == largest[job.class] {
			add("largest of "+job.class, job.startedAt != 0 && job.startedAt-max(job.firstAnsweredAt, checker.releasedAt[id]) <= largestJobDeadline)
		}
	}
	var short []string
	for name, group := range groups {
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
