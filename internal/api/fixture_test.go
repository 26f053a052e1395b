package api

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/record"
	"lugward/internal/scheduler"
)

// testController runs the API of one controller. Its watch requests never get a response,
// so it sees the writes of other controllers only after a read barrier.
type testController struct {
	t       *testing.T
	service *fakeStore
	server  *Server
	jobs    *pipeline.Table
	client  *kv.Client
	out     event.Effects
	now     event.Time
	conn    uint64
	replies map[uint64]event.Reply

	startViews fakeStartViews
}

// fakeStartViews is the knowledge of a leader that knows every change unless it is behind.
type fakeStartViews struct{ behind bool }

func (f *fakeStartViews) StartsInclude(uint64, event.Time, event.Time) bool { return !f.behind }

func newController(t *testing.T, s *fakeStore, label string) *testController {
	t.Helper()
	return newControllerWith(t, s, label, pipeline.Config{})
}

// newControllerWith is like newController with a configuration of the table of jobs, of which it
// sets the names and the limits of the state service.
func newControllerWith(t *testing.T, s *fakeStore, label string, jobs pipeline.Config) *testController {
	t.Helper()
	n := &testController{t: t, service: s, replies: map[uint64]event.Reply{}, now: time.Second}
	names := &pipeline.Names{}
	names.Zones.Index("a")
	jobs.Names, jobs.LayoutValueBytes, jobs.TxnOps = names, valueBytes, txnOps
	n.jobs = pipeline.NewTable(jobs)
	limits := kv.Limits{TxnOps: txnOps, Rates: kv.Rates{Requests: 1000, Writes: 1000}}
	onChange := func(key string, data []byte, modRevision uint64) {
		kind, rest := kv.SplitKey(key)
		n.jobs.HandleChange(record.Kind(kind), rest, data, modRevision)
		if terminal, _ := n.jobs.Terminal.Get(rest); kind == string(record.KindTerminal) && terminal.Phase == pipeline.Cancelled {
			n.server.RecordCancellation(rest, modRevision, n.now)
		}
	}
	n.client = kv.New(kv.Config{Addr: "s", Limits: limits, StaleAfter: time.Hour, OnChange: onChange})
	machineTypes := &scheduler.MachineTypes{{Index: names.MachineTypes.Index("m"), CPUs: 8, Memory: 32, Zones: []pipeline.ZoneIndex{0}}}
	n.server = New(Config{
		Label:          label,
		Teams:          []config.Team{{Name: "red"}, {Name: "small", CPUsMax: 2, GPUsMax: 1}},
		RequestTimeout: 1500 * time.Millisecond,
		ValueBytes:     valueBytes,
		TxnOps:         txnOps,
		Names:          names,
		Jobs:           n.jobs,
		Store:          n.client,
		MachineTypes:   machineTypes,
		StartViews:     &n.startViews,
		Logger:         slog.New(slog.DiscardHandler),
	})
	n.run(time.Second)
	n.client.Barrier(func(event.Time, error, *event.Effects) {})
	n.run(time.Second)
	return n
}

// run advances the time by d in steps of 10 ms.
func (n *testController) run(d time.Duration) {
	n.t.Helper()
	for end := n.now + d; n.now < end; n.now += 10 * time.Millisecond {
		n.jobs.SetNow(n.now)
		n.jobs.SetClock(n.now, time.Unix(1_700_000_000, 0).Add(n.now))
		n.client.Tick(n.now, &n.out)
		n.server.Tick(n.now, &n.out)
		n.applyEffects()
	}
}

// applyEffects executes the pending effects until none are left.
func (n *testController) applyEffects() {
	n.t.Helper()
	for len(n.out.Calls)+len(n.out.Replies) > 0 {
		calls, replies := n.out.Calls, n.out.Replies
		n.out.Calls, n.out.Replies = nil, nil
		for _, r := range replies {
			if _, ok := n.replies[r.Conn]; ok {
				n.t.Errorf("request on connection %d got a second reply, want exactly one", r.Conn)
			}
			n.replies[r.Conn] = r
		}
		for _, c := range calls {
			if status, body, ok := n.service.serve(c); ok {
				n.client.HandleCallResult(n.now, event.CallResult{ID: c.ID, Status: status, Body: []byte(body)}, &n.out)
			}
		}
	}
}

// start sends a request and returns the connection on which its reply will be sent.
func (n *testController) start(method, path, body string) uint64 {
	n.t.Helper()
	n.conn++
	n.server.Handle(n.now, event.Request{Conn: n.conn, Method: method, Path: path, Body: []byte(body)}, &n.out)
	n.client.Tick(n.now, &n.out)
	n.applyEffects()
	return n.conn
}

// send sends a request and returns its reply, or a zero Reply if there is none within 2 s.
func (n *testController) send(method, path, body string) event.Reply {
	n.t.Helper()
	conn := n.start(method, path, body)
	n.run(2 * time.Second)
	return n.replies[conn]
}

// body returns a valid submission body with the given fields appended.
func body(id int, fields string) string {
	return fmt.Sprintf(`{"name_id":"req-%d","jobclass":"c","owner":"red","shape":"array","rank":"normal","shards":1,"cores":1,"cards":0,"ram_gb":1,
"bundle":"b","image_gb":1,"same_place":false,"scatter":false,"loaners":false,"expect_s":10,"snapshot_every_s":0,"snapshot_s":0,"due_s":100%s}`, id, fields)
}

func (n *testController) submit(id int, fields string) event.Reply {
	n.t.Helper()
	return n.send("POST", "/submissions", body(id, fields))
}

func (n *testController) poll(id int) event.Reply {
	n.t.Helper()
	return n.send("GET", fmt.Sprintf("/submissions/req-%d", id), "")
}

func (n *testController) cancel(id int) event.Reply {
	n.t.Helper()
	return n.send("POST", fmt.Sprintf("/submissions/req-%d/cancel", id), "")
}

// expect checks a reply. It does not check the phase if phase is empty.
func (n *testController) expect(what string, r event.Reply, status int, phase string) {
	n.t.Helper()
	var job jobStatus
	if len(r.Body) > 0 {
		if err := json.Unmarshal(r.Body, &job); err != nil {
			n.t.Errorf("%s: cannot decode body %q: %v", what, r.Body, err)
		}
	}
	if r.Status != status || (phase != "" && job.Phase != phase) || (status == 503) != (r.RetryAfter > 0) {
		n.t.Errorf("%s: got status %d, body %q, Retry-After %d; want status %d, phase %q", what, r.Status, r.Body, r.RetryAfter, status, phase)
	}
}

// terminalRecord returns the terminal record of an array job with one task.
func terminalRecord(p pipeline.Phase) []byte {
	return pipeline.EncodeTerminal(p, &pipeline.Job{Spec: pipeline.Spec{TaskCount: 1, Shape: pipeline.Array}})
}

// writes reports whether a transaction body contains a write of a key.
func writes(txn, key string) bool { return strings.Contains(txn, `"write":"`+key+`"`) }

// createUpstreamJobs stores count jobs, waits until the controller sees them and returns
// the submission field that lists them all as upstream jobs.
func (n *testController) createUpstreamJobs(first, count int) string {
	n.t.Helper()
	job := &pipeline.Job{ID: "", Ready: true, Spec: pipeline.Spec{TaskCount: 1, CPUs: 1, Zone: pipeline.AnyZone}}
	names := &pipeline.Names{}
	job.Class, job.Team, job.Image = names.Classes.Index("c"), names.Teams.Index("red"), names.Images.Index("b")
	data := pipeline.EncodeJob(names, job)
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("req-%d", first+i)
		n.service.put("j/"+list[i], data)
	}
	b, err := json.Marshal(list)
	if err != nil {
		n.t.Fatal(err)
	}
	n.poll(first)
	return `,"awaits":` + string(b)
}
