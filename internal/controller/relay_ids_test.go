package controller

import (
	"testing"
	"time"
)

// TestRelayIDsOfARestartedProcessAreNew guards against the leader's response to a relay of
// an earlier process being taken for the response to a relay of this one.
func TestRelayIDsOfARestartedProcessAreNew(t *testing.T) {
	const (
		skew   = 100 * time.Millisecond
		relays = 10_000
	)
	end := time.Unix(1_700_000_000, 0) // true time at which the first process ends
	for _, test := range []struct {
		name          string
		first, second time.Duration // difference of each process's time of day from true time
	}{
		{"clocks agree", 0, 0},
		{"clock steps back by twice the skew", skew, -skew},
		{"clock steps forward", -skew, skew},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := newRelayIDs(skew)
			var last uint64
			for range relays { // all just before the end
				last = before.next(end.Add(test.first).UnixNano())
			}
			after := newRelayIDs(skew)
			uptime := time.Duration(0) // the second process starts at once
			for !after.available(uptime) {
				uptime += time.Millisecond
			}
			if first := after.next(end.Add(test.second + uptime).UnixNano()); first <= last {
				t.Errorf("first ID after the restart is %d, want more than %d", first, last)
			}
		})
	}
}

func TestRelayIDsIncrease(t *testing.T) {
	ids := newRelayIDs(0)
	var last uint64
	for i, unixNano := range []int64{1000, 1000, 1000, 900, 2000, 1999} {
		id := ids.next(unixNano)
		if id <= last || id < uint64(unixNano) {
			t.Errorf("call %d: next(%d) = %d, want more than %d and not below the time", i, unixNano, id, last)
		}
		last = id
	}
}
