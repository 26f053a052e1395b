package election

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/store"
)

// A node that replaces its own term of before a restart reads all keys page by
// page and may be behind what that term wrote last. It acts on nothing, and
// answers nobody, until its replica shows all that came before the new term.
func TestActsOnceCaughtUp(t *testing.T) {
	var out event.Effects
	var l *Election
	s := store.New("state", store.Limits{TxnOps: 12, RPS: 100, WriteRPS: 60, StaleAfter: time.Hour},
		func(key string, data []byte, version uint64) { l.Listen(key, data, version) })
	l = New(Config{Label: "n0", TermLease: 4 * time.Second, WorkerLease: 10 * time.Second, Grace: 10 * time.Second}, s, slog.New(slog.NewTextHandler(io.Discard, nil)))
	answer := func(now event.Time, path, body string) {
		t.Helper()
		for i, c := range out.Calls {
			if strings.HasPrefix(c.Path, path) {
				out.Calls = append(out.Calls[:i:i], out.Calls[i+1:]...)
				s.CallDone(now, event.CallDone{ID: c.ID, Status: 200, Body: []byte(body)}, &out)
				return
			}
		}
		t.Fatalf("no call of %s", path)
	}
	tick := func(now event.Time) {
		s.Tick(now, &out)
		l.Tick(now, &out)
		s.Tick(now, &out)
	}
	tick(0)
	term := `{"key":"t/lead","data":{"l":"n0","f":1},"stamp":4}`
	answer(10*time.Millisecond, "/keys", fmt.Sprintf(`{"items":[%s,{"key":"t/count","data":{"l":"n0","f":1},"stamp":4}],"epoch":5}`, term))
	now := event.Time(time.Second)
	tick(now)
	answer(now, "/leases", `{"tether":7}`)
	tick(now)
	// A placement of the process before was carried out late, at 6.
	answer(now, "/commit", `{"epoch":7}`)
	if !l.Holds() {
		t.Fatal("the term was not taken")
	}
	if l.MayStart(now) || l.MayAnswer(now) || l.Acquired() {
		t.Error("acts on a replica that lacks what was written before its term")
	}
	tick(now)
	if !l.Holds() {
		t.Error("the term is given up while the replica catches up")
	}
	answer(now+time.Millisecond, "/follow", `{"epoch":7,"log":[{"write":"r/req-1/0","data":{},"stamp":6},`+
		`{"write":"t/lead","data":{"l":"n0","f":2},"stamp":7},{"write":"t/count","data":{"l":"n0","f":2},"stamp":7}]}`)
	now += time.Millisecond
	if !l.MayStart(now) || !l.MayAnswer(now) || !l.Acquired() || l.Acquired() {
		t.Error("does not act, or begins other than once, though the replica is complete")
	}
}
