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

// readChanges reads changes of keys that were recorded from a run of the version in
// production. Each line has the revision, the key and the value, which is empty if the key
// was deleted.
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
			t.Fatalf("line %q, want a revision, a key and a value", line)
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

// Records of the version in production are decoded, and encoded again to the same bytes if
// nothing has changed.
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
		t.Errorf("read records of the kinds %v and at most %d assignments per record, want at least 5 jobs, 10 runs, 4 terminal records and 40 assignments", seen, mostActive)
	}
	if len(table.byID) != 0 {
		t.Errorf("%d jobs are in the table, want 0", len(table.byID))
	}
	for id, want := range map[string]Phase{"req-000001": Done, "req-000002": Done, "req-000003": Cancelled, "req-000004": Done, "req-000005": Cancelled} {
		if terminal, _ := table.Terminal.Get(id); terminal.Phase != want {
			t.Errorf("terminal record of %s is %+v, want phase %v", id, terminal, want)
		}
	}
}

// checkJobRecord checks the job that results from a job record.
func checkJobRecord(t *testing.T, table *Table, stored change) {
	t.Helper()
	job := table.Job(stored.rest)
	if job == nil || !job.Ready || job.ModRevision != stored.modRevision || job.ReadyRevision != stored.modRevision || job.EffectivePriority != job.Priority {
		t.Fatalf("job record of %s is read as %+v, want a ready job with the revision of the record", stored.rest, job)
	}
	if got := EncodeJob(table.Names, job); !bytes.Equal(got, stored.data) {
		t.Errorf("record %s is encoded as %s, want the same", stored.data, got)
	}
}

// checkRunRecord checks the segment that results from a run record. It returns the number of
// its assignments.
func checkRunRecord(t *testing.T, table *Table, stored change) int {
	t.Helper()
	id, index, ok := record.SplitNumberedKey(stored.rest)
	if !ok {
		t.Fatalf("key %q, want a job ID and an index", stored.rest)
	}
	segment := &table.Job(id).segments[index]
	active := make([]*Assignment, 0, len(segment.assignments))
	for _, assignment := range segment.assignments {
		if !assignment.persisted {
			t.Errorf("%s: an assignment is not persisted", stored.rest)
		}
		active = append(active, assignment)
	}
	run := record.Run{MaxAttempt: segment.attempt, Done: segment.done, Active: table.assignmentRecords(active, nil)}
	if got := run.Encode(); !bytes.Equal(got, stored.data) {
		t.Errorf("record %s is encoded as %s, want the same", stored.data, got)
	}
	return len(active)
}

// checkTerminalRecord checks the entry that results from a terminal record.
func checkTerminalRecord(t *testing.T, table *Table, stored change) {
	t.Helper()
	if _, err := record.DecodeTerminal(stored.data); err != nil {
		t.Fatalf("DecodeTerminal(%s): %v", stored.data, err)
	}
	terminal, _ := table.Terminal.Get(stored.rest)
	if got := EncodeTerminal(terminal.Phase, &Job{Spec: Spec{TaskCount: terminal.TaskCount}}); !bytes.Equal(got, stored.data) {
		t.Errorf("record %s is encoded as %s, want the same", stored.data, got)
	}
}

// Decoding an encoded job record returns the same job, with the same indices for its names.
func TestJobRecordRoundTrip(t *testing.T) {
	names := &Names{}
	job := &Job{ID: "req-1", Owner: "n2", Upstream: []string{"req-2", "req-3"}, Ready: true, SubmittedAt: 1_700_000_000_123, ReadyAt: 1_700_000_060_456, Spec: Spec{
		Class: names.Classes.Index("c"), Team: names.Teams.Index("t"), Image: names.Images.Index("b"), Shape: Gang, Priority: High, TaskCount: 7, CPUs: 1.5, GPUs: 2, Memory: 3,
		ImageGB: 4.5, MachineTypes: []MachineTypeIndex{names.MachineTypes.Index("x"), names.MachineTypes.Index("y")}, Zone: names.Zones.Index("z"), SameZone: true, AllowSpot: true,
		EstimatedRuntime: 10, CheckpointInterval: 20, CheckpointDuration: 30, Deadline: 40}}
	check := func() {
		t.Helper()
		data := EncodeJob(names, job)
		decoded := &Job{ID: "req-1"}
		if err := decodeJob(names, data, decoded); err != nil || !reflect.DeepEqual(decoded, job) {
			t.Errorf("decodeJob(%s) = %+v, %v, want the encoded job", data, decoded, err)
		}
	}
	check()
	job.Upstream, job.UpstreamPages, job.SubmissionRevision, job.Ready, job.ReadyAt = nil, 9, 1<<63, false, 0
	check()
}
