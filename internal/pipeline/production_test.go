package pipeline

import (
	"bytes"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"lugward/internal/record"
)

// readChanges reads keys as the version in production has written them, one a line:
// revision, key, value (none: dropped). They were taken down from a run of it.
func readChanges(t *testing.T, file string) (list []change) {
	t.Helper()
	raw, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimRight(string(raw), "\n"), "\n") {
		columns := strings.Split(line, "\t")
		modRevision, err := strconv.ParseUint(columns[0], 10, 64)
		if err != nil || len(columns) != 3 {
			t.Fatalf("%q", line)
		}
		var stored change
		stored.kind, stored.rest = splitKey(columns[1])
		if stored.modRevision = modRevision; columns[2] != "" {
			stored.data = []byte(columns[2])
		}
		list = append(list, stored)
	}
	return list
}

// What the version in production stores is read, and written again the same to
// the byte where nothing new is to be told.
func TestProductionRecords(t *testing.T) {
	table := newTable(12)
	seen := map[record.Kind]int{}
	mostActive := 0
	for _, stored := range readChanges(t, "production_store.txt") {
		table.HandleChange(stored.kind, stored.rest, stored.data, stored.modRevision)
		if stored.data == nil {
			continue
		}
		seen[stored.kind]++
		switch stored.kind {
		case record.KindJob:
			checkJobRecord(t, table, stored)
		case record.KindRun:
			mostActive = max(mostActive, checkRunRecord(t, table, stored))
		case record.KindTerminal:
			checkTerminalRecord(t, table, stored)
		}
	}
	if seen[record.KindJob] < 5 || seen[record.KindRun] < 10 || seen[record.KindTerminal] < 4 || mostActive < 40 {
		t.Errorf("seen %v, at most %d assignments", seen, mostActive)
	}
	if len(table.byID) != 0 {
		t.Errorf("%d jobs are left", len(table.byID))
	}
	for id, want := range map[string]Phase{"req-000001": Done, "req-000002": Done, "req-000003": Cancelled, "req-000004": Done, "req-000005": Cancelled} {
		if terminal, _ := table.Terminal.Get(id); terminal.Phase != want {
			t.Errorf("%s: %v", id, terminal)
		}
	}
}

// checkJobRecord checks the job that a stored record has led to.
func checkJobRecord(t *testing.T, table *Table, stored change) {
	t.Helper()
	job := table.Job(stored.rest)
	if job == nil || !job.Ready || job.ModRevision != stored.modRevision || job.ReadyRevision != stored.modRevision || job.EffectivePriority != job.Priority {
		t.Fatalf("%s is read as %+v", stored.rest, job)
	}
	if got := EncodeJob(table.Names, job); !bytes.Equal(got, stored.data) {
		t.Errorf("%s becomes %s", stored.data, got)
	}
}

// checkRunRecord checks the segment that a stored record has led to. It returns the number
// of its assignments.
func checkRunRecord(t *testing.T, table *Table, stored change) int {
	t.Helper()
	id, index, ok := record.SplitNumbered(stored.rest)
	if !ok {
		t.Fatalf("key %q", stored.rest)
	}
	segment := &table.Job(id).segments[index]
	active := make([]*Assignment, 0, len(segment.assignments))
	for _, assignment := range segment.assignments {
		if !assignment.durable {
			t.Errorf("%s: an assignment is not stored", stored.rest)
		}
		active = append(active, assignment)
	}
	run := record.Run{Attempt: segment.attempt, Done: segment.done, Active: table.assignmentRecords(active, nil)}
	if got := run.Encode(); !bytes.Equal(got, stored.data) {
		t.Errorf("%s becomes %s", stored.data, got)
	}
	return len(active)
}

// checkTerminalRecord checks what a stored record has led to.
func checkTerminalRecord(t *testing.T, table *Table, stored change) {
	t.Helper()
	if _, err := record.DecodeTerminal(stored.data); err != nil {
		t.Fatalf("%s: %v", stored.data, err)
	}
	terminal, _ := table.Terminal.Get(stored.rest)
	if got := EncodeTerminal(terminal.Phase, &Job{Spec: Spec{TaskCount: terminal.TaskCount}}); !bytes.Equal(got, stored.data) {
		t.Errorf("%s becomes %s", stored.data, got)
	}
}

// A job's record is decoded into the same specification, with the indices of the names.
func TestJobRecordRoundTrip(t *testing.T) {
	names := &Names{}
	job := &Job{ID: "req-1", Owner: "n2", Upstream: []string{"req-2", "req-3"}, Ready: true, SubmittedAt: 1_700_000_000_123, ReadyAt: 1_700_000_060_456, Spec: Spec{
		Class: names.Classes.Index("c"), Team: names.Teams.Index("t"), Image: names.Images.Index("b"), Shape: Gang, Priority: High, TaskCount: 7, CPUs: 1.5, GPUs: 2, Memory: 3,
		ImageGB: 4.5, MachineTypes: []MachineTypeIndex{names.MachineTypes.Index("x"), names.MachineTypes.Index("y")}, Zone: names.Zones.Index("z"), SameZone: true, AllowSpot: true,
		EstimatedRuntime: 10, CheckpointInterval: 20, CheckpointDuration: 30, Deadline: 40}}
	check := func() {
		t.Helper()
		data := EncodeJob(names, job)
		back := &Job{ID: "req-1"}
		if err := decodeJob(names, data, back); err != nil || !reflect.DeepEqual(back, job) {
			t.Errorf("%s: %+v, %v", data, back, err)
		}
	}
	check()
	job.Upstream, job.UpstreamPages, job.SubmissionRevision, job.Ready, job.ReadyAt = nil, 9, 1<<63, false, 0
	check()
}
