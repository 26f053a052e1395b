package main

import (
	"bytes"
	"time"
)

func init() { cases["field"] = playField }

// fieldLimit is the time in which the job is to be done; its tasks take 3 s.
const fieldLimit = 60 * time.Second

// playField submits a job with one more field, which the page does not define.
func playField(root, folder string) {
	c := newCluster(root, folder, rostalap())
	c.setUp(stateLatency, rostalapTypes, 1)
	c.cloud.addUp("kozep", "szeged-a")
	c.startAll()
	j := &job{ID: "req-000001", Class: "fairmatch", Owner: "beosztas", Shape: "array", Rank: "normal", Shards: 3, Cores: 10, RAM: 54,
		Bundle: "img-1", ImageGB: 1, Expect: 3, runTime: 3 * time.Second}
	c.upload(j)
	body := encode(j)
	if c.trouble {
		body = append(bytes.TrimSuffix(body, []byte("}")), []byte(`,"Shards":1}`)...)
	}
	if !c.repeatUntilAccepted(body) {
		c.unable("the job was not accepted")
	}
	for began := time.Now(); time.Since(began) < fieldLimit; time.Sleep(time.Second) {
		for _, p := range c.controllers {
			_, s := c.poll(p, j.ID)
			done, _, starts := c.checker.progress()
			c.note("tasks: %d of %d completed, %d starts", done, j.Shards, starts)
			if s.Phase == "done" && done < j.Shards {
				c.broken("not_done: %s calls the job done when %d of its %d tasks are; %d tasks have been started", p.label, done, j.Shards, starts)
			}
			if s.Phase == "done" {
				c.held("the job is called done when all of its %d tasks are", j.Shards)
			}
		}
	}
	c.unable("the job was not done in time")
}

// repeatUntilAccepted repeats a submission at one controller after the other.
func (c *cluster) repeatUntilAccepted(body []byte) bool {
	deadline := time.Now().Add(time.Minute)
	for at := 0; time.Now().Before(deadline); at++ {
		p := c.controllers[at%len(c.controllers)]
		code, answer := post("http://"+p.bind+"/submissions", body, submitTimeout)
		c.note("user: submits %s to %s: %d %s", body, p.label, code, answer)
		switch code {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}
