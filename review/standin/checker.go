package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// ruleLineLimit names the rule that no line in a response to a worker may exceed 64 KiB.
const ruleLineLimit = "line_limit"

// checker checks rules of the page "The protocols of lugward", as workers see them.
type checker struct {
	cluster *cluster

	mu         sync.Mutex
	on         map[string][]*host // machines by the task that is on them
	starts     int
	violations []string // "rule: what happened"
}

// started handles a task that has started on a machine.
func (c *checker) started(h *host, t *task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.cluster.record(h.name, "task %s try %d is on machine (%s, %s)", t.shard, t.try, h.flavor, h.yard)
	for _, other := range c.on[t.shard] {
		if other != h {
			c.violate("ran_twice", "%s starts on %s while it is on %s", t.shard, h.name, other.name)
		}
	}
	if t.job.Flavors != nil && !slices.Contains(t.job.Flavors, h.flavor) {
		c.violate("wrong_place", "%s starts on %s of type %s, its job allows %v", t.shard, h.name, h.flavor, t.job.Flavors)
	}
	if t.job.Yard != nil && *t.job.Yard != h.yard {
		c.violate("wrong_place", "%s starts on %s in zone %s, its job allows %s", t.shard, h.name, h.yard, *t.job.Yard)
	}
	if h.loaners && !t.job.Loaners {
		c.violate("wrong_place", "%s starts on spot machine %s", t.shard, h.name)
	}
	c.on[t.shard] = append(c.on[t.shard], h)
}

// ended handles a task that has left its machine.
func (c *checker) ended(h *host, t *task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cluster.record(h.name, "task %s try %d is gone: %s", t.shard, t.try, t.cause)
	c.on[t.shard] = slices.DeleteFunc(c.on[t.shard], func(other *host) bool { return other == h })
}

// add records that a rule was broken.
func (c *checker) add(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(rule, format, args...)
}

func (c *checker) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.cluster.record("checker", "RULE BROKEN %s", text)
}

// broken returns the violations of a rule.
func (c *checker) broken(rule string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, text := range c.violations {
		if strings.HasPrefix(text, rule+":") {
			list = append(list, text)
		}
	}
	return list
}

func (c *checker) startCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}
