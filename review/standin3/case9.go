package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["9"] = playCase9 }

// The jobs that were done before the test, as many as the first deployment of the brief submits in
// two days and a half (8 a minute). Of each, the terminal record is left.
const doneBefore = 28_800

// forgottenAfter is the time without an answer after which a job counts as forgotten.
const forgottenAfter = 75 * time.Second

// playCase9 ends all controllers and starts them again while the store holds the final states of
// the jobs of two days and a half. A job that was accepted before must then be known.
func playCase9(r *run) int {
	c, err := newCluster(rostalap(), r.rec, r.dir, r.program)
	if err != nil {
		r.rec.say("could not run: %v", err)
		return couldNot
	}
	defer c.stop()
	history := map[string]string{}
	for i := range doneBefore {
		history[fmt.Sprintf("f/req-%06d", i)] = `{"p":"done","n":7}`
	}
	c.state.load(history)
	for i := range c.nodes {
		if err := c.start(i); err != nil || !c.waitHealthy(i, 15*time.Second) {
			r.rec.say("could not run: controller %d is not healthy: %v", i, err)
			return couldNot
		}
		r.rec.say("%s is healthy; requests to the state service: %+v", c.nodes[i].label, c.state.takeCounts())
		time.Sleep(2 * time.Second)
	}
	if status, phase := c.poll(0, "req-000123"); status != 200 || phase != "done" {
		r.rec.say("could not run: an earlier job is not known: %d %s", status, phase)
		return couldNot
	}
	accepted := newJob("req-900001")
	accepted.runFor = 5 * time.Second
	if !c.submitAccepted(1, accepted) {
		r.rec.say("could not run: the job was not accepted")
		return couldNot
	}
	r.rec.say("accepted: %s", accepted.NameID)
	if r.trouble {
		for i := range c.nodes {
			c.kill(i)
		}
		time.Sleep(4 * time.Second)
		c.state.takeCounts()
		for i := range c.nodes {
			if err := c.start(i); err != nil {
				r.rec.say("could not run: %v", err)
				return couldNot
			}
		}
	}
	began := time.Now()
	answers := map[string]int{}
	for time.Since(began) < forgottenAfter+2*time.Second {
		for i := range c.nodes {
			status, phase := c.poll(i, accepted.NameID)
			answers[fmt.Sprintf("%d %s", status, phase)]++
			if status == 200 && phase == "done" {
				r.rec.say("%s answers %d %s, %.1f s after the trouble", c.nodes[i].label, status, phase, time.Since(began).Seconds())
				return held
			}
		}
		time.Sleep(1500 * time.Millisecond)
	}
	r.rec.say("answers within %.0f s after the trouble: %v", time.Since(began).Seconds(), answers)
	for i, counts := range c.state.takeCounts() {
		r.rec.say("%s asked the state service: %d pages of keys, %d requests answered, %d answered with 429", c.nodes[i].label, counts.pages, counts.served, counts.limited)
	}
	for answer := range answers {
		if strings.HasPrefix(answer, "200") {
			return held
		}
	}
	r.rec.say("broken: forgotten: no question about %s was answered for %v", accepted.NameID, forgottenAfter)
	return broken
}
