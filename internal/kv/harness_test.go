package kv

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
)

// ampleLimits are higher than any test that uses them needs.
var ampleLimits = Limits{TxnOps: 12, Rates: Rates{Requests: 100, Writes: 60}}

// ampleConfig has ampleLimits. Its cache never becomes stale within a test, so the
// client sends barriers only when Barrier is called.
var ampleConfig = Config{Limits: ampleLimits, StaleAfter: time.Hour}

// harness is a client whose calls the test responds to, in any order.
type harness struct {
	*Client
	t   *testing.T
	out event.Effects
	now event.Time
	// values holds the data that OnChange received last for each key.
	values map[string]string
}

// newHarness returns a client that has scanned the given JSON items as all keys, at
// revision 5. It sets Addr and OnChange of the config.
func newHarness(t *testing.T, cfg Config, items ...string) *harness {
	t.Helper()
	h := &harness{t: t, now: time.Second, values: map[string]string{}}
	cfg.Addr = "s"
	cfg.OnChange = func(key string, data []byte, _ uint64) { h.values[key] = string(data) }
	h.Client = New(cfg)
	h.advance(0)
	h.respond(h.drainFirstCall("/keys"), 200, `{"items":[`+strings.Join(items, ",")+`],"has_next":false,"epoch":5}`)
	return h
}

// drainCalls returns the calls with a path prefix since the last drain, and discards
// all others.
func (h *harness) drainCalls(path string) (calls []event.Call) {
	for _, call := range h.out.Calls {
		if strings.HasPrefix(call.Path, path) {
			calls = append(calls, call)
		}
	}
	h.out.Calls = nil
	return calls
}

// drainFirstCall returns the first call with a path prefix since the last drain, and
// discards all others.
func (h *harness) drainFirstCall(path string) event.Call {
	h.t.Helper()
	calls := h.drainCalls(path)
	if len(calls) == 0 {
		h.t.Fatalf("no call with path prefix %s", path)
	}
	return calls[0]
}

func (h *harness) respond(call event.Call, status int, body string) {
	h.HandleCallResult(h.now, event.CallResult{ID: call.ID, Status: status, Body: []byte(body)}, &h.out)
}

// advance moves the time forward and ticks the client once.
func (h *harness) advance(d time.Duration) {
	h.now += d
	h.Tick(h.now, &h.out)
}

// submit queues a transaction that expires after ttl.
func (h *harness) submit(txn *Txn, ttl time.Duration) { h.Submit(txn, h.now+ttl) }

// newWrite returns a transaction that writes the keys, and a pointer to the results
// that its Done has received so far.
func newWrite(keys ...string) (txn *Txn, results *[]Result) {
	results = new([]Result)
	txn = &Txn{Priority: PriorityProgress, Done: func(r Result) { *results = append(*results, r) }}
	for _, key := range keys {
		txn.Writes = append(txn.Writes, Write{Key: key, Data: []byte(`1`)})
	}
	return txn, results
}

// wantOutcome checks that a transaction has ended exactly once, with the given outcome.
func wantOutcome(t *testing.T, what string, results *[]Result, want Outcome) {
	t.Helper()
	if len(*results) != 1 || (*results)[0].Outcome != want {
		t.Errorf("%s: got results %+v, want one with outcome %v", what, *results, want)
	}
}

// commitBody is the body of a commit request.
type commitBody struct{ If, Then []any }

func decodeCommitBody(t *testing.T, call event.Call) commitBody {
	t.Helper()
	var body commitBody
	if err := json.Unmarshal(call.Body, &body); err != nil {
		t.Fatalf("decode request body of %s: %v", call.Path, err)
	}
	return body
}
