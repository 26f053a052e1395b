package main

import "time"

const (
	// sweepTasks are the tasks of a large sweep; the page allows 100,000. All of them
	// fit on the machine that is up, by its CPUs and its memory.
	sweepTasks   = 2_000
	sweepRunTime = 15 * time.Second
	sweepWatch   = 95 * time.Second
)

func init() { cases["sweep"] = playSweep }

// playSweep submits a sweep of many small tasks beside a running job.
func playSweep(root, folder string) {
	c := newCluster(root, folder, rostalap())
	c.setUp(stateLatency, rostalapTypes, 1)
	w := c.cloud.addUp("nagy", "szeged-a")
	c.startAll()
	other := &job{ID: "req-000001", Class: "fairmatch", Owner: "beosztas", Shape: "array", Rank: "normal", Shards: 1, Cores: 1, RAM: 4,
		Bundle: "img-1", ImageGB: 0.1, Expect: 55, runTime: 55 * time.Second}
	if !c.submitUntilAccepted(other) || !waitFor(15*time.Second, func() bool { _, on, _ := c.checker.progress(); return on == 1 }) {
		c.unable("the first job did not start")
	}
	sweep := &job{ID: "req-000002", Class: "censusgrid", Owner: "beosztas", Shape: "array", Rank: "normal", Shards: smallSweepTasks, Cores: 0.03, RAM: 0.1,
		Bundle: "img-2", ImageGB: 0.1, Expect: sweepRunTime.Seconds(), runTime: sweepRunTime}
	if c.trouble {
		sweep.Shards = sweepTasks
	}
	if !c.submitUntilAccepted(sweep) {
		c.unable("the sweep was not accepted")
	}
	accepted := time.Now()
	for time.Since(accepted) < sweepWatch {
		time.Sleep(pollInterval)
		_, s := c.poll(c.controllers[0], sweep.ID)
		_, o := c.poll(c.controllers[0], other.ID)
		done, on, starts := c.checker.progress()
		c.note("tasks: %d completed, %d on the machine, %d starts; %s", done, on, starts, w.summary())
		if s.Phase == "done" && o.Phase == "done" {
			break
		}
	}
	_, s := c.poll(c.controllers[0], sweep.ID)
	_, o := c.poll(c.controllers[0], other.ID)
	w.mu.Lock()
	line, report, rejected, expiries := w.largestLine, w.largestReport, w.statuses[400], w.expiries
	w.mu.Unlock()
	switch {
	case line > maxLineBytes:
		c.broken("a response to a worker has a line of %d bytes; then %d reports (up to %d bytes) got 400, the lease expired %d times, the jobs are %q and %q",
			line, rejected, report, expiries, s.Phase, o.Phase)
	case report > maxLineBytes && rejected > 0 && expiries > 0:
		c.broken("a worker was given more tasks than a report of 64 KiB can list: %d reports (up to %d bytes) got 400, the lease expired %d times, the jobs are %q and %q",
			rejected, report, expiries, s.Phase, o.Phase)
	case s.Phase != "done" || o.Phase != "done":
		c.unable("the jobs are %q and %q", s.Phase, o.Phase)
	}
	c.held("both jobs are done; largest line %d bytes, largest report %d bytes", line, report)
}
