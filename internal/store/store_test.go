package store

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
)

// bench is a client whose calls the test answers, in any order.
type bench struct {
	*Client
	out  event.Effects
	now  event.Time
	held map[string]string // what the listener was told last, by key
}

func newBench(limits Limits, items ...string) *bench {
	b := &bench{now: time.Second, held: map[string]string{}}
	b.Client = New("s", limits, func(key string, data []byte, _ uint64) { b.held[key] = string(data) })
	b.Tick(b.now, &b.out)
	b.answer(b.take("/keys")[0], 200, `{"items":[`+strings.Join(items, ",")+`],"has_next":false,"epoch":5}`)
	return b
}

// take returns the calls of a kind since the last time, and forgets all.
func (b *bench) take(path string) (list []event.Call) {
	for _, c := range b.out.Calls {
		if strings.HasPrefix(c.Path, path) {
			list = append(list, c)
		}
	}
	b.out.Calls = nil
	return list
}

func (b *bench) answer(c event.Call, status int, body string) {
	b.CallDone(b.now, event.CallDone{ID: c.ID, Status: status, Body: []byte(body)}, &b.out)
}

func (b *bench) wait(d time.Duration) {
	b.now += d
	b.Tick(b.now, &b.out)
}

func write(keys ...string) (in *Intent, results *[]Result) {
	results = new([]Result)
	in = &Intent{Priority: Progress, Done: func(r Result) { *results = append(*results, r) }}
	for _, k := range keys {
		in.Writes = append(in.Writes, Write{Key: k, Data: []byte(`1`)})
	}
	return in, results
}

// A 400 is told of the one write that it is about, and is not tried again.
func TestMalformed(t *testing.T) {
	b := newBench(Limits{TxnOps: 4, RPS: 100, WriteRPS: 100})
	good, goodResults := write("a")
	bad, badResults := write("b")
	b.Submit(good, b.now+time.Minute)
	b.Submit(bad, b.now+time.Minute)
	b.wait(0)
	calls := b.take("/commit")
	if len(calls) != 1 {
		t.Fatalf("%d transactions", len(calls))
	}
	b.answer(calls[0], 400, `{}`)
	for range 10 {
		for _, c := range b.take("/commit") {
			if body := string(c.Body); strings.Contains(body, `"b"`) {
				b.answer(c, 400, `{}`)
			} else {
				b.answer(c, 200, `{"epoch":9}`)
			}
		}
		b.wait(time.Second)
	}
	if len(*goodResults) != 1 || (*goodResults)[0].Outcome != OK || (*goodResults)[0].Invalid {
		t.Errorf("its neighbour: %+v", *goodResults)
	}
	if len(*badResults) != 1 || (*badResults)[0].Outcome != Refused || !(*badResults)[0].Invalid {
		t.Errorf("%+v", *badResults)
	}
}

// Where a node's part of the rate holds fewer writes than one intent has, the
// intent goes all the same once the part is full, and is owed afterwards.
func TestSmallPart(t *testing.T) {
	b := newBench(Limits{TxnOps: 4, RPS: 100, WriteRPS: 100})
	b.SetShare(100, 0.5)
	b.wait(0)
	b.take("")
	sent := 0
	count := func() {
		for _, c := range b.take("/commit") {
			var v struct{ Then []any }
			_ = json.Unmarshal(c.Body, &v)
			if sent += len(v.Then); len(v.Then) > 4 {
				t.Fatalf("%d changes", len(v.Then))
			}
			b.answer(c, 200, `{"epoch":9}`)
		}
	}
	for i := range 20 {
		in, _ := write(string(rune('a'+i))+"1", string(rune('a'+i))+"2", string(rune('a'+i))+"3")
		b.Submit(in, b.now+time.Hour)
	}
	for range 600 {
		b.wait(100 * time.Millisecond)
		count()
	}
	// 0.5 a second for a minute, and what the first borrowed.
	if sent < 27 || sent > 33 {
		t.Errorf("%d changes in a minute", sent)
	}
}

// No transaction goes beyond the limits on changes and conditions.
func TestTransactionLimits(t *testing.T) {
	b := newBench(Limits{TxnOps: 4, RPS: 100, WriteRPS: 100})
	done := 0
	for i := range 12 {
		k := string(rune('a' + i))
		in, _ := write(k)
		for _, c := range "12345" {
			in.Conditions = append(in.Conditions, Condition{Key: k + string(c), Version: 1})
		}
		in.Done = func(Result) { done++ }
		b.Submit(in, b.now+time.Minute)
	}
	for range 20 {
		b.wait(100 * time.Millisecond)
		for _, c := range b.take("/commit") {
			var v struct{ If, Then []any }
			if err := json.Unmarshal(c.Body, &v); err != nil || len(v.If) > 16 || len(v.Then) > 4 {
				t.Fatalf("%d conditions, %d changes", len(v.If), len(v.Then))
			}
			b.answer(c, 200, `{"epoch":9}`)
		}
	}
	if done != 12 {
		t.Errorf("%d of 12", done)
	}
}

// open limits nothing that these tests do.
var open = Limits{TxnOps: 12, RPS: 100, WriteRPS: 60, StaleAfter: time.Hour}

// An answer to a watch that was held up while a barrier's overtook it tells of
// keys that were dropped since: they must not come back.
func TestOvertakenAnswer(t *testing.T) {
	b := newBench(open, `{"key":"j/req-1","data":{"n":1},"stamp":3}`)
	watch := b.take("/follow")[0]
	b.Barrier(func(event.Time, bool, *event.Effects) {})
	b.wait(time.Second)
	barrier := b.take("/follow")[0]
	b.answer(barrier, 200, `{"epoch":9,"log":[{"write":"j/req-1","data":{"n":2},"stamp":7},{"drop":"j/req-1","stamp":9}]}`)
	b.answer(watch, 200, `{"epoch":7,"log":[{"write":"j/req-1","data":{"n":2},"stamp":7}]}`)
	if got := b.held["j/req-1"]; got != "" || b.Version("j/req-1") != 0 {
		t.Errorf("a dropped key is back: %s, stamp %d", got, b.Version("j/req-1"))
	}
	if b.Revision() != 9 {
		t.Errorf("the replica is at %d", b.Revision())
	}
}

// The same with the answer to a write of ours that others dropped meanwhile.
func TestOvertakenCommit(t *testing.T) {
	b := newBench(open)
	watch := b.take("/follow")[0]
	outcome := Refused
	b.Submit(&Intent{Priority: Accept, Conditions: []Condition{{Key: "j/req-1"}}, Writes: []Write{{Key: "j/req-1", Data: []byte(`{"n":1}`)}},
		Done: func(r Result) { outcome = r.Outcome }}, time.Minute)
	b.wait(time.Second)
	commit := b.take("/commit")[0]
	b.answer(watch, 200, `{"epoch":8,"log":[{"write":"j/req-1","data":{"n":1},"stamp":6},{"drop":"j/req-1","stamp":8}]}`)
	b.answer(commit, 200, `{"epoch":6}`)
	if outcome != OK || b.held["j/req-1"] != "" || b.Version("j/req-1") != 0 {
		t.Errorf("outcome %v, the dropped key shows %q", outcome, b.held["j/req-1"])
	}
}

// A write of ours shows at once, before the log brings it.
func TestOwnWriteShowsAtOnce(t *testing.T) {
	b := newBench(open)
	b.Submit(&Intent{Priority: Accept, Writes: []Write{{Key: "f/req-1", Data: []byte(`{}`)}}, Done: func(Result) {}}, time.Minute)
	b.wait(time.Second)
	b.answer(b.take("/commit")[0], 200, `{"epoch":6}`)
	if b.Version("f/req-1") != 6 || b.Revision() != 5 {
		t.Errorf("stamp %d at %d", b.Version("f/req-1"), b.Revision())
	}
}

// The first 429 is the sign that the announced rates are in force; without any
// announced, the known ones stay.
func TestRatesLowered(t *testing.T) {
	for _, c := range []struct {
		next, want float64
	}{{10, 10}, {200, 60}, {0, 60}} {
		limits := open
		limits.NextWriteRPS = c.next
		b := newBench(limits)
		in, results := write("a")
		b.Submit(in, b.now+time.Minute)
		b.wait(0)
		if _, before := b.Rates(); before != 60 {
			t.Fatalf("%v writes a second from the start", before)
		}
		b.answer(b.take("/commit")[0], 429, `{}`)
		if rps, after := b.Rates(); after != c.want || rps != 100 {
			t.Errorf("announced %v: %v writes and %v requests a second", c.next, after, rps)
		}
		b.wait(time.Second)
		b.answer(b.take("/commit")[0], 200, `{"epoch":9}`)
		if len(*results) != 1 || (*results)[0].Outcome != OK {
			t.Errorf("the write: %+v", *results)
		}
	}
}
