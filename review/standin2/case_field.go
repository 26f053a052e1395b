package main

import (
	"bytes"
	"time"
)

func init() { cases["field"] = playField }

// playField repeats an accepted submission with one more field, which the controllers do
// not know.
func playField(root, folder string) {
	c := newCluster(root, folder, rostalap())
	c.setUp(stateLatency, rostalapTypes, 1)
	c.cloud.addUp("kozep", "szeged-a")
	c.startAll()
	j := &job{ID: "req-000001", Class: "fairmatch", Owner: "beosztas", Shape: "array", Rank: "normal", Shards: 1, Cores: 10, RAM: 54,
		Bundle: "img-1", ImageGB: 1, Expect: 90, runTime: 90 * time.Second}
	if !c.submitUntilAccepted(j) {
		c.unable("the job was not accepted")
	}
	body := encode(j)
	if c.trouble {
		body = append(bytes.TrimSuffix(body, []byte("}")), []byte(`,"Owner":{"name":"Ana","desk":4}}`)...)
	}
	for _, p := range c.controllers {
		code, answer := post("http://"+p.bind+"/submissions", body, submitTimeout)
		c.note("user: submits %s again to %s: %d %s", body, p.label, code, answer)
		switch code {
		case 200:
		case 400, 422:
			c.broken("forgotten: %s answers %d to the repeated submission of an accepted job", p.label, code)
		default:
			c.unable("%s answers %d", p.label, code)
		}
	}
	c.held("all controllers answer 200 to the repeated submission")
}
