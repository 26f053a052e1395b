package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// endedJobs is the number of jobs that have ended before: about two days of the
	// site, which gets 8 jobs a minute.
	endedJobs = 20_000
	// startPause is between the first starts; the rate of the state service is free again
	// after it.
	startPause = 2 * time.Second
	// restartDelay is the time after which a controller is back, from the brief.
	restartDelay = 4 * time.Second
	// unansweredLimit is the time after which a job without an answer is forgotten.
	unansweredLimit = 75 * time.Second
	pollInterval    = 5 * time.Second
)

func init() { cases["restart"] = playRestart }

// playRestart kills all controllers at once, beside the records of the jobs of two days.
func playRestart(root, folder string) {
	c := newCluster(root, folder, rostalap())
	c.setUp(stateLatency, rostalapTypes, 4)
	ended := endedJobs
	if text := os.Getenv("ENDED_JOBS"); text != "" {
		ended, _ = strconv.Atoi(text)
	}
	for i := range ended {
		c.state.preload(fmt.Sprintf("f/req-%06d", i+1), `{"p":"done","n":1}`)
	}
	c.note("state service: holds the final states of %d jobs", ended)
	c.cloud.addUp("kozep", "szeged-a")
	for _, p := range c.controllers {
		c.start(p)
		if !waitFor(15*time.Second, p.healthy) {
			c.unable("%s did not become healthy at its first start", p.label)
		}
		c.note("%s: healthy", p.label)
		time.Sleep(startPause)
	}
	j := &job{ID: "req-900001", Class: "fairmatch", Owner: "beosztas", Shape: "array", Rank: "normal", Shards: 2, Cores: 10, RAM: 54,
		Bundle: "img-1", ImageGB: 1, Loaners: true, Expect: 90, SnapshotEvery: 30, Snapshot: 4, runTime: 90 * time.Second}
	if !c.submitUntilAccepted(j) {
		c.unable("the job was not accepted")
	}
	if !waitFor(15*time.Second, func() bool { _, on, _ := c.checker.progress(); return on == 2 }) {
		c.unable("the job did not start")
	}
	for _, p := range c.controllers {
		if code, s := c.poll(p, "req-000001"); code != 200 || s.Phase != "done" {
			c.unable("a job that ended before is not known")
		}
		c.note("state service, responses to %s: %s", p.label, c.stateCounts(p))
	}
	if c.trouble {
		for _, p := range c.controllers {
			p.kill()
			c.note("%s: killed", p.label)
		}
		time.Sleep(restartDelay)
		for _, p := range c.controllers {
			c.start(p)
		}
	}
	over := time.Now()
	answered := 0
	for last := over; ; {
		for _, p := range c.controllers {
			code, _ := c.poll(p, j.ID)
			if code == 404 {
				c.broken("forgotten: %s answers 404 for an accepted job", p.label)
			}
			if code == 200 {
				last = time.Now()
				answered++
			}
		}
		for _, p := range c.controllers {
			c.note("%s: healthy %v, responses of the state service: %s", p.label, p.healthy(), c.stateCounts(p))
		}
		switch {
		case time.Since(last) > unansweredLimit:
			c.broken("forgotten: no question about an accepted job was answered for %.0f s after all controllers were back", time.Since(last).Seconds())
		case answered >= 3*len(c.controllers):
			c.held("all questions were answered from %.0f s after the controllers were back", time.Since(over).Seconds())
		}
		time.Sleep(pollInterval)
	}
}
