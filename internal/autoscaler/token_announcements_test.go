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

// A new leader announces its fencing token within 5 s to 4,000 machines that still send
// their heartbeats to an isolated leader. The announcements use only a small share of all
// sockets at a time, because machines that respond free their socket immediately. With 20
// announcements every 500 ms this took 100 s.
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
	announced := map[string]int{}
	for range 100 {
		var out event.Effects
		f.Tick(now, workertest.Leader{}, kv.Compare{}, &out)
		if f.workers.AnnouncementsInFlight() > limit {
			t.Fatalf("%d announcements in flight, want at most %d", f.workers.AnnouncementsInFlight(), limit)
		}
		for _, call := range out.Calls {
			if call.Path == "/do" {
				announced[call.Addr]++
				f.workers.HandleCallResult(event.CallResult{ID: call.ID, Status: httpwire.StatusOK, Body: []byte("{}")}, workertest.Leader{}, &out)
			}
		}
		now += 50 * time.Millisecond
	}
	if len(announced) != machines || f.workers.AnnouncementsInFlight() != 0 {
		t.Errorf("within 5 s token announced to %d machines, want %d, with %d announcements in flight, want 0",
			len(announced), machines, f.workers.AnnouncementsInFlight())
	}
}
