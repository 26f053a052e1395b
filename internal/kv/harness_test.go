package kv

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
)

// ampleLimits are beyond anything that the tests that use them need.
var ampleLimits = Limits{TxnOps: 12, Rates: Rates{Requests: 100, Writes: 60}}

// ampleConfig has ampleLimits, and sends barriers only when they are asked for.
var ampleConfig = Config{Limits: ampleLimits, StaleAfter: time.Hour}

// harness is a client whose calls the test answers, in any order.
type harness struct {
	*Client
	t   *testing.T
	out event.Effects
	now event.Time
	// values are the data that OnChange received last, by key.
	values map[string]string
}

// newHarness returns a client that has read the given items of JSON as all keys,
// at revision 5. It sets Addr and OnChange of the config.
func newHarness(t *testing.T, cfg Config, items ...string) *harness {
	t.Helper()
	h := &harness{t: t, now: time.Second, values: map[string]string{}}
	cfg.Addr = "s"
	cfg.OnChange = func(key string, data []byte, _ uint64) { h.values[key] = string(data) }
	h.Client = New(cfg)
	h.advance(0)
	h.respond(h.takeFirstCall("/keys"), 200, `{"items":[`+strings.Join(items, ",")+`],"has_next":false,"epoch":5}`)
	return h
}

// takeCalls returns the calls below a path since the last take, and discards the
// rest.
func (h *harness) takeCalls(path string) (calls []event.Call) {
	for _, call := range h.out.Calls {
		if strings.HasPrefix(call.Path, path) {
			calls = append(calls, call)
		}
	}
	h.out.Calls = nil
	return calls
}

// takeFirstCall returns the first call below a path since the last take, and
// discards the rest.
func (h *harness) takeFirstCall(path string) event.Call {
	h.t.Helper()
	calls := h.takeCalls(path)
	if len(calls) == 0 {
		h.t.Fatalf("no call of %s", path)
	}
	return calls[0]
}

func (h *harness) respond(call event.Call, status int, body string) {
	h.HandleCallResult(h.now, event.CallResult{ID: call.ID, Status: status, Body: []byte(body)}, &h.out)
}

// advance lets time pass and ticks the client once.
func (h *harness) advance(d time.Duration) {
	h.now += d
	h.Tick(h.now, &h.out)
}

// submit queues a transaction that expires after the given time.
func (h *harness) submit(txn *Txn, ttl time.Duration) { h.Submit(txn, h.now+ttl) }

// newWrite returns a transaction that writes the keys, and the results that its
// Done has received so far.
func newWrite(keys ...string) (txn *Txn, results *[]Result) {
	results = new([]Result)
	txn = &Txn{Priority: PriorityProgress, Done: func(r Result) { *results = append(*results, r) }}
	for _, key := range keys {
		txn.Writes = append(txn.Writes, Write{Key: key, Data: []byte(`1`)})
	}
	return txn, results
}

// wantOutcome checks that a transaction has ended exactly once, with an outcome.
func wantOutcome(t *testing.T, what string, results *[]Result, want Outcome) {
	t.Helper()
	if len(*results) != 1 || (*results)[0].Outcome != want {
		t.Errorf("%s: results %+v, want one with outcome %v", what, *results, want)
	}
}

// commitBody is the body of a request with transactions.
type commitBody struct{ If, Then []any }

func decodeCommitBody(t *testing.T, call event.Call) commitBody {
	t.Helper()
	var body commitBody
	if err := json.Unmarshal(call.Body, &body); err != nil {
		t.Fatalf("body of %s: %v", call.Path, err)
	}
	return body
}
