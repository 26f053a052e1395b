package autoscaler

import (
	"net/http"
	"testing"
	"time"

	"lugward/internal/event"
)

// After a long time without requests the client must not send more than one burst.
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
		t.Errorf("sent %d requests at once, want %d", sent, burst)
	}
}

// The client must pause when the cloud rejects a request because of its rate limit or is
// unavailable, but not when the cloud only has no capacity for a provisioning request.
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
		{name: "no capacity", method: http.MethodPost, status: http.StatusServiceUnavailable},
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
					t.Errorf("handler got status %d, want %d", response.status, test.status)
				}
				handled++
			}, &out)
			result := event.CallResult{ID: out.Calls[0].ID, Status: test.status}
			if !client.handleResult(now, result) || client.handleResult(now, result) || handled != 1 {
				t.Errorf("handler called %d times, want 1; only the first result of a call must be handled", handled)
			}
			if client.ready(now) == test.paused {
				t.Errorf("paused = %t, want %t", !test.paused, test.paused)
			}
			if !client.ready(now + errorPause) {
				t.Errorf("client not ready %s after the response", errorPause)
			}
		})
	}
}
