package controller

import (
	"testing"
	"time"

	"lugward/internal/event"
)

// fakeExpiry is a taskExpiry whose tasks expire a fixed time after the last response.
type fakeExpiry time.Duration

func (e fakeExpiry) TasksExpireAt(lastResponse event.Time) event.Time {
	return lastResponse + time.Duration(e)
}

func TestHeartbeatDeadline(t *testing.T) {
	const lease = fakeExpiry(time.Minute)
	const begin = time.Hour
	received := begin + time.Second
	tests := []struct {
		name   string
		before leadership
		change func(l *leadership)
		want   event.Time
	}{
		{"no heartbeat in the term", leadership{}, func(*leadership) {}, begin + noWorkerHeartbeatTimeout},
		{"heartbeat received", leadership{}, func(l *leadership) { l.recordWorkerHeartbeat(received) }, received + noWorkerHeartbeatTimeout},
		{"resigned without heartbeats, no heartbeat since", leadership{resignedWithoutHeartbeats: true}, func(*leadership) {},
			begin + time.Minute + noWorkerHeartbeatTimeout},
		{"resigned without heartbeats, then heartbeat received", leadership{resignedWithoutHeartbeats: true},
			func(l *leadership) { l.recordWorkerHeartbeat(received) }, received + noWorkerHeartbeatTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := test.before
			l.begin(begin)
			test.change(&l)
			if got := l.heartbeatDeadline(lease); got != test.want {
				t.Errorf("heartbeatDeadline = %v, want %v", got, test.want)
			}
		})
	}
}

func TestPeriodicWork(t *testing.T) {
	work := periodic{interval: time.Second}
	steps := []struct {
		now  event.Time
		want bool
	}{
		{time.Second - 1, false},
		{time.Second, true},
		{time.Second, false},
		{5 * time.Second, true}, // overdue
		{6*time.Second - 1, false},
		{6 * time.Second, true},
	}
	for _, step := range steps {
		if got := work.startIfDue(step.now); got != step.want {
			t.Errorf("startIfDue(%v) = %v, want %v", step.now, got, step.want)
		}
	}
}
