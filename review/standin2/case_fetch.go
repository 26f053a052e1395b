package main

import "time"

func init() { cases["fetch"] = playFetch }

const (
	// largeImageGB is the largest image of the class in the site file.
	largeImageGB = 8
	// slowFetch is a quarter less than the 0.2 GB/s of the type; the page allows a third.
	slowFetch = 0.15
	// smallImageGB is used with TROUBLE=0.
	smallImageGB = 1
	fetchWatch   = 105 * time.Second
)

// playFetch submits a gang with a large image. One of its machines fetches it for longer
// than the others may wait.
func playFetch(root, folder string) {
	c := newCluster(root, folder, rostalap())
	c.setUp(stateLatency, rostalapTypes, 6)
	fast, slow := c.cloud.addUp("kozep", "szeged-a"), c.cloud.addUp("kis", "szeged-a")
	slow.mu.Lock()
	slow.machine.fetch = slowFetch
	slow.mu.Unlock()
	c.startAll()
	j := &job{ID: "req-000001", Class: "shiftsolve", Owner: "beosztas", Shape: "gang", Rank: "normal", Shards: 3, Cores: 16, RAM: 60,
		Bundle: "img-1", ImageGB: smallImageGB, SamePlace: true, Loaners: true, Expect: 20, runTime: 5 * time.Second}
	if c.trouble {
		j.ImageGB = largeImageGB
	}
	if !c.submitUntilAccepted(j) {
		c.unable("the job was not accepted")
	}
	accepted := time.Now()
	for time.Since(accepted) < fetchWatch {
		_, s := c.poll(c.controllers[0], j.ID)
		for _, w := range []*worker{fast, slow} {
			c.note("%s (%s): %s", w.name, w.machine.kind.Name, w.summary())
		}
		attempts, started := c.gangs.ran(j.ID)
		c.note("gang: %d attempts, started: %v; %d machines are rented", attempts, started, len(c.cloud.workers()))
		if s.Phase == "done" {
			c.held("the gang is done after %.0f s", time.Since(accepted).Seconds())
		}
		time.Sleep(pollInterval)
	}
	attempts, started := c.gangs.ran(j.ID)
	if started {
		c.unable("the gang ran, but was not done in time")
	}
	c.broken("left waiting: the gang has not run for %.0f s, in %d attempts, while machines that fit had room", time.Since(accepted).Seconds(), attempts)
}
