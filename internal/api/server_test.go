package api

import (
	"testing"

	"lugward/internal/event"
)

// TestRouting checks the status for each combination of method and path.
func TestRouting(t *testing.T) {
	for _, c := range []struct {
		name, method, path, body string
		status                   int
	}{
		{"submission", "POST", "/submissions", body(1, ""), 201},
		{"submission with a query", "POST", "/submissions?a=b", body(1, ""), 201},
		{"malformed submission", "POST", "/submissions", "{}", 400},
		{"list of jobs", "GET", "/submissions", "", 405},
		{"no ID", "GET", "/submissions/", "", 404},
		{"no ID to cancel", "POST", "/submissions//cancel", "", 404},
		{"unknown job", "GET", "/submissions/req-9", "", 404},
		{"unknown job with a query", "GET", "/submissions/req-9?a=b", "", 404},
		{"slash after the ID", "GET", "/submissions/req-9/", "", 405},
		{"wrong method for a job", "DELETE", "/submissions/req-9", "", 405},
		{"cancellation of an unknown job", "POST", "/submissions/req-9/cancel", "", 404},
		{"wrong method for a cancellation", "GET", "/submissions/req-9/cancel", "", 405},
		{"unknown action", "POST", "/submissions/req-9/start", "", 404},
		{"path with /submissions as a prefix", "GET", "/submissionsx", "", 405},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newController(t, newFakeStore(t), "n0")
			n.expect(c.path, n.send(c.method, c.path, c.body), c.status, "")
		})
	}
	n := newController(t, newFakeStore(t), "n0")
	if n.server.Handle(n.now, event.Request{Conn: 1, Method: "GET", Path: "/other"}, &n.out) || len(n.out.Replies) != 0 {
		t.Error("Handle accepted or replied to a request for /other, want neither")
	}
}
