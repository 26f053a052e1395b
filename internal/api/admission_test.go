package api

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// upstreamField returns the submission field that names the first jobs.
func upstreamField(count int) string {
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprintf(`"req-%d"`, i+1)
	}
	return `,"awaits":[` + strings.Join(ids, ",") + `]`
}

// TestAdmissionByLists guards against the fault of review case 5: jobs with long lists were
// accepted until no controller had the memory for them. They get 503 before that, while jobs
// without lists are accepted, and accepted jobs are answered for.
func TestAdmissionByLists(t *testing.T) {
	const upstreamJobs, first = 300, 1001
	const memoryBytes = 4 << 20
	const listBytes = 0.2 * memoryBytes
	n := newControllerWith(t, newFakeStore(t), "n0", pipeline.Config{MemoryBytes: memoryBytes})
	n.createUpstreamJobs(1, upstreamJobs)
	list := upstreamField(upstreamJobs)
	id := first
	for ; ; id++ {
		reply := n.submit(id, list)
		if reply.Status == 503 {
			n.expect("job beyond the memory", reply, 503, "")
			break
		}
		n.expect("job with a list", reply, 201, "queued")
		if bytes := n.jobs.EstimatedUpstreamBytes(); float64(bytes) > listBytes {
			t.Fatalf("lists take %d bytes after %d jobs, want at most %.0f", bytes, id-first+1, listBytes)
		}
	}
	if accepted := id - first; accepted < 10 {
		t.Errorf("%d jobs with lists were accepted, want at least 10", accepted)
	}
	n.expect("job without a list", n.submit(9001, ""), 201, "queued")
	n.expect("repeat of an accepted job", n.submit(first, list), 200, "queued")
	n.expect("poll of an accepted job", n.poll(first), 200, "queued")
	n.expect("poll of the refused job", n.poll(id), 404, "")
	for cancelled := first; cancelled < id-1; cancelled++ {
		n.expect("cancellation", n.cancel(cancelled), 200, "cancelled")
	}
	n.expect("the same job again", n.submit(id, list), 201, "queued")
}

// TestAdmissionOfWaitingLists guards against submissions that together exceed the memory while
// they wait for a read barrier, because they name jobs that this controller has not seen.
func TestAdmissionOfWaitingLists(t *testing.T) {
	const submissions = 50
	n := newControllerWith(t, newFakeStore(t), "n0", pipeline.Config{MemoryBytes: 1 << 20})
	list := upstreamField(300)
	conns := make([]uint64, submissions)
	for i := range conns {
		conns[i] = n.start("POST", "/submissions", body(1000+i, list))
	}
	waiting := 0
	for _, conn := range conns {
		if n.replies[conn].Status == 0 {
			waiting++
		}
	}
	// A list waits if those before it leave room in 0.2 MiB: 14 take 48 bytes for each of 300 IDs.
	if waiting < 5 || waiting > 15 {
		t.Errorf("%d lists wait for a barrier, want 5 to 15", waiting)
	}
	n.run(2 * time.Second)
	for i, conn := range conns {
		if status := n.replies[conn].Status; status != 503 && status != 422 {
			t.Errorf("submission %d got %d, want 503 or 422", i, status)
		}
	}
	n.expect("a further submission", n.submit(2000, list), 422, "")
}

// TestAdmissionByJobs checks that unfinished jobs, or all jobs that have ever ended, leave
// memory to the controller, and that accepted jobs are answered for.
func TestAdmissionByJobs(t *testing.T) {
	for _, c := range []struct {
		name  string
		store func(n *testController, id string)
	}{
		{"unfinished", func(n *testController, id string) {
			names := n.jobs.Names
			job := &pipeline.Job{ID: id, Ready: true, Spec: pipeline.Spec{TaskCount: 1, Class: names.Classes.Index("c"), Team: names.Teams.Index("red"), Image: names.Images.Index("b"), Zone: pipeline.AnyZone}}
			n.jobs.HandleChange(record.KindJob, id, pipeline.EncodeJob(names, job), 1)
		}},
		{"ended", func(n *testController, id string) {
			n.jobs.HandleChange(record.KindTerminal, id, terminalRecord(pipeline.Done), 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newControllerWith(t, newFakeStore(t), "n0", pipeline.Config{MemoryBytes: 1 << 20})
			n.expect("first job", n.submit(1, ""), 201, "queued")
			for i := range 20_000 {
				c.store(n, fmt.Sprintf("req-%d", 1000+i))
			}
			n.expect("job beyond the memory", n.submit(2, ""), 503, "")
			n.expect("repeat of an accepted job", n.submit(1, ""), 200, "queued")
			n.expect("poll of an accepted job", n.poll(1), 200, "queued")
		})
	}
}

// TestUnimportantJobsLeaveMemory guards against important jobs that are refused because many
// unimportant ones have used up the memory.
func TestUnimportantJobsLeaveMemory(t *testing.T) {
	n := newControllerWith(t, newFakeStore(t), "n0", pipeline.Config{MemoryBytes: 1 << 17})
	id := 1
	for _, priority := range []string{"idle", "normal", "high", "production"} {
		fields := `,"rank":"` + priority + `"`
		accepted := 0
		for ; ; id++ {
			reply := n.submit(id, fields)
			if reply.Status == 503 {
				break
			}
			n.expect(priority+" job", reply, 201, "queued")
			accepted++
		}
		if accepted == 0 {
			t.Errorf("no %s job was accepted after less important ones had been refused", priority)
		}
	}
}

// TestNamesOfRefusedJobsAreForgotten guards against controllers that run out of memory from
// submissions that they refuse: each took the memory of its names for ever.
func TestNamesOfRefusedJobsAreForgotten(t *testing.T) {
	const submissions = 20
	longName := strings.Repeat("x", valueBytes)
	for _, c := range []struct {
		name   string
		memory int
		fields string
		status int
	}{
		{"too little memory", 1, "", 503},
		{"record too large", 0, `,"jobclass":"` + longName + `"`, 400},
		{"unknown upstream job", 0, `,"awaits":["req-999"]`, 422},
		{"unknown team", 0, `,"owner":"unknown"`, 422},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newControllerWith(t, newFakeStore(t), "n0", pipeline.Config{MemoryBytes: c.memory})
			before := n.jobs.Names.EstimatedBytes()
			for i := range submissions {
				reply := n.submit(i, fmt.Sprintf(`,"bundle":"image-%d"%s`, i, c.fields))
				n.expect("submission", reply, c.status, "")
			}
			// One free index may remain in each table.
			if grown := n.jobs.Names.EstimatedBytes() - before; grown > 250 {
				t.Errorf("names take %d more bytes after %d refused submissions, want at most 250", grown, submissions)
			}
			n.expect("poll of a refused job", n.poll(0), 404, "")
		})
	}
}

// TestGangBeyondMemory guards against gangs that are accepted although the memory for assignments
// never suffices for all of their tasks, so that they never run.
func TestGangBeyondMemory(t *testing.T) {
	n := newControllerWith(t, newFakeStore(t), "n0", pipeline.Config{MemoryBytes: 4 << 20})
	limit := n.jobs.MaxGangTasks(pipeline.Normal)
	if limit > n.jobs.AssignmentsLeft(pipeline.Normal) {
		t.Fatalf("a gang of %d tasks may be accepted, but only %d tasks assigned", limit, n.jobs.AssignmentsLeft(pipeline.Normal))
	}
	gang := func(tasks int) string { return fmt.Sprintf(`,"shape":"gang","cores":0.001,"shards":%d`, tasks) }
	n.expect("largest gang", n.submit(1, gang(limit)), 201, "queued")
	n.expect("larger gang", n.submit(2, gang(limit+1)), 422, "")
	n.expect("array", n.submit(3, fmt.Sprintf(`,"cores":0.001,"shards":%d`, limit+1)), 201, "queued")
}
