package api

import (
	"errors"
	"strings"
	"testing"

	"lugward/internal/scheduler"
)

// TestRefusals checks that the error of an invalid submission names the field, the
// expected value and the value found, and that it determines the status of the reply.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new string
		status   int
		want     string
	}{
		{"not an object", body(1, ""), `[]`, 400, "malformed submission: body: expected a JSON object, found nothing"},
		{"ID missing", `"name_id":"req-1",`, ``, 400, "malformed submission: name_id: expected a non-empty string, found nothing"},
		{"ID of wrong form", `"req-1"`, `"job-1"`, 400, "malformed submission: name_id: expected ^req-[0-9]{1,19}$, found job-1"},
		{"unknown shape", `"array"`, `"ring"`, 400, "malformed submission: shape: expected array, gang or daemon, found ring"},
		{"unknown priority", `"normal"`, `"top"`, 400, "malformed submission: rank: expected production, high, normal or idle, found top"},
		{"no task", `"shards":1`, `"shards":0`, 400, "malformed submission: shards: expected 1 to 100000 tasks, found 0"},
		{"number of tasks missing", `"shards":1,`, ``, 400, "malformed submission: shards: expected a number of tasks, found nothing"},
		{"negative CPUs", `"cores":1`, `"cores":-1`, 400, "malformed submission: cores: expected a finite, non-negative number, found -1"},
		{"negative deadline", `"due_s":100`, `"due_s":-1`, 400, "malformed submission: due_s: expected a non-negative number, found -1"},
		{"flag missing", `"scatter":false,`, ``, 400, "malformed submission: scatter: expected true or false, found nothing"},
		{"no machine type", `"due_s"`, `"flavors":[],"due_s"`, 400, "malformed submission: flavors: expected a list of machine type names, found an empty list"},
		{"zone without a name", `"due_s"`, `"yard":"","due_s"`, 400, "malformed submission: yard: expected a zone name, found \"\""},
		{"unknown team", `"red"`, `"blue"`, 422, "job can never run: owner: expected a configured team, found blue"},
		{"unknown zone", `"due_s"`, `"yard":"x","due_s"`, 422, "job can never run: yard: expected a known zone, found x"},
		{"unknown machine types", `"due_s"`, `"flavors":["x"],"due_s"`, 422, "job can never run: flavors: expected a machine type that the cloud offers, found 1 unknown names"},
		{"fits no machine type", `"cores":1`, `"cores":9`, 422, "job can never run: body: expected a task that fits a machine type, found a task of 9 CPUs, 0 GPUs and 1 GB"},
		{"exceeds the team's limit", `"red","shape":"array","rank":"normal","shards":1`, `"small","shape":"gang","rank":"normal","shards":3`, 422, `job can never run: cores: expected at most the 2 CPUs of team "small", found 3`},
		{"spread over a single zone", `"array","rank":"normal","shards":1,"cores":1,"cards":0,"ram_gb":1,` + "\n" + `"bundle":"b","image_gb":1,"same_place":false,"scatter":false`,
			`"gang","rank":"normal","shards":2,"cores":1,"cards":0,"ram_gb":1,"bundle":"b","image_gb":1,"same_place":false,"scatter":true`,
			422, "job can never run: scatter: expected at least two usable zones and no requirement to run in a single zone, found true"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newController(t, newFakeStore(t), "n0")
			text := strings.Replace(body(1, ""), c.old, c.new, 1)
			n.expect("submission", n.send("POST", "/submissions", text), c.status, "")
			sub, err := parseSubmission([]byte(text))
			if err == nil {
				_, err = n.server.validate(sub)
			}
			if err == nil || err.Error() != c.want {
				t.Errorf("got error %v, want %s", err, c.want)
			}
			var malformed *malformedError
			var infeasible *infeasibleError
			if errors.As(err, &malformed) != (c.status == 400) || errors.As(err, &infeasible) != (c.status == 422) {
				t.Errorf("status %d does not match error type %T", c.status, err)
			}
		})
	}
}

// TestMachineTypesUnknown checks that submissions get 503 until the cloud's machine types
// are known, as feasibility cannot be checked without them.
func TestMachineTypesUnknown(t *testing.T) {
	n := newController(t, newFakeStore(t), "n0")
	n.server.machineTypes = &scheduler.MachineTypes{}
	n.expect("submission", n.submit(1, ""), 503, "")
}
