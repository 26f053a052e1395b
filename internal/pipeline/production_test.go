package pipeline

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"lugward/internal/kv"
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
		version, err := strconv.ParseUint(f[0], 10, 64)
		if err != nil || len(f) != 3 {
			t.Fatalf("%q", s)
		}
		var l line
		l.kind, l.rest = kv.SplitKey(f[1])
		if l.version = version; f[2] != "" {
			l.data = []byte(f[2])
		}
		list = append(list, l)
	}
	return list
}

// What the version in production stores is read, and written again the same to
// the byte where nothing new is to be told.
func TestProductionRecords(t *testing.T) {
	tb := NewTable(&Names{}, 4096, 12)
	seen := map[string]int{}
	most := 0
	for _, l := range stored(t, "production_store.txt") {
		tb.HandleChange(l.kind, l.rest, l.data, l.version)
		if l.data == nil {
			continue
		}
		seen[l.kind]++
		switch l.kind {
		case JobKey:
			j := tb.Job(l.rest)
			if j == nil || !j.Ready || j.ModRevision != l.version || j.ReadyRevision != l.version || j.EffectivePriority != j.Priority {
				t.Fatalf("%s is read as %+v", l.rest, j)
			}
			if got := Encode(tb.Names, j); !bytes.Equal(got, l.data) {
				t.Errorf("%s becomes %s", l.data, got)
			}
		case RunKey:
			id, chunk, _ := strings.Cut(l.rest, "/")
			j := tb.Job(id)
			c, _ := strconv.Atoi(chunk)
			var active []*Assignment
			for _, e := range j.Segments[c].Assignments {
				if !e.Durable {
					t.Errorf("%s: an entry is not stored", l.rest)
				}
				active = append(active, e)
			}
			most = max(most, len(active))
			if got := encodeRun(tb.Names, j.Segments[c].Attempt, j.Segments[c].Done, active, false); !bytes.Equal(got, l.data) {
				t.Errorf("%s becomes %s", l.data, got)
			}
		case TerminalKey:
			var r terminalRecord
			if json.Unmarshal(l.data, &r) != nil {
				t.Fatal(string(l.data))
			}
			f, _ := tb.Terminal.Get(l.rest)
			if got := EncodeTerminal(f.Phase, &Job{Spec: Spec{TaskCount: f.TaskCount}}); !bytes.Equal(got, l.data) {
				t.Errorf("%s becomes %s", l.data, got)
			}
		}
	}
	if seen[JobKey] < 5 || seen[RunKey] < 10 || seen[TerminalKey] < 4 || most < 40 {
		t.Errorf("seen %v, at most %d entries", seen, most)
	}
	if len(tb.byID) != 0 {
		t.Errorf("%d jobs are left", len(tb.byID))
	}
	for id, want := range map[string]Phase{"req-000001": Done, "req-000002": Done, "req-000003": Cancelled, "req-000004": Done, "req-000005": Cancelled} {
		if final, _ := tb.Terminal.Get(id); final.Phase != want {
			t.Errorf("%s: %v", id, final)
		}
	}
}

// The records as the version in production knows them.
type (
	oldJob struct {
		Class        string    `json:"c"`
		Team         string    `json:"t"`
		Shape        Shape     `json:"s"`
		Priority     Priority  `json:"k"`
		N            int       `json:"n"`
		Need         []float64 `json:"u"`
		Image        string    `json:"b"`
		ImageGB      float64   `json:"g"`
		MachineTypes []string  `json:"f,omitempty"`
		Zone         string    `json:"z,omitempty"`
		Flags        int       `json:"x,omitempty"`
		Times        []float64 `json:"e"`
		Owner        string    `json:"o"`
		Up           []string  `json:"up,omitempty"`
		Ready        bool      `json:"r,omitempty"`
	}
	oldFinal struct {
		Phase string `json:"p"`
		N     int    `json:"n"`
	}
)

// oldRun reads a run record as that version does.
func oldRun(data []byte, words int) (attempt uint64, done []uint64, active []runAssignment, ok bool) {
	var r struct {
		Attempt uint64               `json:"t"`
		Done    string               `json:"d"`
		Active  [][3]json.RawMessage `json:"a"`
	}
	if json.Unmarshal(data, &r) != nil {
		return
	}
	raw, err := base64.RawStdEncoding.DecodeString(r.Done)
	if err != nil || len(raw) > words*8 {
		return
	}
	done = make([]uint64, words)
	for i, b := range raw {
		done[i/8] |= uint64(b) << (i % 8 * 8)
	}
	for _, a := range r.Active {
		var e runAssignment
		if json.Unmarshal(a[0], &e.task) != nil || json.Unmarshal(a[1], &e.attempt) != nil || json.Unmarshal(a[2], &e.machine) != nil {
			return
		}
		active = append(active, e)
	}
	return r.Attempt, done, active, true
}

// What this version stores of a job is read by the version in production as
// all that it knows, whatever else there is.
func TestOldReadsNewJobs(t *testing.T) {
	n := &Names{}
	j := &Job{ID: "req-1", Owner: "n2", Upstream: []string{"req-2", "req-3"}, Ready: true, SubmittedAt: 1_700_000_000_123, ReadyAt: 1_700_000_060_456, Spec: Spec{
		Class: n.Classes.Index("c"), Team: n.Teams.Index("t"), Image: n.Images.Index("b"), Shape: Gang, Priority: High, TaskCount: 7, CPUs: 1.5, GPUs: 2, Memory: 3,
		ImageGB: 4.5, MachineTypes: []int{n.MachineTypes.Index("x"), n.MachineTypes.Index("y")}, Zone: n.Zones.Index("z"), SameZone: true, AllowSpot: true,
		EstimatedRuntime: 10, CheckpointInterval: 20, CheckpointDuration: 30, Deadline: 40}}
	want := oldJob{"c", "t", Gang, High, 7, []float64{1.5, 2, 3}, "b", 4.5, []string{"x", "y"}, "z", 5, []float64{10, 20, 30, 40}, "n2", []string{"req-2", "req-3"}, true}
	for _, change := range []func(){func() {}, func() {
		j.Upstream, j.UpstreamPages, j.SubmissionRevision, j.Ready, j.ReadyAt = nil, 9, 1<<63, false, 0
	}} {
		change()
		want.Up, want.Ready = j.Upstream, j.Ready
		var got oldJob
		data := Encode(n, j)
		if err := json.Unmarshal(data, &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, %v", data, got, err)
		}
		back := &Job{ID: "req-1"}
		if !decode(n, data, back) || back.SubmittedAt != j.SubmittedAt || back.ReadyAt != j.ReadyAt || back.UpstreamPages != j.UpstreamPages || back.SubmissionRevision != j.SubmissionRevision || !reflect.DeepEqual(back.Spec, j.Spec) {
			t.Errorf("%s: %+v", data, back)
		}
	}
	for _, shape := range []Shape{Array, Daemon} {
		for _, p := range []Phase{Done, Cancelled} {
			var got oldFinal
			data := EncodeTerminal(p, &Job{Spec: Spec{TaskCount: 3, Shape: shape}})
			if err := json.Unmarshal(data, &got); err != nil || got.N != 3 || got.Phase != map[Phase]string{Done: "done", Cancelled: "cancelled"}[p] {
				t.Errorf("%s: %+v, %v", data, got, err)
			}
		}
	}
}

// The version in production reads our plain run records and takes a compact
// one for damaged: it keeps what it knew instead of taking tasks for gone.
func TestOldReadsNewRuns(t *testing.T) {
	n := &Names{}
	var active []*Assignment
	for task := range 30 {
		active = append(active, &Assignment{Task: task, Machine: n.Machines.Index("i-00000" + strconv.Itoa(task/7)), Attempt: uint64(1 + task%2)})
	}
	done := []uint64{5 << 40, 0}
	attempt, bits, list, ok := oldRun(encodeRun(n, 9, done, active, false), 2)
	if !ok || attempt != 9 || !reflect.DeepEqual(bits, done) || len(list) != len(active) {
		t.Errorf("%v, %d, %v, %d entries", ok, attempt, bits, len(list))
	}
	data := encodeRun(n, 9, done, active, true)
	if _, _, _, ok = oldRun(data, 2); ok {
		t.Error("a compact record is read as something")
	}
	if run, ok := decodeRun(data, 2); !ok || len(run.active) != len(active) {
		t.Errorf("%v, %d entries", ok, len(run.active))
	}
	// With nothing on machines the two are the same.
	if !bytes.Equal(encodeRun(n, 9, done, nil, true), encodeRun(n, 9, done, nil, false)) {
		t.Error("compact without entries")
	}
}
