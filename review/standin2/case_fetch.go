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
)

// playFetch submits a gang with a large image. One of its machines fetches it for longer
// than the others may wait. Soon after, a third machine is up, which has room all the time.
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
	if !c.submitUntilAccepted(j) || !waitFor(10*time.Second, func() bool { return slow.holds(j.ID) }) {
		c.unable("the gang was not accepted, or not started on the slow machine")
	}
	// A service of another user that leaves room for two tasks of the gang on its machine.
	service := &job{ID: "req-000002", Class: "fairmatch", Owner: "beosztas", Shape: "daemon", Rank: "normal", Shards: 1, Cores: 30, RAM: 60,
		Flavors: []string{"nagy"}, Bundle: "img-2", ImageGB: 0.1}
	third := c.cloud.addUp("nagy", "szeged-a")
	if !c.submitUntilAccepted(service) || !waitFor(15*time.Second, func() bool { return third.holds(service.ID) }) {
		c.unable("the service did not start on the third machine")
	}
	began := time.Now()
	c.note("%s (%s) is up, runs the service and has room for tasks of the gang", third.name, third.machine.kind.Name)
	for time.Since(began) < waitLimit+time.Second {
		_, s := c.poll(c.controllers[0], j.ID)
		for _, w := range []*worker{fast, slow, third} {
			c.note("%s (%s): %s", w.name, w.machine.kind.Name, w.summary())
		}
		attempts, started := c.gangs.ran(j.ID)
		c.note("gang: %d attempts, started: %v; %d machines are rented", attempts, started, len(c.cloud.workers()))
		if s.Phase == "done" {
			c.held("the gang is done %.0f s after the third machine had room", time.Since(began).Seconds())
		}
		if !third.holds(service.ID) {
			c.unable("the service has left the third machine")
		}
		time.Sleep(pollInterval)
	}
	attempts, started := c.gangs.ran(j.ID)
	if started {
		c.unable("the gang ran, but was not done in time")
	}
	c.broken("left waiting: the gang has not run for %.0f s, in %d attempts, while a third machine that fits had room", time.Since(began).Seconds(), attempts)
}

// holds reports whether a task of a job is on the machine or fetches its image.
func (w *worker) holds(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.job != nil && t.job.ID == job && t.phase != "exited" {
			return !w.gone
		}
	}
	return false
}
