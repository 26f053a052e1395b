package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
	"lugward/internal/store"
)

const (
	valueBytes = 2048
	txnOps     = 4
)

// service is a state service that keeps to its limits.
type service struct {
	t        *testing.T
	keys     map[string]stored
	log      []logged
	revision uint64
	down     bool
	// lose tells whether the answer to a transaction is lost, late whether it
	// is carried out only when carryOut is called.
	lose, late func(body string) bool
	held       []string
	commits    []string
}

type stored struct {
	data    json.RawMessage
	version uint64
}

type logged struct {
	key  string
	data json.RawMessage
	at   uint64
}

type txn struct {
	If []struct {
		Key     string `json:"key"`
		Version uint64 `json:"stamp"`
	} `json:"if"`
	Then []struct {
		Write string          `json:"write"`
		Drop  string          `json:"drop"`
		Data  json.RawMessage `json:"data"`
	} `json:"then"`
}

func newService(t *testing.T) *service { return &service{t: t, keys: map[string]stored{}} }

// put stores a key as some other controller would.
func (s *service) put(key string, data []byte) uint64 {
	s.revision++
	s.set(key, data)
	return s.revision
}

func (s *service) set(key string, data []byte) {
	if data == nil {
		delete(s.keys, key)
	} else {
		s.keys[key] = stored{data, s.revision}
	}
	s.log = append(s.log, logged{key, data, s.revision})
}

func (s *service) commit(body string) (int, string) {
	var x txn
	if err := json.Unmarshal([]byte(body), &x); err != nil {
		s.t.Fatal(err)
	}
	bad := len(x.Then) > txnOps || len(x.If) > 4*txnOps || len(body) > 64<<10
	for _, w := range x.Then {
		bad = bad || len(w.Data) > valueBytes
	}
	if bad {
		s.t.Errorf("a transaction beyond the limits: %d changes, %d conditions, %d bytes", len(x.Then), len(x.If), len(body))
		return 400, "{}"
	}
	var failed []string
	for _, c := range x.If {
		if s.keys[c.Key].version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		b, _ := json.Marshal(map[string]any{"failed": failed, "epoch": s.revision})
		return 409, string(b)
	}
	s.revision++
	for _, w := range x.Then {
		if w.Drop != "" {
			s.set(w.Drop, nil)
		} else {
			s.set(w.Write, w.Data)
		}
	}
	return 200, fmt.Sprintf(`{"epoch":%d}`, s.revision)
}

// carryOut applies the transactions that were late.
func (s *service) carryOut() {
	for _, body := range s.held {
		s.commit(body)
	}
	s.held = nil
}

// serve answers a call; ok is false for a watch, which stays open.
func (s *service) serve(c event.Call) (status int, body string, ok bool) {
	u, err := url.Parse(c.Path)
	if err != nil {
		s.t.Fatal(err)
	}
	switch {
	case u.Path == "/follow" && u.Query().Get("wait_ms") != "0":
		return 0, "", false
	case s.down:
		return 503, "", true
	case u.Path == "/keys":
		return 200, fmt.Sprintf(`{"items":[],"has_next":false,"epoch":%d}`, 0), true
	case u.Path == "/follow":
		var from uint64
		fmt.Sscan(u.Query().Get("from"), &from)
		list := []map[string]any{}
		for _, l := range s.log {
			switch {
			case l.at <= from:
			case l.data == nil:
				list = append(list, map[string]any{"drop": l.key, "stamp": l.at})
			default:
				list = append(list, map[string]any{"write": l.key, "data": l.data, "stamp": l.at})
			}
		}
		b, _ := json.Marshal(map[string]any{"epoch": s.revision, "log": list})
		return 200, string(b), true
	}
	s.commits = append(s.commits, string(c.Body))
	if s.late != nil && s.late(string(c.Body)) {
		s.held = append(s.held, string(c.Body))
		return 0, "", true
	}
	status, body = s.commit(string(c.Body))
	if s.lose != nil && s.lose(string(c.Body)) {
		return 0, "", true
	}
	return status, body, true
}

// node is the API of one controller. It hears of what others have stored
// only through a read barrier.
type node struct {
	t       *testing.T
	svc     *service
	in      *Server
	jobs    *pipeline.Table
	store   *store.Client
	out     event.Effects
	now     event.Time
	conn    uint64
	replies map[uint64]event.Reply
}

func newNode(t *testing.T, s *service, label string) *node {
	n := &node{t: t, svc: s, replies: map[uint64]event.Reply{}, now: time.Second}
	names := &pipeline.Names{}
	names.Zones.Index("a")
	n.jobs = pipeline.NewTable(names, valueBytes, txnOps)
	n.store = store.New("s", store.Limits{TxnOps: txnOps, RPS: 1000, WriteRPS: 1000, StaleAfter: time.Hour}, func(key string, data []byte, version uint64) {
		kind, rest := store.SplitKey(key)
		n.jobs.Listen(kind, rest, data, version)
	})
	machineTypes := &scheduler.MachineTypes{{Index: names.MachineTypes.Index("m"), CPUs: 8, Memory: 32, Zones: []int{0}}}
	n.in = New(Config{Label: label, Teams: []config.Team{{Name: "red"}}, Answer: 1500 * time.Millisecond, ValueBytes: valueBytes, TxnOps: txnOps}, names, n.jobs, n.store, machineTypes)
	n.run(time.Second)
	n.in.store.Barrier(func(event.Time, bool, *event.Effects) {})
	n.run(time.Second)
	return n
}

// run lets time pass.
func (n *node) run(d time.Duration) {
	for end := n.now + d; n.now < end; n.now += 10 * time.Millisecond {
		n.jobs.Now = int64(n.now)
		n.jobs.SetClock(n.now, time.Unix(1_700_000_000, 0).Add(n.now))
		n.store.Tick(n.now, &n.out)
		n.in.Tick(n.now, &n.out)
		n.perform()
	}
}

func (n *node) perform() {
	for len(n.out.Calls)+len(n.out.Replies) > 0 {
		calls, replies := n.out.Calls, n.out.Replies
		n.out.Calls, n.out.Replies = nil, nil
		for _, r := range replies {
			if _, ok := n.replies[r.Conn]; ok {
				n.t.Errorf("request %d is answered twice", r.Conn)
			}
			n.replies[r.Conn] = r
		}
		for _, c := range calls {
			if status, body, ok := n.svc.serve(c); ok {
				n.store.CallDone(n.now, event.CallDone{ID: c.ID, Status: status, Body: []byte(body)}, &n.out)
			}
		}
	}
}

// ask sends a request, send with its answer after so long.
func (n *node) ask(method, path, body string) uint64 {
	n.conn++
	n.in.Handle(n.now, event.Request{Conn: n.conn, Method: method, Path: path, Body: []byte(body)}, &n.out)
	n.store.Tick(n.now, &n.out)
	n.perform()
	return n.conn
}

func (n *node) send(method, path, body string) event.Reply {
	conn := n.ask(method, path, body)
	n.run(2 * time.Second)
	return n.replies[conn]
}

func body(id int, more string) string {
	return fmt.Sprintf(`{"name_id":"req-%d","jobclass":"c","owner":"red","shape":"array","rank":"normal","shards":1,"cores":1,"cards":0,"ram_gb":1,
"bundle":"b","image_gb":1,"same_place":false,"scatter":false,"loaners":false,"expect_s":10,"snapshot_every_s":0,"snapshot_s":0,"due_s":100%s}`, id, more)
}

func (n *node) submit(id int, more string) event.Reply {
	return n.send("POST", "/submissions", body(id, more))
}

func (n *node) expect(what string, r event.Reply, status int, phase string) {
	n.t.Helper()
	var a answer
	_ = json.Unmarshal(r.Body, &a)
	if r.Status != status || (phase != "" && a.Phase != phase) || (status == 503) != (r.RetryAfter > 0) {
		n.t.Errorf("%s: %d %s (%d), want %d %s", what, r.Status, r.Body, r.RetryAfter, status, phase)
	}
}

func final(p pipeline.Phase, shape pipeline.Shape) []byte {
	return pipeline.EncodeFinal(p, &pipeline.Job{Spec: pipeline.Spec{TaskCount: 1, Shape: shape}})
}

func TestAwaits(t *testing.T) {
	s := newService(t)
	n := newNode(t, s, "n0")
	n.expect("plain", n.submit(1, ``), 201, "queued")
	n.expect("null", n.submit(2, `,"awaits":null`), 201, "queued")
	n.expect("empty", n.submit(3, `,"awaits":[]`), 201, "queued")
	for _, id := range []string{"req-1", "req-2", "req-3"} {
		if !n.jobs.Job(id).Ready {
			t.Errorf("%s is not ready", id)
		}
	}
	for _, bad := range []string{`"req-1"`, `5`, `{}`, `[1]`, `[null]`, `["x"]`, `["req-"]`, `["req-1 "]`, `true`} {
		n.expect(bad, n.submit(4, `,"awaits":`+bad), 400, "")
	}
	n.expect("itself", n.submit(4, `,"awaits":["req-4"]`), 422, "")
	n.expect("unknown", n.submit(4, `,"awaits":["req-1","req-99"]`), 422, "")
	n.expect("held", n.submit(4, `,"awaits":["req-1","req-2","req-1"]`), 201, "queued")
	if j := n.jobs.Job("req-4"); j.Ready || strings.Join(j.Upstream, " ") != "req-1 req-2" || j.Submitted == 0 {
		t.Errorf("ready %v, above %v, at %d", j.Ready, j.Upstream, j.Submitted)
	}
	// A retry is found before it is judged.
	for _, list := range []string{`["req-99"]`, `["req-4"]`, `[]`, `7`} {
		n.expect("retry "+list, n.submit(4, `,"awaits":`+list), 200, "queued")
	}
	// So it is on another node, and when the job is over.
	m := newNode(t, s, "n1")
	n.expect("retry elsewhere", m.submit(4, `,"awaits":["req-99"]`), 200, "queued")
	s.put("f/req-4", final(pipeline.Cancelled, pipeline.Array))
	n.expect("retry when over", newNode(t, s, "n2").submit(4, `,"awaits":7`), 200, "cancelled")
}

func TestAwaitsService(t *testing.T) {
	s := newService(t)
	n := newNode(t, s, "n0")
	daemon := strings.Replace(body(1, ""), "array", "daemon", 1)
	n.expect("service", n.send("POST", "/submissions", daemon), 201, "queued")
	n.expect("below it", n.submit(2, `,"awaits":["req-1"]`), 422, "")
	n.expect("cancel", n.send("POST", "/submissions/req-1/cancel", ""), 200, "cancelled")
	s.put("j/req-1", nil)
	n.expect("below one that is over", n.submit(2, `,"awaits":["req-1"]`), 422, "")
}

// What the replica does not show may have been accepted elsewhere a moment
// ago: only a barrier tells, and without one nothing is refused for good.
func TestAwaitsBehind(t *testing.T) {
	s := newService(t)
	n, m := newNode(t, s, "n0"), newNode(t, s, "n1")
	n.expect("above", n.submit(1, ""), 201, "queued")
	s.down = true
	n.expect("in an outage", m.submit(2, `,"awaits":["req-1"]`), 503, "")
	n.expect("in an outage", m.submit(2, `,"awaits":["req-9"]`), 503, "")
	n.expect("in an outage", m.submit(2, `,"awaits":["x"]`), 503, "")
	s.down = false
	o := newNode(t, s, "n2")
	n.submit(3, "") // o has not heard of it
	if o.jobs.Job("req-3") != nil {
		t.Fatal("the replica is not behind")
	}
	n.expect("behind", o.submit(2, `,"awaits":["req-1","req-3"]`), 201, "queued")
	n.expect("not there", o.submit(4, `,"awaits":["req-5"]`), 422, "")
}

func TestAwaitsOver(t *testing.T) {
	s := newService(t)
	n := newNode(t, s, "n0")
	for id := range 3 {
		n.expect("above", n.submit(1+id, ""), 201, "queued")
	}
	s.put("f/req-1", final(pipeline.Done, pipeline.Array))
	s.put("j/req-1", nil)
	n.expect("poll", n.send("GET", "/submissions/req-1", ""), 200, "done")
	n.expect("all done", n.submit(4, `,"awaits":["req-1"]`), 201, "queued")
	if j := n.jobs.Job("req-4"); !j.Ready || j.ReadyAt != j.Submitted {
		t.Errorf("ready %v", j.Ready)
	}
	n.expect("held", n.submit(5, `,"awaits":["req-2"]`), 201, "queued")
	n.expect("below", n.submit(6, `,"awaits":["req-5"]`), 201, "queued")
	n.expect("beside", n.submit(7, `,"awaits":["req-3"]`), 201, "queued")
	n.expect("cancel", n.send("POST", "/submissions/req-2/cancel", ""), 200, "cancelled")
	// Judged by its ancestors on every node, before any mark of its own.
	for _, m := range []*node{n, newNode(t, s, "n1")} {
		n.expect("below a cancelled one", m.send("GET", "/submissions/req-6", ""), 200, "cancelled")
		n.expect("cancelled by its user, too", m.send("POST", "/submissions/req-6/cancel", ""), 200, "cancelled")
		n.expect("beside it", m.send("GET", "/submissions/req-7", ""), 200, "queued")
	}
	n.expect("names a cancelled one", n.submit(8, `,"awaits":["req-1","req-6"]`), 201, "cancelled")
	n.expect("poll", n.send("GET", "/submissions/req-8", ""), 200, "cancelled")
}

// A cancellation that loses to done leaves the jobs below alone.
func TestCancelLosesToDone(t *testing.T) {
	s := newService(t)
	n := newNode(t, s, "n0")
	n.submit(1, "")
	n.submit(2, `,"awaits":["req-1"]`)
	s.put("f/req-1", final(pipeline.Done, pipeline.Array))
	n.expect("cancel", n.send("POST", "/submissions/req-1/cancel", ""), 200, "done")
	n.expect("below", n.send("GET", "/submissions/req-2", ""), 200, "queued")
	if held := n.jobs.Releasable(); len(held) != 1 || held[0].ID != "req-2" {
		t.Errorf("%d to be marked ready", len(held))
	}
}

// A submission and the cancellation of what it names, in either order and
// through two nodes that know nothing of each other.
func TestSubmissionMeetsCancellation(t *testing.T) {
	s := newService(t)
	n, m := newNode(t, s, "n0"), newNode(t, s, "n1")
	n.submit(1, "")
	m.send("GET", "/submissions/req-1", "")
	n.expect("cancel", n.send("POST", "/submissions/req-1/cancel", ""), 200, "cancelled")
	if r := m.submit(2, `,"awaits":["req-1"]`); r.Status != 201 {
		t.Fatalf("%d", r.Status)
	}
	n.expect("after", m.send("GET", "/submissions/req-2", ""), 200, "cancelled")
	n.expect("after", n.send("GET", "/submissions/req-2", ""), 200, "cancelled")
}

// long is a list of so many jobs above, which are in the replica.
func (n *node) long(first, count int) string {
	var list []string
	job := &pipeline.Job{ID: "", Ready: true, Spec: pipeline.Spec{TaskCount: 1, CPUs: 1, Zone: -1}}
	names := &pipeline.Names{}
	job.Class, job.Team, job.Image = names.Classes.Index("c"), names.Teams.Index("red"), names.Images.Index("b")
	data := pipeline.Encode(names, job)
	for i := range count {
		id := fmt.Sprintf("req-%d", first+i)
		n.svc.put("j/"+id, data)
		list = append(list, id)
	}
	b, _ := json.Marshal(list)
	n.send("GET", "/submissions/"+list[0], "")
	return `,"awaits":` + string(b)
}

func (s *service) parts(id int) (list []string) {
	for n := 0; ; n++ {
		k, ok := s.keys[fmt.Sprintf("u/req-%d/%d", id, n)]
		if !ok {
			return list
		}
		list = append(list, string(k.data))
	}
}

func TestLongList(t *testing.T) {
	s := newService(t)
	n := newNode(t, s, "n0")
	list := n.long(1_000_000, 5000)
	r := n.submit(1, list)
	n.expect("long list", r, 201, "queued")
	parts := s.parts(1)
	if j := n.jobs.Job("req-1"); len(parts) < 10 || j.UpstreamParts != len(parts) || j.Ready || j.UpstreamCancelled() {
		t.Fatalf("%d parts, record %s", len(parts), s.keys["j/req-1"].data)
	}
	// The record came last, on condition of part 0; so did the other parts.
	version := s.keys["u/req-1/0"].version
	guard := fmt.Sprintf(`{"key":"u/req-1/0","stamp":%d}`, version)
	guarded := 0
	for _, c := range s.commits {
		if strings.Contains(c, `"write":"u/req-1/`) || strings.Contains(c, `"write":"j/req-1"`) {
			if strings.Contains(c, guard) {
				guarded++
			} else if !strings.Contains(c, `"write":"u/req-1/0"`) {
				t.Errorf("not guarded: %.200s", c)
			}
		}
	}
	if guarded < 2 || s.keys["j/req-1"].version <= s.keys[fmt.Sprintf("u/req-1/%d", len(parts)-1)].version {
		t.Error("the record is not last")
	}
	// Another node reads it; the last of the list decides.
	m := newNode(t, s, "n1")
	n.expect("elsewhere", m.send("GET", "/submissions/req-1", ""), 200, "queued")
	s.put("f/req-1004999", final(pipeline.Cancelled, pipeline.Array))
	n.expect("below a cancelled one", m.send("GET", "/submissions/req-1", ""), 200, "cancelled")
}

// Any write of an attempt may be lost, refused to be told of, or carried out
// late: the job is accepted whole or not at all.
func TestInterruptedSubmissions(t *testing.T) {
	for _, key := range []string{"u/req-1/0", "u/req-1/1", "u/req-1/3", "j/req-1"} {
		for _, late := range []bool{false, true} {
			s := newService(t)
			n := newNode(t, s, "n0")
			list := n.long(1_000_000, 1500)
			once := true
			hit := func(body string) bool {
				if once && strings.Contains(body, `"write":"`+key+`"`) {
					once = false
					return true
				}
				return false
			}
			if late {
				s.late = hit
			} else {
				s.lose = hit
			}
			status := n.submit(1, list).Status
			// Carried out twice a part changes nothing: it is written again at once.
			if want := map[string]int{"u/req-1/0": 503, "j/req-1": map[bool]int{true: 201, false: 200}[late]}[key]; want != status && (want != 0 || status != 201) {
				t.Errorf("%s, late %v: the first answer is %d", key, late, status)
			}
			for range 8 {
				if status == 201 || status == 200 {
					break
				}
				if status != 503 {
					t.Fatalf("%s: %d", key, status)
				}
				n.run(2 * time.Second)
				status = n.submit(1, list).Status
			}
			before := strings.Join(s.parts(1), "")
			s.carryOut()
			n.expect(key, n.send("GET", "/submissions/req-1", ""), 200, "queued")
			if once || strings.Join(s.parts(1), "") != before {
				t.Errorf("%s, late %v: a late write has changed the list", key, late)
			}
			m := newNode(t, s, "n1")
			m.send("GET", "/submissions/req-1", "")
			s.put("f/req-1001499", final(pipeline.Cancelled, pipeline.Array))
			n.expect(key+" elsewhere", m.send("GET", "/submissions/req-1", ""), 200, "cancelled")
		}
	}
}

// A repeat that comes before anything is stored waits for the first.
func TestRepeatAtOnce(t *testing.T) {
	s := newService(t)
	n := newNode(t, s, "n0")
	list := n.long(1_000_000, 1500)
	r := event.Request{Method: "POST", Path: "/submissions", Body: []byte(body(1, list))}
	for r.Conn = 1001; r.Conn <= 1002; r.Conn++ {
		n.in.Handle(n.now, r, &n.out)
	}
	n.run(2 * time.Second)
	n.expect("first", n.replies[1001], 201, "queued")
	n.expect("repeat", n.replies[1002], 503, "")
}

// Two nodes are given the same long submission: one attempt at a time, and one
// that was left behind is taken over with another list.
func TestRivalSubmissions(t *testing.T) {
	s := newService(t)
	n, m := newNode(t, s, "n0"), newNode(t, s, "n1")
	list := n.long(1_000_000, 1500)
	m.send("GET", "/submissions/req-1000000", "")
	s.late = func(body string) bool { return strings.Contains(body, `"write":"u/req-1/1"`) }
	first := n.ask("POST", "/submissions", body(1, list))
	n.run(100 * time.Millisecond)
	n.expect("same node", n.send("POST", "/submissions", body(1, list)), 503, "")
	m.send("GET", "/submissions/req-1", "") // it sees part 0
	n.expect("other node", m.submit(1, list), 503, "")
	if r := n.replies[first]; r.Status != 503 {
		t.Errorf("the first is told %d", r.Status)
	}
	s.late = nil
	m.run(10 * time.Second)
	other := m.long(2_000_000, 1400)
	n.expect("when it is old", m.submit(1, other), 201, "queued")
	want := strings.Join(s.parts(1), "")
	s.carryOut() // what the first had under way
	n.run(15 * time.Second)
	if got := strings.Join(s.parts(1), ""); got != want || !bytes.Contains([]byte(got), []byte("2000000")) {
		t.Error("two attempts are mixed")
	}
	n.expect("retry", n.submit(1, list), 200, "queued")
}
