package kv

import (
	"errors"
	"testing"
	"time"

	"lugward/internal/event"
)

func TestGrantLease(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   uint64 // 0 if an error is wanted
	}{
		{"granted", 200, `{"tether":7}`, 7},
		{"no ID in the response", 200, `{}`, 0},
		{"body cut off", 200, `{"tether":`, 0},
		{"unavailable", 503, `{}`, 0},
		{"no response", event.NoResponse, ``, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ampleConfig)
			done := 0
			h.GrantLease(h.now, 4*time.Second, &h.out, func(_ event.Time, leaseID uint64, err error, _ *event.Effects) {
				done++
				if leaseID != test.want || (err == nil) != (test.want != 0) {
					t.Errorf("GrantLease: got lease %d and error %v, want lease %d", leaseID, err, test.want)
				}
			})
			call := h.drainFirstCall(leasesPath)
			if got, want := string(call.Body), `{"life_ms":4000}`; got != want {
				t.Errorf("GrantLease: request body = %s, want %s", got, want)
			}
			h.respond(call, test.status, test.body)
			if done != 1 {
				t.Errorf("callback was called %d times, want 1", done)
			}
		})
	}
}

func TestRenewLease(t *testing.T) {
	for _, test := range []struct {
		name         string
		status       int
		wantErr      bool
		wantNotFound bool
	}{
		{"renewed", 200, false, false},
		{"lease has expired", 404, true, true},
		{"unavailable", 503, true, false},
		{"no response", event.NoResponse, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ampleConfig)
			done := 0
			h.RenewLease(h.now, 7, time.Second, &h.out, func(_ event.Time, err error, _ *event.Effects) {
				done++
				if (err != nil) != test.wantErr || errors.Is(err, ErrLeaseNotFound) != test.wantNotFound {
					t.Errorf("RenewLease: got error %v, want error %v, want ErrLeaseNotFound %v", err, test.wantErr, test.wantNotFound)
				}
			})
			h.respond(h.drainFirstCall("/leases/7/extend"), test.status, `{}`)
			if done != 1 {
				t.Errorf("callback was called %d times, want 1", done)
			}
		})
	}
}
