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
