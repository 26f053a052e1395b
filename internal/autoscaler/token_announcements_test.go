package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
	"lugward/internal/worker/workertest"
)

// Four thousand machines that answer an isolated leader hear of the next one within
// seconds, and at most a small part of all sockets is used for it at a time: those
// that answer free theirs at once. Twenty every half second took 100 s.
func TestTokenAnnouncements(t *testing.T) {
	const machines, sockets, limit = 4000, 1600, 50
	f := newFixture(t, Config{MaxConnections: sockets, HeartbeatTimeout: time.Hour, IdleTimeout: time.Hour, SettleTime: time.Hour})
	now := time.Second
	for i := range machines {
		heartbeat := workertest.Heartbeat(fmt.Sprintf("i-%d", i), now)
		heartbeat.Addr = fmt.Sprintf("10.1.0.1:%d", i)
		heartbeat.Zone = fmt.Sprintf("zone-%d", i%3)
		heartbeat.FencingToken = workertest.FencingToken - 1
		if err := f.workers.HandleHeartbeat(heartbeat, now, workertest.Leader{}); err != nil {
			t.Fatal(err)
		}
	}
	now += 3 * time.Second
	told := map[string]int{}
	for range 100 {
		var out event.Effects
		f.Tick(now, workertest.Leader{}, kv.Compare{}, &out)
		if f.workers.AnnouncementsInFlight() > limit {
			t.Fatalf("%d announcements at a time", f.workers.AnnouncementsInFlight())
		}
		for _, call := range out.Calls {
			if call.Path == "/do" {
				told[call.Addr]++
				f.workers.HandleCallResult(event.CallResult{ID: call.ID, Status: httpwire.StatusOK, Body: []byte("{}")}, workertest.Leader{}, &out)
			}
		}
		now += 50 * time.Millisecond
	}
	if len(told) != machines || f.workers.AnnouncementsInFlight() != 0 {
		t.Errorf("%d of %d machines told within 5 s, %d announcements in flight", len(told), machines, f.workers.AnnouncementsInFlight())
	}
}
