package kv

import (
	"testing"
	"time"

	"lugward/internal/event"
)

// TestRescanAfterResponseTooLarge: a controller that was away for so long that the
// changes since then are more than it takes at once reads all keys page by page;
// asking for the same changes again would never end.
func TestRescanAfterResponseTooLarge(t *testing.T) {
	h := newHarness(t, ampleConfig, `{"key":"j/req-1","data":{"n":1},"stamp":3}`)
	h.respond(h.takeFirstCall(watchPath), event.ResponseTooLarge, "")
	if h.Synced() {
		t.Fatal("the cache counts as complete")
	}
	h.advance(time.Second)
	pages := h.takeCalls(keysPath)
	if len(pages) != 1 {
		t.Fatalf("%d pages asked for", len(pages))
	}
	h.respond(pages[0], 200, `{"items":[{"key":"j/req-2","data":{"n":2},"stamp":90}],"has_next":false,"epoch":95}`)
	if !h.Synced() || h.Revision() != 95 || h.values["j/req-1"] != "" || h.values["j/req-2"] != `{"n":2}` {
		t.Errorf("synced %v at %d: %v", h.Synced(), h.Revision(), h.values)
	}
}

// TestScanPages: the second page is asked for after the last key of the first; a
// page that cannot be used ends the scan, which begins again after a pause.
func TestScanPages(t *testing.T) {
	h := newHarness(t, ampleConfig)
	h.respond(h.takeFirstCall(watchPath), 410, `{}`)
	h.advance(time.Second)
	h.respond(h.takeFirstCall(keysPath), 200, `{"items":[{"key":"a","data":1,"stamp":6}],"has_next":true,"epoch":7}`)
	if got, want := h.takeFirstCall(keysPath).Path, "/keys?starts=&limit=500&from=a"; got != want {
		t.Errorf("second page: %s, want %s", got, want)
	}

	for _, test := range []struct {
		name   string
		status int
		body   string
	}{
		{"unavailable", 503, `{}`},
		{"body cut off", 200, `{"items":`},
		{"no keys, but a next page", 200, `{"items":[],"has_next":true,"epoch":7}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ampleConfig)
			h.respond(h.takeFirstCall(watchPath), 410, `{}`)
			h.advance(time.Second)
			h.respond(h.takeFirstCall(keysPath), test.status, test.body)
			if h.Synced() {
				t.Error("the cache counts as complete")
			}
			h.advance(0)
			if early := h.takeCalls(keysPath); len(early) != 0 {
				t.Errorf("%d pages asked for without a pause", len(early))
			}
			h.advance(scanPause)
			if path := h.takeFirstCall(keysPath).Path; path != "/keys?starts=&limit=500" {
				t.Errorf("the scan begins with %s", path)
			}
		})
	}
}
