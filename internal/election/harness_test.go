package election

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
)

// harness runs an election on a client of the state service. The test responds to the
// client's calls.
type harness struct {
	*Election
	t   *testing.T
	out event.Effects
	log strings.Builder
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t}
	store := kv.New(kv.Config{
		Addr:       "state",
		Limits:     kv.Limits{TxnOps: 12, Rates: kv.Rates{Requests: 100, Writes: 60}},
		StaleAfter: time.Hour,
		OnChange: func(key string, data []byte, modRevision uint64) {
			h.HandleChange(key, data, modRevision)
		},
	})
	h.Election = New(Config{
		Label:       "n0",
		TermLease:   4 * time.Second,
		WorkerLease: 10 * time.Second,
		Grace:       10 * time.Second,
		Store:       store,
		Logger:      slog.New(slog.NewTextHandler(&h.log, nil)),
	})
	return h
}

// respond responds to the oldest call whose path begins with the given prefix with
// status 200.
func (h *harness) respond(now event.Time, path, body string) {
	h.t.Helper()
	h.respondWith(now, path, httpwire.StatusOK, body)
}

// respondWith responds to the oldest call whose path begins with the given prefix.
func (h *harness) respondWith(now event.Time, path string, status int, body string) {
	h.t.Helper()
	for i, call := range h.out.Calls {
		if strings.HasPrefix(call.Path, path) {
			h.out.Calls = append(h.out.Calls[:i:i], h.out.Calls[i+1:]...)
			result := event.CallResult{ID: call.ID, Status: status, Body: []byte(body)}
			h.store.HandleCallResult(now, result, &h.out)
			return
		}
	}
	h.t.Fatalf("no call in flight with path prefix %s", path)
}

// tick runs the election between two ticks of the client, so that the client sends the
// requests of the election.
func (h *harness) tick(now event.Time) {
	h.store.Tick(now, &h.out)
	h.Tick(now, &h.out)
	h.store.Tick(now, &h.out)
}

// newLeader returns an election that has become leader at the given time, with
// the term key at revision 7.
func newLeader(t *testing.T, now event.Time) *harness {
	t.Helper()
	h := newHarness(t)
	h.tick(now)
	h.respond(now, "/keys", `{"items":[],"epoch":5}`)
	h.tick(now)
	h.respond(now, "/leases", `{"tether":7}`)
	h.tick(now)
	h.respond(now, "/commit", `{"epoch":7}`)
	h.respond(now, "/follow", `{"epoch":7,"log":[{"write":"t/lead","data":{"l":"n0","f":1},"stamp":7},`+
		`{"write":"t/count","data":{"l":"n0","f":1},"stamp":7}]}`)
	if !h.ConsumeTermStart() || !h.IsLeader(now) {
		t.Fatal("the controller did not become leader")
	}
	return h
}
