package autoscaler

import (
	"net/http"
	"testing"
	"time"

	"lugward/internal/event"
)

// Requests that were not sent add up to a burst, and no further.
func TestCloudClientBurst(t *testing.T) {
	const rps, burst = 10, 20
	client := &cloudClient{rps: rps}
	client.reset()
	sent := 0
	var out event.Effects
	for client.ready(time.Hour) && sent < 2*burst {
		client.get("/", func(event.Time, response) {}, &out)
		sent++
	}
	if sent != burst {
		t.Errorf("%d requests sent at once, not %d", sent, burst)
	}
}

// The client pauses where the cloud refuses a request for its rate or is out, but not
// where it only has no machines.
func TestCloudClientPause(t *testing.T) {
	for _, test := range []struct {
		name   string
		method string
		status int
		paused bool
	}{
		{name: "success", method: http.MethodGet, status: http.StatusOK},
		{name: "rate exceeded", method: http.MethodPost, status: http.StatusTooManyRequests, paused: true},
		{name: "unavailable", method: http.MethodGet, status: http.StatusServiceUnavailable, paused: true},
		{name: "no machines", method: http.MethodPost, status: http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			const now = time.Minute
			client := &cloudClient{rps: 10}
			client.reset()
			client.ready(now)
			var out event.Effects
			handled := 0
			client.send(test.method, "/", nil, func(_ event.Time, response response) {
				if response.status != test.status {
					t.Errorf("handled with status %d", response.status)
				}
				handled++
			}, &out)
			result := event.CallResult{ID: out.Calls[0].ID, Status: test.status}
			if !client.handleResult(now, result) || client.handleResult(now, result) || handled != 1 {
				t.Errorf("handled %d times", handled)
			}
			if client.ready(now) == test.paused {
				t.Errorf("paused: %v, not %v", !test.paused, test.paused)
			}
			if !client.ready(now + errorPause) {
				t.Error("the pause does not end")
			}
		})
	}
}
