package controller

import (
	"slices"
	"testing"
	"time"
)

func TestPendingRelays(t *testing.T) {
	relays := newPendingRelays()
	begin := time.Minute
	const first, second, third, fourth = 1, 2, 3, 4
	relays.add(first, pendingRelay{machine: "m-11", conn: 11, relayedAt: begin})
	relays.add(second, pendingRelay{machine: "m-12", conn: 12, relayedAt: begin + time.Second})
	relays.add(third, pendingRelay{machine: "m-13", conn: 13, relayedAt: begin + time.Second})
	if relay, ok := relays.remove(second); !ok || relay.conn != 12 || relay.machine != "m-12" {
		t.Errorf("remove(%d) = %+v, %v; want connection 12 of machine m-12, true", second, relay, ok)
	}
	if _, ok := relays.remove(second); ok {
		t.Error("second remove of an answered relay: ok = true, want false")
	}
	if expired := relays.drainExpired(begin + relayTimeout); len(expired) != 0 {
		t.Errorf("drainExpired = %+v at the timeout, want none", expired)
	}
	relays.add(fourth, pendingRelay{machine: "m-14", conn: 14, relayedAt: begin + relayTimeout})
	want := []pendingRelay{{machine: "m-11", conn: 11, relayedAt: begin}, {machine: "m-13", conn: 13, relayedAt: begin + time.Second}}
	if expired := relays.drainExpired(begin + time.Second + relayTimeout + 1); !slices.Equal(expired, want) {
		t.Errorf("drainExpired = %+v, want %+v", expired, want)
	}
	if _, ok := relays.remove(first); ok {
		t.Error("remove of an expired relay: ok = true, want false")
	}
}
