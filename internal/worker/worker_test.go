package worker

import (
	"io"
	"log/slog"
	"reflect"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// term is a leader that has always led, with a lease of 30 s for workers.
type term struct{}

func (term) FencingToken() uint64                     { return 5 }
func (term) IsLeader(event.Time) bool                 { return true }
func (term) ObserveFencingToken(uint64)               {}
func (term) MaxWorkerLease() time.Duration            { return 30 * time.Second }
func (term) TasksExpireAt(last event.Time) event.Time { return last + 32*time.Second }

// TestReports: which reports are believed, in the order in which they arrive.
func TestReports(t *testing.T) {
	names := &pipeline.Names{}
	registry := New(Config{
		Names:            names,
		Jobs:             pipeline.NewTable(pipeline.Config{Names: names, LayoutValueBytes: 4096, TxnOps: 12}),
		HeartbeatTimeout: 13 * time.Second,
		Log:              slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	for _, c := range []struct {
		at                time.Duration
		session, sequence uint64
		token             uint64
		taken, up         bool
		what              string
	}{
		{1, 1, 7, 4, true, false, "the first of a term may be a copy: nothing is placed there"},
		{2, 1, 8, 5, true, true, "our answer arrived"},
		{3, 1, 8, 5, false, true, "a copy"},
		{4, 1, 6, 4, false, true, "a copy from before our term"},
		{9, 1, 9, 5, true, true, "the next"},
		{50, 1, 10, 5, false, false, "delayed: that session ended 32 s after our last answer"},
		{51, 1, 30, 5, false, false, "however many there are of it"},
		{52, 2, 31, 5, true, true, "the machine itself, in its next session"},
	} {
		now := c.at * time.Second
		report := &Heartbeat{Machine: "i-1", Addr: "10.1.0.1:9000", MachineType: "f", Zone: "a", Incarnation: c.session, Sequence: c.sequence, FencingToken: c.token}
		taken := registry.HandleHeartbeat(report, now, term{})
		if taken {
			registry.Commands(report, now, term{})
		}
		if up := registry.Add("i-1", now).Schedulable(now, registry.heartbeatTimeout); taken != c.taken || up != c.up {
			t.Errorf("%s: taken %v, usable %v", c.what, taken, up)
		}
	}
}

// TestParser: a report that says what the last one said is not decoded again,
// and comes out the same; whatever else differs is.
func TestParser(t *testing.T) {
	body := func(sequence string, more string) []byte {
		return []byte(`{"host":"i-1","addr":"10.1.0.1:9000","flavor":"f","yard":"a","loaners":true,"tenure":2,"tick":` + sequence + `,"fence":3,` + more +
			`"shards":[{"shard":"req-1/0","try":4,"phase":"running"}]}`)
	}
	var p HeartbeatParser
	for _, c := range []struct {
		body     []byte
		sequence uint64
		decoded  bool
		what     string
	}{
		{body("7", ""), 7, true, "the first"},
		{body("8", ""), 8, false, "the same"},
		{body(" 10", ""), 10, true, "written otherwise"},
		{body("11", `"recall_s":3.5,`), 11, true, "a notice"},
		{body("12", `"recall_s":3.5,`), 12, false, "the same notice"},
		{body("13", `"x":{"tick":13},`), 13, true, "two ticks"},
		{body("14", `"x":{"tick":13},`), 14, true, "two ticks again"},
		{[]byte(strings.Replace(string(body("15", "")), `"tenure":2`, `"tenure":3`, 1)), 15, true, "another session"},
		{body("08", ""), 0, true, "not a number"},
		{body("8.5", ""), 0, true, "not a whole number"},
		{body("18446744073709551616", ""), 0, true, "too large a number"},
	} {
		before := p.DecodedBytes
		got, err := p.Parse(c.body)
		if decoded := p.DecodedBytes > before; decoded != c.decoded {
			t.Errorf("%s: decoded %v", c.what, decoded)
		}
		want, wantErr := parseHeartbeat(c.body)
		if (err == nil) != (wantErr == nil) || (err == nil && !reflect.DeepEqual(got, want)) {
			t.Errorf("%s: %+v (%v), not %+v (%v)", c.what, got, err, want, wantErr)
		}
		if err == nil && got.Sequence != c.sequence {
			t.Errorf("%s: tick %d", c.what, got.Sequence)
		}
	}
}

// A cancelled job's task that goes on, on a machine that hung, is told to stop
// even if it was taken to be over.
func TestCancelledIsStoppedWhatever(t *testing.T) {
	for _, pending := range []pipeline.PendingWrite{pipeline.NoPendingWrite, pipeline.PendingClear, pipeline.PendingDone} {
		names := &pipeline.Names{}
		jobs := pipeline.NewTable(pipeline.Config{Names: names, LayoutValueBytes: 4096, TxnOps: 12})
		j := &pipeline.Job{ID: "req-1", Ready: true, Spec: pipeline.Spec{TaskCount: 1, Zone: -1}}
		j.Class, j.Team, j.Image = names.Classes.Index("c"), names.Teams.Index("t"), names.Images.Index("b")
		jobs.HandleChange(record.KindJob, j.ID, pipeline.EncodeJob(names, j), 1)
		jobs.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":3,"a":[[0,3,"i-1"]]}`), 2)
		entry := jobs.Job(j.ID).Assignment(0)
		switch pending {
		case pipeline.PendingClear:
			jobs.RecordTermination(entry)
		case pipeline.PendingDone:
			jobs.RecordCompletion(entry.Job, 0)
		}
		jobs.HandleChange(record.KindTerminal, "req-1", pipeline.EncodeTerminal(pipeline.Cancelled, j), 3)
		registry := New(Config{Names: names, Jobs: jobs, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		report := &Heartbeat{Machine: "i-1", Addr: "10.1.0.1:9000", MachineType: "f", Zone: "a", Incarnation: 1, Sequence: 9, FencingToken: 5,
			Tasks: []TaskStatus{{Task: "req-1/0", Attempt: 3, Phase: "running"}}}
		registry.HandleHeartbeat(report, time.Second, term{})
		got := registry.Commands(report, time.Second, term{})
		if len(got) != 1 || got[0].Verb != "stop" || got[0].Task != "req-1/0" || *got[0].GracePeriod != 0 {
			t.Errorf("wish %d: %+v", pending, got)
		}
	}
}
