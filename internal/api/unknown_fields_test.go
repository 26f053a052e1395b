package api

import (
	"fmt"
	"reflect"
	"testing"

	"lugward/internal/jsonwire/jsonwiretest"
)

// TestSimilarFieldNames guards against the fault of review case 7: a field "Shards" of a
// user's own replaced "shards", so the job was called done after one of its three tasks.
func TestSimilarFieldNames(t *testing.T) {
	n := newController(t, newFakeStore(t), "n0")
	for i, name := range append(jsonwiretest.SimilarNames(fieldTasks), jsonwiretest.SimilarNames(fieldID)...) {
		id := i + 1
		n.expect(name, n.submit(id, fmt.Sprintf(`,"%s":3`, name)), 201, "queued")
		if job := n.jobs.Job(fmt.Sprintf("req-%d", id)); job == nil || job.TaskCount != 1 {
			t.Errorf("field %q: the job is %+v, want one with 1 task", name, job)
		}
	}
}

// TestUnknownFieldsOfSubmission checks that a submission is accepted, and accepted again, with
// fields similar to each of its own and of any type, and that the job is the same.
func TestUnknownFieldsOfSubmission(t *testing.T) {
	n := newController(t, newFakeStore(t), "n0")
	n.expect("upstream job", n.submit(1, ""), 201, "queued")
	text := []byte(body(2, `,"flavors":["m"],"yard":"a","awaits":["req-1"]`))
	want, err := parseSubmission(text)
	if err != nil {
		t.Fatal(err)
	}
	extended := jsonwiretest.AddUnknownFields(text)
	got, err := parseSubmission(extended)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
	n.expect("submission", n.send("POST", "/submissions", string(extended)), 201, "queued")
	n.expect("repeated submission", n.send("POST", "/submissions", string(extended)), 200, "queued")
}
