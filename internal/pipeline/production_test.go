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

// stored reads keys as the version in production has written them, one a line:
// revision, key, value (none: dropped). They were taken down from a run of it.
func stored(t *testing.T, file string) (list []line) {
	t.Helper()
	raw, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range strings.Split(strings.TrimRight(string(raw), "\n"), "\n") {
		f := strings.Split(s, "\t")
		modRevision, err := strconv.ParseUint(f[0], 10, 64)
		if err != nil || len(f) != 3 {
			t.Fatalf("%q", s)
		}
		var l line
		l.kind, l.rest = splitKey(f[1])
		if l.version = modRevision; f[2] != "" {
			l.data = []byte(f[2])
		}
		list = append(list, l)
	}
	return list
}

// What the version in production stores is read, and written again the same to
// the byte where nothing new is to be told.
func TestProductionRecords(t *testing.T) {
	table := newTable(12)
	seen := map[record.Kind]int{}
	most := 0
	for _, l := range stored(t, "production_store.txt") {
		table.HandleChange(l.kind, l.rest, l.data, l.version)
		if l.data == nil {
			continue
		}
		seen[l.kind]++
		switch l.kind {
		case record.KindJob:
			job := table.Job(l.rest)
			if job == nil || !job.Ready || job.ModRevision != l.version || job.ReadyRevision != l.version || job.EffectivePriority != job.Priority {
				t.Fatalf("%s is read as %+v", l.rest, job)
			}
			if got := EncodeJob(table.Names, job); !bytes.Equal(got, l.data) {
				t.Errorf("%s becomes %s", l.data, got)
			}
		case record.KindRun:
			id, chunk, _ := strings.Cut(l.rest, "/")
			job := table.Job(id)
			c, _ := strconv.Atoi(chunk)
			active := make([]*Assignment, 0, len(job.segments[c].assignments))
			for _, assignment := range job.segments[c].assignments {
				if !assignment.durable {
					t.Errorf("%s: an entry is not stored", l.rest)
				}
				active = append(active, assignment)
			}
			most = max(most, len(active))
			run := record.Run{Attempt: job.segments[c].attempt, Done: job.segments[c].done, Active: table.assignmentRecords(active)}
			if got := run.Encode(); !bytes.Equal(got, l.data) {
				t.Errorf("%s becomes %s", l.data, got)
			}
		case record.KindTerminal:
			if _, err := record.DecodeTerminal(l.data); err != nil {
				t.Fatalf("%s: %v", l.data, err)
			}
			terminal, _ := table.Terminal.Get(l.rest)
			if got := EncodeTerminal(terminal.Phase, &Job{Spec: Spec{TaskCount: terminal.TaskCount}}); !bytes.Equal(got, l.data) {
				t.Errorf("%s becomes %s", l.data, got)
			}
		}
	}
	if seen[record.KindJob] < 5 || seen[record.KindRun] < 10 || seen[record.KindTerminal] < 4 || most < 40 {
		t.Errorf("seen %v, at most %d entries", seen, most)
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

// A job's record is decoded into the same specification, with the indices of the names.
func TestJobRecordRoundTrip(t *testing.T) {
	names := &Names{}
	job := &Job{ID: "req-1", Owner: "n2", Upstream: []string{"req-2", "req-3"}, Ready: true, SubmittedAt: 1_700_000_000_123, ReadyAt: 1_700_000_060_456, Spec: Spec{
		Class: names.Classes.Index("c"), Team: names.Teams.Index("t"), Image: names.Images.Index("b"), Shape: Gang, Priority: High, TaskCount: 7, CPUs: 1.5, GPUs: 2, Memory: 3,
		ImageGB: 4.5, MachineTypes: []int{names.MachineTypes.Index("x"), names.MachineTypes.Index("y")}, Zone: names.Zones.Index("z"), SameZone: true, AllowSpot: true,
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
