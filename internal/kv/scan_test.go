package kv

import (
	"testing"
	"time"

	"lugward/internal/event"
)

// TestRescanAfterResponseTooLarge checks that the client scans all keys if the changes
// since its revision exceed the size limit of a response, as after a long pause of a
// controller. Repeating the request for the same changes would fail forever.
func TestRescanAfterResponseTooLarge(t *testing.T) {
	h := newHarness(t, ampleConfig, `{"key":"j/req-1","data":{"n":1},"stamp":3}`)
	h.respond(h.drainFirstCall(watchPath), event.ResponseTooLarge, "")
	if h.Synced() {
		t.Fatal("Synced = true after a response that is too large, want false")
	}
	h.advance(time.Second)
	pages := h.drainCalls(keysPath)
	if len(pages) != 1 {
		t.Fatalf("got %d page requests, want 1", len(pages))
	}
	h.respond(pages[0], 200, `{"items":[{"key":"j/req-2","data":{"n":2},"stamp":90}],"has_next":false,"epoch":95}`)
	if !h.Synced() || h.Revision() != 95 || h.values["j/req-1"] != "" || h.values["j/req-2"] != `{"n":2}` {
		t.Errorf("got synced %v at revision %d with values %v, want only j/req-2 at revision 95", h.Synced(), h.Revision(), h.values)
	}
}

// TestScanPages checks that the second page is requested after the last key of the
// first, and that an unusable page ends the scan, which restarts after a delay.
func TestScanPages(t *testing.T) {
	h := newHarness(t, ampleConfig)
	h.respond(h.drainFirstCall(watchPath), 410, `{}`)
	h.advance(time.Second)
	h.respond(h.drainFirstCall(keysPath), 200, `{"items":[{"key":"a","data":1,"stamp":6}],"has_next":true,"epoch":7}`)
	if got, want := h.drainFirstCall(keysPath).Path, "/keys?starts=&limit=500&from=a"; got != want {
		t.Errorf("path of second page = %s, want %s", got, want)
	}

	for _, test := range []struct {
		name   string
		status int
		body   string
	}{
		{"unavailable", 503, `{}`},
		{"body cut off", 200, `{"items":`},
		{"no keys but a next page", 200, `{"items":[],"has_next":true,"epoch":7}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ampleConfig)
			h.respond(h.drainFirstCall(watchPath), 410, `{}`)
			h.advance(time.Second)
			h.respond(h.drainFirstCall(keysPath), test.status, test.body)
			if h.Synced() {
				t.Error("Synced = true after a failed scan, want false")
			}
			h.advance(0)
			if early := h.drainCalls(keysPath); len(early) != 0 {
				t.Errorf("got %d page requests before scanRetryDelay, want 0", len(early))
			}
			h.advance(scanRetryDelay)
			if path := h.drainFirstCall(keysPath).Path; path != "/keys?starts=&limit=500" {
				t.Errorf("path of first page after scanRetryDelay = %s, want /keys?starts=&limit=500", path)
			}
		})
	}
}
