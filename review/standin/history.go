package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"lugward/internal/record"
)

// historyScenario: the deployment has run for some time, so the state service holds the
// final states of many jobs. All controllers end and are back after the time that the
// brief names.
var historyScenario = scenario{
	rule:     "forgotten",
	settings: historySettings(),
	attempts: 1,
	run:      runHistory,
}

func historySettings() settings {
	s := smallDeployment()
	s.startPause = 3 * time.Second
	s.load = loadHistory
	return s
}

const (
	// historyJobs is how many jobs have ended before the test.
	historyJobs = 36000
	// backAfter is the time from the end of a process to its next start (BRIEF, Rostalap).
	backAfter = 4 * time.Second
	// forgottenAfter is for how long no question about a job is answered, once all
	// troubles are over, until the job counts as forgotten (hunt/LATER.md).
	forgottenAfter = 75 * time.Second
	// pollEvery is how often a user asks about a job (PROTOCOL, GET /submissions/{id}).
	pollEvery = 5 * time.Second
)

func historyID(i int) string { return fmt.Sprintf("req-%06d", 100000+i) }

// loadHistory stores the final states of earlier jobs, as lugward writes them.
func loadHistory(s *stateService) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range historyJobs {
		s.revision++
		data := json.RawMessage(record.Terminal{TaskCount: 1 + i%36}.Encode())
		key := record.TerminalKey(historyID(i))
		s.put(key, stateItem{data: data, stamp: s.revision})
		s.log = append(s.log, stateChange{key: key, data: data, stamp: s.revision})
	}
	s.trimLog()
}

func runHistory(c *cluster, trouble bool) error {
	c.cloud.add("kis", c.settings.zones[0], false, 0)
	if !waitFor(20*time.Second, c.allHealthy) {
		return errors.New("the controllers did not become healthy")
	}
	leader := -1
	if !waitFor(5*time.Second, func() bool { leader, _ = c.leader(); return leader >= 0 }) {
		return errors.New("no leader")
	}
	j := &job{
		ID: "req-000003", Class: "fairmatch", Owner: "beosztas", Shape: "array", Rank: "normal", Shards: 2,
		Cores: 2, RAM: 4, Bundle: "img-03", ImageGB: 0.1, Expect: 300, runTime: 300 * time.Second,
	}
	if !c.submitUntilAccepted(leader, j) {
		return errors.New("the job was not accepted")
	}
	last := historyID(historyJobs - 1)
	if c.pollPhase(leader, last) != "done" {
		return fmt.Errorf("job %s is not known before the disruption", last)
	}
	if !waitFor(10*time.Second, func() bool { return c.checker.startCount() == j.Shards }) {
		return errors.New("the job did not start before the disruption")
	}
	c.poll(leader, j.ID)
	if trouble {
		c.record("test", "TROUBLE all controllers end")
		for i := range c.labels {
			c.killNode(i)
		}
		time.Sleep(backAfter)
		for i := range c.labels {
			if err := c.startNode(i); err != nil {
				return err
			}
		}
	}
	c.record("test", "no trouble from here on")
	c.askForgotten([]string{j.ID, last})
	return nil
}

// askForgotten asks about jobs at all controllers until each was answered once, or until
// they count as forgotten.
func (c *cluster) askForgotten(ids []string) {
	answered := map[string]bool{}
	over := time.Now()
	for time.Since(over) < forgottenAfter && len(answered) < len(ids) {
		next := time.Now().Add(pollEvery)
		for _, id := range ids {
			for node := range c.labels {
				switch c.pollPhase(node, id) {
				case "":
				case "unknown":
					c.checker.add("forgotten", "a question about the accepted job %s got 404", id)
					return
				default:
					answered[id] = true
				}
			}
		}
		c.record("state", "so far: %s", c.state.counts())
		time.Sleep(time.Until(next))
	}
	for _, id := range ids {
		if !answered[id] {
			c.checker.add("forgotten", "no question about the accepted job %s was answered for %v", id, time.Since(over).Round(time.Second))
		}
	}
}

// allHealthy reports whether all controllers answer health checks with 200.
func (c *cluster) allHealthy() bool {
	for node := range c.labels {
		response, err := c.users.Get("http://" + c.binds[node] + "/healthz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}
