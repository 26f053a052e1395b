package main

import (
	"errors"
	"time"
)

// sweepScenario: a guest team submits one huge sweep of tiny tasks, of which very many fit
// on a machine. Without trouble, it submits an ordinary array.
var sweepScenario = scenario{
	rule:     ruleLineLimit,
	settings: smallDeployment(),
	attempts: 1,
	run:      runSweep,
}

func runSweep(c *cluster, trouble bool) error {
	for range 2 {
		c.cloud.add("tisza", c.settings.zones[0], false, 0)
	}
	leader := -1
	if !waitFor(15*time.Second, func() bool { leader, _ = c.leader(); return leader >= 0 }) {
		return errors.New("no leader")
	}
	time.Sleep(2 * c.settings.report)
	j := &job{
		ID: "req-000002", Class: "censusgrid", Owner: "beosztas", Shape: "array", Rank: "idle", Shards: 1500,
		Cores: 0.25, RAM: 0.9, Bundle: "img-02", ImageGB: 0.05, Loaners: true, Expect: 4, runTime: 4 * time.Second,
	}
	if trouble {
		c.record("test", "TROUBLE a huge sweep instead of the ordinary array")
		j.Shards, j.Cores, j.RAM = 6000, 0.01, 0.01
	}
	if !c.submitUntilAccepted(leader, j) {
		return errors.New("the job was not accepted")
	}
	phase := ""
	for end := c.start.Add(95 * time.Second); time.Now().Before(end) && phase != "done"; time.Sleep(pollEvery) {
		phase = c.pollPhase(leader, j.ID)
	}
	c.record("test", "at the end the job is %q", phase)
	if !trouble && phase != "done" {
		return errors.New("the ordinary array was not done")
	}
	return nil
}
