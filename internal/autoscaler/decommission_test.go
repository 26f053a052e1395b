package autoscaler

import (
	"net/http"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
)

// A machine whose decommission is persisted must be released, and removed only when the
// cloud confirms the release. A failed request must be repeated.
func TestRelease(t *testing.T) {
	const machine = "i-1"
	for _, test := range []struct {
		name     string
		status   int
		released bool
	}{
		{name: "released", status: http.StatusOK, released: true},
		{name: "error", status: http.StatusInternalServerError},
		{name: "no response", status: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			const now = time.Minute
			f := newFixture(t, Config{})
			f.HandleChange(DecommissionKeyPrefix, machine, []byte("1"))
			var out event.Effects
			f.decommissions.releaseIfDue(now, kv.Compare{}, &out)
			if len(out.Calls) != 1 || out.Calls[0].Path != "/rentals/return" || string(out.Calls[0].Body) != `{"hosts":["i-1"]}` {
				t.Fatalf("calls = %+v, want one release request for machine %q", out.Calls, machine)
			}
			if !f.workers.Lookup(machine).Decommissioning() {
				t.Errorf("machine %q is not decommissioning after its release was requested", machine)
			}
			f.HandleCallResult(now, event.CallResult{ID: out.Calls[0].ID, Status: test.status})
			if f.Released(machine) != test.released || (f.workers.Lookup(machine) == nil) != test.released {
				t.Errorf("released = %t, in registry = %t, want %t, %t", f.Released(machine), f.workers.Lookup(machine) != nil, test.released, !test.released)
			}
			out.Reset()
			f.decommissions.releaseIfDue(now+errorPause, kv.Compare{}, &out)
			if repeated := len(out.Calls) == 1; repeated == test.released {
				t.Errorf("release request repeated = %t, want %t", repeated, !test.released)
			}
		})
	}
}
