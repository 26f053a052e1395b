package main

import "time"

func init() { cases["9"] = playCase9 }

// waitForZone is how long the test waits for the start of the second job.
const waitForZone = 95 * time.Second

// playCase9 submits a job of each of two teams, both of one class and within their teams' guarantees,
// each bound to a zone, while the cloud has no capacity in the zone of the first. The second job must
// get a machine in its own zone.
func playCase9(r *run) int {
	cfg := dispensa()
	cfg.types = append(cfg.types, machineType{"condor", 32, 4, 192, 50, 0.5, 12.37, 5.24, 45, nil})
	c, err := newCluster(cfg, r.rec, r.dir, r.program)
	if err != nil {
		r.rec.say("could not run: %v", err)
		return couldNot
	}
	defer c.stop()
	c.cloud.boot = 27 * time.Second
	full, open := c.cfg.zones[0], c.cfg.zones[1]
	c.cloud.soldOut[full] = r.trouble
	if !c.startAll() {
		return couldNot
	}
	time.Sleep(3 * time.Second)
	waits, runs := newJob("req-000001"), newJob("req-000002")
	for _, j := range []*job{waits, runs} {
		j.JobClass, j.Expect, j.runFor = "demanda", 20, 15*time.Second
		j.Cores, j.Cards, j.RAM = 6, 1, 36
	}
	waits.Owner, runs.Owner = "flota", "datos" // 8 GPUs guaranteed to each
	waits.Yard, runs.Yard = &full, &open
	for _, j := range []*job{waits, runs} {
		if !c.submitAccepted(0, j) {
			r.rec.say("could not run: a job was not accepted")
			return couldNot
		}
	}
	began := time.Now()
	if c.waitPhase(1, runs.NameID, "done", waitForZone) {
		r.rec.say("the job in %s is done after %.0f s", open, time.Since(began).Seconds())
		return held
	}
	asked := c.cloud.rentRequests(open)
	r.rec.say("requests to rent: %d in %s, which has no capacity, and %d in %s", c.cloud.rentRequests(full), full, asked, open)
	if asked > 0 {
		r.rec.say("the job is not done, but a machine was asked for")
		return held
	}
	_, phase := c.poll(0, runs.NameID)
	r.rec.say("broken: an accepted job does not run: %s is %s, and in %v no machine was asked for in %s", runs.NameID, phase, waitForZone, open)
	return broken
}
