package controller

import (
	"slices"
	"testing"
	"time"
)

func TestPendingRelays(t *testing.T) {
	relays := newPendingRelays()
	begin := time.Minute
	first := relays.add(11, begin)
	second := relays.add(12, begin+time.Second)
	third := relays.add(13, begin+time.Second)
	if first != 1 || second != 2 || third != 3 {
		t.Errorf("numbers %d, %d and %d; want 1, 2 and 3", first, second, third)
	}
	if relay, ok := relays.take(second); !ok || relay.conn != 12 {
		t.Errorf("took %+v, %v; want connection 12", relay, ok)
	}
	if _, ok := relays.take(second); ok {
		t.Error("a relay is answered twice")
	}
	if expired := relays.takeExpired(begin + relayTimeout); len(expired) != 0 {
		t.Errorf("expired in time: %+v", expired)
	}
	relays.add(14, begin+relayTimeout)
	want := []pendingRelay{{conn: 11, since: begin}, {conn: 13, since: begin + time.Second}}
	if expired := relays.takeExpired(begin + time.Second + relayTimeout + 1); !slices.Equal(expired, want) {
		t.Errorf("expired %+v, want %+v", expired, want)
	}
	if _, ok := relays.take(first); ok {
		t.Error("an expired relay is answered")
	}
}
