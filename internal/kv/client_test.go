package kv

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
)

// harness is a client whose calls the test answers, in any order.
type harness struct {
	*Client
	out event.Effects
	now event.Time
	// values are the data that the listener received last, by key.
	values map[string]string
}

func newHarness(limits Limits, items ...string) *harness {
	h := &harness{now: time.Second, values: map[string]string{}}
	onChange := func(key string, data []byte, _ uint64) { h.values[key] = string(data) }
	h.Client = New(Config{Addr: "s", Limits: limits, OnChange: onChange})
	h.Tick(h.now, &h.out)
	h.answer(h.take("/keys")[0], 200, `{"items":[`+strings.Join(items, ",")+`],"has_next":false,"epoch":5}`)
	return h
}

// take returns the calls below a path since the last take, and discards the rest.
func (h *harness) take(path string) (list []event.Call) {
	for _, c := range h.out.Calls {
		if strings.HasPrefix(c.Path, path) {
			list = append(list, c)
		}
	}
	h.out.Calls = nil
	return list
}

func (h *harness) answer(c event.Call, status int, body string) {
	h.HandleCallResult(h.now, event.CallResult{ID: c.ID, Status: status, Body: []byte(body)}, &h.out)
}

func (h *harness) wait(d time.Duration) {
	h.now += d
	h.Tick(h.now, &h.out)
}

// newWrite returns an intent that writes the keys, and the results that its
// Done has received so far.
func newWrite(keys ...string) (in *Txn, results *[]Result) {
	results = new([]Result)
	in = &Txn{Priority: PriorityProgress, Done: func(r Result) { *results = append(*results, r) }}
	for _, k := range keys {
		in.Writes = append(in.Writes, Write{Key: k, Data: []byte(`1`)})
	}
	return in, results
}

// TestMalformed: a 400 is reported for the one write that it is about, which is
// not sent again.
func TestMalformed(t *testing.T) {
	h := newHarness(Limits{TxnOps: 4, Rates: Rates{Requests: 100, Writes: 100}})
	good, goodResults := newWrite("a")
	bad, badResults := newWrite("b")
	h.Submit(good, h.now+time.Minute)
	h.Submit(bad, h.now+time.Minute)
	h.wait(0)
	calls := h.take("/commit")
	if len(calls) != 1 {
		t.Fatalf("%d transactions", len(calls))
	}
	h.answer(calls[0], 400, `{}`)
	for range 10 {
		for _, c := range h.take("/commit") {
			if body := string(c.Body); strings.Contains(body, `"b"`) {
				h.answer(c, 400, `{}`)
			} else {
				h.answer(c, 200, `{"epoch":9}`)
			}
		}
		h.wait(time.Second)
	}
	if len(*goodResults) != 1 || (*goodResults)[0].Outcome != Committed {
		t.Errorf("its neighbour: %+v", *goodResults)
	}
	if len(*badResults) != 1 || (*badResults)[0].Outcome != Rejected {
		t.Errorf("%+v", *badResults)
	}
}

// TestSmallShare: where a node's share of the rate holds fewer writes than one
// intent has, the intent is sent once the bucket is full, and the rest is owed.
func TestSmallShare(t *testing.T) {
	h := newHarness(Limits{TxnOps: 4, Rates: Rates{Requests: 100, Writes: 100}})
	h.SetRateShare(Rates{Requests: 100, Writes: 0.5})
	h.wait(0)
	h.take("")
	sent := 0
	count := func() {
		for _, c := range h.take("/commit") {
			var v struct{ Then []any }
			_ = json.Unmarshal(c.Body, &v)
			if sent += len(v.Then); len(v.Then) > 4 {
				t.Fatalf("%d changes", len(v.Then))
			}
			h.answer(c, 200, `{"epoch":9}`)
		}
	}
	for i := range 20 {
		in, _ := newWrite(string(rune('a'+i))+"1", string(rune('a'+i))+"2", string(rune('a'+i))+"3")
		h.Submit(in, h.now+time.Hour)
	}
	for range 600 {
		h.wait(100 * time.Millisecond)
		count()
	}
	// 0.5 a second for a minute, and what the first borrowed.
	if sent < 27 || sent > 33 {
		t.Errorf("%d changes in a minute", sent)
	}
}

// TestTransactionLimits: no transaction goes beyond the limits on changes and conditions.
func TestTransactionLimits(t *testing.T) {
	h := newHarness(Limits{TxnOps: 4, Rates: Rates{Requests: 100, Writes: 100}})
	done := 0
	for i := range 12 {
		k := string(rune('a' + i))
		in, _ := newWrite(k)
		for _, c := range "12345" {
			in.Compares = append(in.Compares, Compare{Key: k + string(c), ModRevision: 1})
		}
		in.Done = func(Result) { done++ }
		h.Submit(in, h.now+time.Minute)
	}
	for range 20 {
		h.wait(100 * time.Millisecond)
		for _, c := range h.take("/commit") {
			var v struct{ If, Then []any }
			if err := json.Unmarshal(c.Body, &v); err != nil || len(v.If) > 16 || len(v.Then) > 4 {
				t.Fatalf("%d conditions, %d changes", len(v.If), len(v.Then))
			}
			h.answer(c, 200, `{"epoch":9}`)
		}
	}
	if done != 12 {
		t.Errorf("%d of 12", done)
	}
}

// ampleLimits are beyond anything that the tests that use them need.
var ampleLimits = Limits{TxnOps: 12, Rates: Rates{Requests: 100, Writes: 60}, StaleAfter: time.Hour}

// TestOvertakenAnswer: the answer to a watch is delayed until after a barrier's
// and lists a key that was dropped since. The key must not come back.
func TestOvertakenAnswer(t *testing.T) {
	h := newHarness(ampleLimits, `{"key":"j/req-1","data":{"n":1},"stamp":3}`)
	watch := h.take("/follow")[0]
	h.Barrier(func(event.Time, bool, *event.Effects) {})
	h.wait(time.Second)
	barrier := h.take("/follow")[0]
	h.answer(barrier, 200, `{"epoch":9,"log":[{"write":"j/req-1","data":{"n":2},"stamp":7},{"drop":"j/req-1","stamp":9}]}`)
	h.answer(watch, 200, `{"epoch":7,"log":[{"write":"j/req-1","data":{"n":2},"stamp":7}]}`)
	if got := h.values["j/req-1"]; got != "" || h.ModRevision("j/req-1") != 0 {
		t.Errorf("a dropped key is back: %s, version %d", got, h.ModRevision("j/req-1"))
	}
	if h.Revision() != 9 {
		t.Errorf("the replica is at %d", h.Revision())
	}
}

// TestOvertakenCommit: the same for the answer to a write of ours whose key
// others dropped meanwhile.
func TestOvertakenCommit(t *testing.T) {
	h := newHarness(ampleLimits)
	watch := h.take("/follow")[0]
	outcome := Aborted
	h.Submit(&Txn{Priority: PrioritySubmission, Compares: []Compare{{Key: "j/req-1"}}, Writes: []Write{{Key: "j/req-1", Data: []byte(`{"n":1}`)}},
		Done: func(r Result) { outcome = r.Outcome }}, time.Minute)
	h.wait(time.Second)
	commit := h.take("/commit")[0]
	h.answer(watch, 200, `{"epoch":8,"log":[{"write":"j/req-1","data":{"n":1},"stamp":6},{"drop":"j/req-1","stamp":8}]}`)
	h.answer(commit, 200, `{"epoch":6}`)
	if outcome != Committed || h.values["j/req-1"] != "" || h.ModRevision("j/req-1") != 0 {
		t.Errorf("outcome %v, the dropped key shows %q", outcome, h.values["j/req-1"])
	}
}

// TestOwnWriteAtOnce: a write of ours is in the replica before the log brings it.
func TestOwnWriteAtOnce(t *testing.T) {
	h := newHarness(ampleLimits)
	h.Submit(&Txn{Priority: PrioritySubmission, Writes: []Write{{Key: "f/req-1", Data: []byte(`{}`)}}, Done: func(Result) {}}, time.Minute)
	h.wait(time.Second)
	h.answer(h.take("/commit")[0], 200, `{"epoch":6}`)
	if h.ModRevision("f/req-1") != 6 || h.Revision() != 5 {
		t.Errorf("version %d at %d", h.ModRevision("f/req-1"), h.Revision())
	}
}

// TestRatesLowered: the first 429 puts the announced rates into force; where
// none are announced, or higher ones, the present rates stay.
func TestRatesLowered(t *testing.T) {
	for _, c := range []struct {
		next, want float64
	}{{10, 10}, {200, 60}, {0, 60}} {
		limits := ampleLimits
		limits.NextRates.Writes = c.next
		h := newHarness(limits)
		in, results := newWrite("a")
		h.Submit(in, h.now+time.Minute)
		h.wait(0)
		if before := h.TotalRates().Writes; before != 60 {
			t.Fatalf("%v writes a second from the start", before)
		}
		h.answer(h.take("/commit")[0], 429, `{}`)
		if after := h.TotalRates(); after.Writes != c.want || after.Requests != 100 {
			t.Errorf("announced %v: %v writes and %v requests a second", c.next, after.Writes, after.Requests)
		}
		h.wait(time.Second)
		h.answer(h.take("/commit")[0], 200, `{"epoch":9}`)
		if len(*results) != 1 || (*results)[0].Outcome != Committed {
			t.Errorf("the write: %+v", *results)
		}
	}
}

// TestAnswerTooLarge: a node that was away for so long that the changes since then
// are more than it takes at once reads all keys page by page; asking for the same
// changes again would never end.
func TestAnswerTooLarge(t *testing.T) {
	h := newHarness(ampleLimits, `{"key":"j/req-1","data":{"n":1},"stamp":3}`)
	h.answer(h.take("/follow")[0], event.ResponseTooLarge, "")
	if h.Synced() {
		t.Fatal("the replica counts as complete")
	}
	h.wait(time.Second)
	pages := h.take("/keys")
	if len(pages) != 1 {
		t.Fatalf("%d pages asked for", len(pages))
	}
	h.answer(pages[0], 200, `{"items":[{"key":"j/req-2","data":{"n":2},"stamp":90}],"has_next":false,"epoch":95}`)
	if !h.Synced() || h.Revision() != 95 || h.values["j/req-1"] != "" || h.values["j/req-2"] != `{"n":2}` {
		t.Errorf("synced %v at %d: %v", h.Synced(), h.Revision(), h.values)
	}
}

// TestPermanentKeys: keys that never change reach the listener from pages, from the log
// and from writes of ours; nothing of them is kept, and a new scan drops none of them.
func TestPermanentKeys(t *testing.T) {
	limits := ampleLimits
	limits.ImmutablePrefix = "f/"
	h := newHarness(limits, `{"key":"f/req-1","data":{"n":1},"stamp":3}`, `{"key":"j/req-2","data":{"n":2},"stamp":4}`)
	watch := h.take("/follow")[0]
	h.Submit(&Txn{Priority: PrioritySubmission, Compares: []Compare{{Key: "f/req-2"}}, Writes: []Write{{Key: "f/req-2", Data: []byte(`{"n":2}`)}}, Done: func(Result) {}}, time.Minute)
	h.wait(time.Second)
	h.answer(h.take("/commit")[0], 200, `{"epoch":6}`)
	h.answer(watch, 200, `{"epoch":7,"log":[{"write":"f/req-2","data":{"n":2},"stamp":6},{"write":"f/req-3","data":{"n":3},"stamp":7}]}`)
	h.wait(time.Second)
	h.answer(h.take("/follow")[0], 410, `{}`)
	h.wait(time.Second)
	h.answer(h.take("/keys")[0], 200, `{"items":[],"has_next":false,"epoch":9}`)
	for _, key := range []string{"f/req-1", "f/req-2", "f/req-3"} {
		if h.values[key] == "" || h.ModRevision(key) != 0 {
			t.Errorf("%s: %q, version %d", key, h.values[key], h.ModRevision(key))
		}
	}
	if h.values["j/req-2"] != "" || len(h.cache.modRevisions) != 0 {
		t.Errorf("%v, versions %v", h.values, h.cache.modRevisions)
	}
}
