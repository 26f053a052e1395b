package election

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
)

// fixture is an election on a client of the state service, whose calls the
// test answers.
type fixture struct {
	t        *testing.T
	store    *kv.Client
	election *Election
	out      event.Effects
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t}
	limits := kv.Limits{TxnOps: 12, Rates: kv.Rates{Requests: 100, Writes: 60}, StaleAfter: time.Hour}
	onChange := func(key string, data []byte, modRevision uint64) { f.election.HandleChange(key, data, modRevision) }
	f.store = kv.New(kv.Config{Addr: "state", Limits: limits, OnChange: onChange})
	f.election = New(Config{
		Label:       "n0",
		TermLease:   4 * time.Second,
		WorkerLease: 10 * time.Second,
		Grace:       10 * time.Second,
		Store:       f.store,
		Logger:      slog.New(slog.DiscardHandler),
	})
	return f
}

// answer answers the oldest call whose path begins with the given text.
func (f *fixture) answer(now event.Time, path, body string) {
	f.t.Helper()
	for i, call := range f.out.Calls {
		if strings.HasPrefix(call.Path, path) {
			f.out.Calls = append(f.out.Calls[:i:i], f.out.Calls[i+1:]...)
			done := event.CallResult{ID: call.ID, Status: httpwire.StatusOK, Body: []byte(body)}
			f.store.HandleCallResult(now, done, &f.out)
			return
		}
	}
	f.t.Fatalf("no call of %s", path)
}

func (f *fixture) tick(now event.Time) {
	f.store.Tick(now, &f.out)
	f.election.Tick(now, &f.out)
	f.store.Tick(now, &f.out)
}

// TestActsOnceCaughtUp: a node that replaces its own term from before a restart
// reads all keys page by page and may lack what that term wrote last. It starts
// nothing, and answers nobody, until its replica shows all that came before the
// new term.
func TestActsOnceCaughtUp(t *testing.T) {
	f := newFixture(t)
	f.tick(0)
	f.answer(10*time.Millisecond, "/keys", fmt.Sprintf(`{"items":[%s,%s],"epoch":5}`,
		`{"key":"t/lead","data":{"l":"n0","f":1},"stamp":4}`,
		`{"key":"t/count","data":{"l":"n0","f":1},"stamp":4}`))
	now := event.Time(time.Second)
	f.tick(now)
	f.answer(now, "/leases", `{"tether":7}`)
	f.tick(now)
	// A placement of the process before was carried out late, at revision 6.
	f.answer(now, "/commit", `{"epoch":7}`)
	l := f.election
	if !l.HoldsTerm() {
		t.Fatal("the term was not taken")
	}
	if l.IsLeader(now) || l.MayRenewWorkerLeases(now) || l.TakeTermStart() {
		t.Error("acts on a replica that lacks what was written before its term")
	}
	f.tick(now)
	if !l.HoldsTerm() {
		t.Error("stepped down while the replica catches up")
	}
	now += time.Millisecond
	f.answer(now, "/follow", `{"epoch":7,"log":[{"write":"r/req-1/0","data":{},"stamp":6},`+
		`{"write":"t/lead","data":{"l":"n0","f":2},"stamp":7},{"write":"t/count","data":{"l":"n0","f":2},"stamp":7}]}`)
	if !l.IsLeader(now) || !l.MayRenewWorkerLeases(now) {
		t.Error("does not act, though the replica is complete")
	}
	if !l.TakeTermStart() {
		t.Error("the term does not begin, though the replica is complete")
	}
	if l.TakeTermStart() {
		t.Error("the term begins twice")
	}
}
