package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// job is a submission. Its run time and outcome are known to the workers only.
type job struct {
	NameID         string   `json:"name_id"`
	JobClass       string   `json:"jobclass"`
	Owner          string   `json:"owner"`
	Shape          string   `json:"shape"`
	Rank           string   `json:"rank"`
	Shards         int      `json:"shards"`
	Cores          float64  `json:"cores"`
	Cards          float64  `json:"cards"`
	RAM            float64  `json:"ram_gb"`
	Bundle         string   `json:"bundle"`
	Image          float64  `json:"image_gb"`
	Flavors        []string `json:"flavors"`
	Yard           *string  `json:"yard"`
	SamePlace      bool     `json:"same_place"`
	Scatter        bool     `json:"scatter"`
	Loaners        bool     `json:"loaners"`
	Expect         float64  `json:"expect_s"`
	SnapshotEvery  float64  `json:"snapshot_every_s"`
	Snapshot       float64  `json:"snapshot_s"`
	Due            *float64 `json:"due_s"`
	Awaits         []string `json:"awaits,omitempty"`
	runFor         time.Duration
	failsOnMachine func(machine string) bool
}

// newJob returns a job of one small task.
func newJob(id string) *job {
	return &job{
		NameID: id, JobClass: "fairmatch", Owner: "beosztas", Shape: "array", Rank: "normal", Shards: 1,
		Cores: 2, RAM: 4, Bundle: "img-07", Image: 0.1, Expect: 10, runFor: 10 * time.Second,
	}
}

var userClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request sends a request to a controller. The status is 0 if there is no answer.
func (c *cluster) request(i int, method, path string, body []byte, timeout time.Duration) (int, string) {
	client := *userClient
	client.Timeout = timeout
	request, err := http.NewRequest(method, "http://"+c.nodes[i].bind+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// submit sends a submission to a controller.
func (c *cluster) submit(i int, j *job) (int, string) {
	body, _ := json.Marshal(j)
	c.cloud.know(j)
	status, answer := c.request(i, "POST", "/submissions", body, 5*time.Second)
	c.rec.log("submit %s at %s (%d bytes) -> %d %.120s", j.NameID, c.nodes[i].label, len(body), status, answer)
	return status, answer
}

// submitAccepted repeats a submission until it is accepted, for at most 60 s.
func (c *cluster) submitAccepted(i int, j *job) bool {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		switch status, _ := c.submit(i, j); status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
	}
	return false
}

// poll asks a controller about a job.
func (c *cluster) poll(i int, id string) (status int, phase string) {
	status, answer := c.request(i, "GET", "/submissions/"+id, nil, 2*time.Second)
	c.rec.log("poll %s at %s -> %d %.120s", id, c.nodes[i].label, status, answer)
	var body struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal([]byte(answer), &body)
	return status, body.Phase
}

// cancel cancels a job at a controller.
func (c *cluster) cancel(i int, id string) (int, string) {
	status, answer := c.request(i, "POST", "/submissions/"+id+"/cancel", nil, 5*time.Second)
	c.rec.log("cancel %s at %s -> %d %.120s", id, c.nodes[i].label, status, answer)
	return status, answer
}

// waitPhase asks a controller about a job until it has a phase.
func (c *cluster) waitPhase(i int, id, phase string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if _, now := c.poll(i, id); now == phase {
			return true
		}
	}
	return false
}
