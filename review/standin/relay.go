package main

import (
	"errors"
	"time"
)

// relayScenario: the leader loses its workers for a few seconds, so another controller
// relays their reports. That controller and the third one are killed; the first is back
// within a fraction of a second, the third after 4 s. A user submits an ordinary job.
var relayScenario = scenario{
	rule:     "ran_twice",
	settings: smallDeployment(),
	attempts: 3,
	run:      runRelay,
}

const (
	relayGroup = 3 // machines in each of two groups
	// relayPhase is how much later than the first group the second one reports.
	relayPhase = 2100 * time.Millisecond
)

func runRelay(c *cluster, trouble bool) error {
	var first, second, all []*worker
	for i := range relayGroup {
		stagger := time.Duration(i) * 30 * time.Millisecond
		early := c.cloud.add("kis", c.settings.zones[0], false, 0).worker
		late := c.cloud.add("kis", c.settings.zones[0], false, 0).worker
		early.setPhase(stagger)
		late.setPhase(relayPhase + stagger)
		first, second, all = append(first, early), append(second, late), append(all, early, late)
	}
	leader := -1
	serves := func() bool {
		node, fence := c.leader()
		leader = node
		for _, w := range all {
			if node < 0 || !w.servedBy(node, fence) {
				return false
			}
		}
		return true
	}
	if !waitFor(15*time.Second, serves) {
		return errors.New("no leader serves all workers")
	}
	time.Sleep(3 * c.settings.report) // the reports are in phase then
	if !waitFor(5*time.Second, serves) {
		return errors.New("no leader serves all workers")
	}
	relay, third := (leader+1)%3, (leader+2)%3
	c.record("test", "leader %s", c.labels[leader])
	if trouble {
		// The answer to the last report of every worker is still to come.
		pending := func() bool { return allPending(first, leader, 2*time.Second) && allPending(second, leader, 0) }
		if !waitFor(4*c.settings.report, pending) {
			return errors.New("reports did not get in phase")
		}
		c.record("test", "TROUBLE %s loses its workers", c.labels[leader])
		c.workerPaths[leader].cut(true)
		for _, w := range all {
			w.direct.cut(true)
		}
		if !waitFor(10*time.Second, func() bool { return allPending(first, relay, 0) }) {
			return errors.New("the first group did not turn to the next controller")
		}
		time.Sleep(100 * time.Millisecond)
		c.record("test", "TROUBLE %s and %s end", c.labels[relay], c.labels[third])
		c.killNode(relay)
		c.killNode(third)
		time.Sleep(150 * time.Millisecond)
		if err := c.startNode(relay); err != nil {
			return err
		}
		time.AfterFunc(4*time.Second, func() { _ = c.startNode(third) })
		if !waitFor(6*time.Second, func() bool { return allPending(second, relay, 0) }) {
			return errors.New("the second group did not turn to the next controller")
		}
		time.Sleep(20 * time.Millisecond)
	}
	j := &job{
		ID: "req-000001", Class: "match", Owner: "beosztas", Shape: "array", Rank: "normal", Shards: 2 * relayGroup,
		Cores: 16, RAM: 8, Bundle: "img-01", ImageGB: 0.02, Expect: 8, runTime: 8 * time.Second,
	}
	if !c.submitUntilAccepted(leader, j) {
		return errors.New("the job was not accepted")
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		c.record("test", "the workers reach %s again", c.labels[leader])
		c.workerPaths[leader].cut(false)
		for _, w := range all {
			w.direct.cut(false)
		}
	}
	time.Sleep(12 * time.Second)
	c.poll(leader, j.ID)
	if !trouble && c.checker.startCount() == 0 {
		return errors.New("no task was started")
	}
	return nil
}

// allPending reports whether a report to a controller waits for its answer at each of the
// workers, and was sent at least age ago.
func allPending(workers []*worker, node int, age time.Duration) bool {
	for _, w := range workers {
		if !w.pendingAt(node, age) {
			return false
		}
	}
	return true
}
