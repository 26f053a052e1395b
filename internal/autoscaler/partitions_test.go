package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"lugward/internal/worker/workertest"
)

// A zone is partitioned if more than half of its machines, and more than one, are
// unresponsive.
func TestPartitionedZone(t *testing.T) {
	for _, test := range []struct {
		name         string
		machines     int
		unresponsive int
		want         bool
	}{
		{name: "all responsive", machines: 3, unresponsive: 0},
		{name: "only machine unresponsive", machines: 1, unresponsive: 1},
		{name: "half unresponsive", machines: 4, unresponsive: 2},
		{name: "most unresponsive", machines: 3, unresponsive: 2, want: true},
		{name: "all unresponsive", machines: 2, unresponsive: 2, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, Config{HeartbeatTimeout: testHeartbeatTimeout})
			const now = time.Hour
			for i := range test.machines {
				at := now
				if i < test.unresponsive {
					at = now - testHeartbeatTimeout - 1
				}
				if err := f.workers.HandleHeartbeat(workertest.Heartbeat(fmt.Sprintf("i-%d", i), at), at, workertest.Leader{}); err != nil {
					t.Fatal(err)
				}
			}
			f.partitions.update(f.partitions.runningByZone(), now)
			zone, ok := f.names.Zones.Lookup("a")
			if !ok {
				t.Fatal("zone \"a\" of the machines is unknown")
			}
			if got := f.partitions.isPartitioned(zone); got != test.want {
				t.Errorf("isPartitioned = %t, want %t", got, test.want)
			}
		})
	}
}
