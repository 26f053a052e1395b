package kv

import (
	"errors"
	"testing"
	"time"

	"lugward/internal/event"
)

// TestBarrierErrors checks which error the callers of a barrier get for each response.
func TestBarrierErrors(t *testing.T) {
	isStatus := func(status int) func(error) bool {
		return func(err error) bool {
			var statusErr *StatusError
			return errors.As(err, &statusErr) && statusErr.Status == status
		}
	}
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   func(error) bool
	}{
		{"answered", 200, `{"epoch":5,"log":[]}`, func(err error) bool { return err == nil }},
		{"no response", event.NoResponse, ``, isStatus(event.NoResponse)},
		{"unavailable", 503, `{}`, isStatus(503)},
		{"compacted", 410, `{}`, func(err error) bool { return errors.Is(err, ErrCompacted) }},
		{"too many changes", event.ResponseTooLarge, ``, func(err error) bool { return errors.Is(err, ErrCompacted) }},
		{"body cut off", 200, `{"epoch":`, func(err error) bool {
			var decodeErr *DecodeError
			return errors.As(err, &decodeErr)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ampleConfig)
			h.drainCalls("")
			var results []error
			h.Barrier(func(_ event.Time, err error, _ *event.Effects) { results = append(results, err) })
			h.advance(time.Second)
			h.respond(h.drainFirstCall(watchPath), test.status, test.body)
			if len(results) != 1 || !test.want(results[0]) {
				t.Errorf("got barrier results %v, want one that matches the case", results)
			}
		})
	}
}

// TestBarrierWithoutCache checks that a barrier fails at once while the cache is not
// complete.
func TestBarrierWithoutCache(t *testing.T) {
	h := newHarness(t, ampleConfig)
	h.respond(h.drainFirstCall(watchPath), 410, `{}`)
	var results []error
	h.Barrier(func(_ event.Time, err error, _ *event.Effects) { results = append(results, err) })
	h.advance(0)
	if len(results) != 1 || !errors.Is(results[0], ErrNotSynced) {
		t.Errorf("got barrier results %v, want one %v", results, ErrNotSynced)
	}
}

// TestRefresh checks that a refresh is sent as a barrier unless the cache is newer than its
// maximum age, and only once.
func TestRefresh(t *testing.T) {
	h := newHarness(t, ampleConfig)
	h.drainCalls("")
	h.Barrier(func(event.Time, error, *event.Effects) {})
	h.advance(time.Second)
	h.respond(h.drainFirstCall(watchPath), 200, `{"epoch":5,"log":[]}`)
	refreshes := func(after, maxAge time.Duration) int {
		h.advance(after)
		h.Refresh(maxAge)
		h.advance(0)
		calls := h.drainCalls(watchPath)
		for _, call := range calls {
			h.respond(call, 200, `{"epoch":5,"log":[]}`)
		}
		return len(calls)
	}
	for _, test := range []struct {
		name          string
		after, maxAge time.Duration
		want          int
	}{
		{"newer than the maximum age", 900 * time.Millisecond, time.Second, 0},
		{"as old as the maximum age", 100 * time.Millisecond, time.Second, 1},
		{"just refreshed", 200 * time.Millisecond, time.Second, 0},
		{"older", 5 * time.Second, time.Second, 1},
	} {
		if got := refreshes(test.after, test.maxAge); got != test.want {
			t.Errorf("%s: %d requests were sent, want %d", test.name, got, test.want)
		}
	}
}
