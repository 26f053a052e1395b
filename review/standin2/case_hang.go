package main

import (
	"sync"
	"time"
)

const (
	// hangTasks is the largest number of tasks that the page allows. All of them fit on
	// the machine that is up, by its CPUs and its memory.
	hangTasks     = 100_000
	hangPollPause = 3 * time.Second
	// enoughAnswers is the number of rounds of answered questions after which the case
	// is over.
	enoughAnswers = 10
)

func init() { cases["hang"] = playHang }

// playHang submits a sweep of very many very small tasks beside a running job.
func playHang(root, folder string) {
	c := newCluster(root, folder, rostalap())
	c.setUp(stateLatency, rostalapTypes, 1)
	c.cloud.addUp("nagy", "szeged-a")
	c.startAll()
	other := &job{ID: "req-000001", Class: "fairmatch", Owner: "beosztas", Shape: "array", Rank: "normal", Shards: 1, Cores: 1, RAM: 4,
		Bundle: "img-1", ImageGB: 0.1, Expect: 100, runTime: 100 * time.Second}
	if !c.submitUntilAccepted(other) || !waitFor(15*time.Second, func() bool { _, on, _ := c.checker.progress(); return on == 1 }) {
		c.unable("the first job did not start")
	}
	sweep := &job{ID: "req-000002", Class: "censusgrid", Owner: "beosztas", Shape: "array", Rank: "normal", Shards: smallSweepTasks, Cores: 0.0005, RAM: 0.001,
		Bundle: "img-2", ImageGB: 0.1, Expect: 5, runTime: 5 * time.Second}
	if c.trouble {
		sweep.Shards = hangTasks
	}
	if !c.submitUntilAccepted(sweep) {
		c.unable("the sweep was not accepted")
	}
	accepted := time.Now()
	last, rounds := accepted, 0
	for {
		var mu sync.Mutex
		var asking sync.WaitGroup
		answers, healthy := 0, 0
		for _, p := range c.controllers {
			asking.Go(func() {
				code, _ := c.poll(p, other.ID)
				ok := p.healthy()
				mu.Lock()
				defer mu.Unlock()
				if code == 200 {
					answers++
				}
				if ok {
					healthy++
				}
			})
		}
		asking.Wait()
		c.note("%d of %d controllers answer, %d are healthy", answers, len(c.controllers), healthy)
		if answers > 0 {
			last = time.Now()
		}
		if answers == len(c.controllers) {
			rounds++
		}
		for _, p := range c.controllers {
			if !p.running() {
				c.broken("%s has ended by itself", p.label)
			}
		}
		switch silent := time.Since(last); {
		case silent > unansweredLimit:
			c.broken("forgotten: no question about an accepted job was answered for %.0f s; the last answer came %.0f s after the sweep was accepted",
				silent.Seconds(), last.Sub(accepted).Seconds())
		case rounds >= enoughAnswers:
			c.held("all controllers answered %d times within %.0f s after the sweep was accepted", rounds, time.Since(accepted).Seconds())
		}
		time.Sleep(hangPollPause)
	}
}
