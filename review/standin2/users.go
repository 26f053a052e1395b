package main

import (
	"encoding/json"
	"time"
)

// job is a submission, with the time that a task really takes.
type job struct {
	ID            string   `json:"name_id"`
	Class         string   `json:"jobclass"`
	Owner         string   `json:"owner"`
	Shape         string   `json:"shape"`
	Rank          string   `json:"rank"`
	Shards        int      `json:"shards"`
	Cores         float64  `json:"cores"`
	Cards         float64  `json:"cards"`
	RAM           float64  `json:"ram_gb"`
	Bundle        string   `json:"bundle"`
	ImageGB       float64  `json:"image_gb"`
	Flavors       []string `json:"flavors"`
	Yard          *string  `json:"yard"`
	SamePlace     bool     `json:"same_place"`
	Scatter       bool     `json:"scatter"`
	Loaners       bool     `json:"loaners"`
	Expect        float64  `json:"expect_s"`
	SnapshotEvery float64  `json:"snapshot_every_s"`
	Snapshot      float64  `json:"snapshot_s"`
	Due           *float64 `json:"due_s"`
	Awaits        []string `json:"awaits,omitempty"`

	runTime time.Duration
}

const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	// pollInterval is the time between two questions of a user.
	pollInterval = 5 * time.Second
	// unansweredLimit is the time after which a job without an answer is forgotten.
	unansweredLimit = 75 * time.Second
	// smallSweepTasks is the number of tasks of a sweep with TROUBLE=0.
	smallSweepTasks = 500
)

type status struct {
	ID      string `json:"name_id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// upload makes a job's description known to the workers.
func (c *cluster) upload(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.ID] = j
}

// submit submits a job to one controller once.
func (c *cluster) submit(p *controllerProcess, j *job) (int, status) {
	c.upload(j)
	body := encode(j)
	code, answer := post("http://"+p.bind+"/submissions", body, submitTimeout)
	c.note("user: submits %s (%d tasks, %d bytes) to %s: %d %s", j.ID, j.Shards, len(body), p.label, code, answer)
	return code, decodeStatus(answer)
}

// submitUntilAccepted repeats a submission for up to 60 s, at another controller each time.
func (c *cluster) submitUntilAccepted(j *job) bool {
	deadline := time.Now().Add(time.Minute)
	for at := 0; time.Now().Before(deadline); at++ {
		code, _ := c.submit(c.controllers[at%len(c.controllers)], j)
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

// poll asks one controller for a job once.
func (c *cluster) poll(p *controllerProcess, id string) (int, status) {
	code, answer := call("GET", "http://"+p.bind+"/submissions/"+id, nil, pollTimeout)
	c.note("user: asks %s for %s: %d %s", p.label, id, code, answer)
	return code, decodeStatus(answer)
}

// cancel asks one controller to cancel a job once.
func (c *cluster) cancel(p *controllerProcess, id string) (int, status) {
	code, answer := post("http://"+p.bind+"/submissions/"+id+"/cancel", nil, submitTimeout)
	c.note("user: cancels %s at %s: %d %s", id, p.label, code, answer)
	return code, decodeStatus(answer)
}

func decodeStatus(answer []byte) (s status) {
	_ = json.Unmarshal(answer, &s)
	return s
}
