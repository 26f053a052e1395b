package main

import "time"

func init() { cases["thirds"] = playThirds }

const (
	// third is a third of the 16 CPUs of a machine, as single-precision arithmetic gives
	// it. Three of them are more than 16.
	third = 5.3333335
	// smallThird is used with TROUBLE=0. Three of them are less than 16.
	smallThird = 5.3333330
	// waitLimit is the time for which no job may be left waiting while a machine that
	// fits has room.
	waitLimit = 90 * time.Second
)

// playThirds submits a gang of three tasks, each a third of a machine, while two machines
// are idle.
func playThirds(root, folder string) {
	c := newCluster(root, folder, rostalap())
	c.setUp(stateLatency, rostalapTypes, 2)
	machines := []*worker{c.cloud.addUp("kis", "szeged-a"), c.cloud.addUp("kis", "szeged-a")}
	c.startAll()
	j := &job{ID: "req-000001", Class: "shiftsolve", Owner: "beosztas", Shape: "gang", Rank: "normal", Shards: 3, Cores: smallThird, RAM: 16,
		Bundle: "img-1", ImageGB: 0.1, SamePlace: true, Expect: 5, runTime: 5 * time.Second}
	if c.trouble {
		j.Cores = third
	}
	if !c.submitUntilAccepted(j) {
		c.unable("the job was not accepted")
	}
	for accepted := time.Now(); time.Since(accepted) < waitLimit+pollInterval; time.Sleep(pollInterval) {
		_, s := c.poll(c.controllers[0], j.ID)
		for _, w := range machines {
			c.note("%s", w.summary())
		}
		attempts, started := c.gangs.ran(j.ID)
		c.note("gang: %d attempts, started: %v", attempts, started)
		if s.Phase == "done" {
			c.held("the gang is done after %.0f s", time.Since(accepted).Seconds())
		}
	}
	for _, w := range machines {
		w.mu.Lock()
		gone := w.gone
		w.mu.Unlock()
		if gone {
			c.unable("%s was returned, so no machine that fits had room", w.name)
		}
	}
	attempts, started := c.gangs.ran(j.ID)
	if started {
		c.unable("the gang ran, but was not done in time")
	}
	c.broken("left waiting: the gang has not run for %.0f s while two idle machines had room for its tasks; %d attempts were refused", waitLimit.Seconds(), attempts)
}
