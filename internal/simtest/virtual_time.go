package simtest

import (
	"math/rand/v2"
	"time"

	"lugward/internal/simtest/eventqueue"
)

// virtualTime executes scheduled events in the order of their time. All random numbers are
// drawn while events are executed, so that the same seed gives the same run.
type virtualTime struct {
	now    time.Duration // since the world began
	events eventqueue.Queue
	random *rand.Rand
}

// schedule runs an action after a delay in virtual time.
func (virtual *virtualTime) schedule(delay time.Duration, action func()) {
	virtual.events.Push(virtual.now+delay, action)
}

// Run executes the events of the next duration of virtual time.
func (virtual *virtualTime) Run(duration time.Duration) {
	end := virtual.now + duration
	for {
		at, action, ok := virtual.events.PopUntil(end)
		if !ok {
			break
		}
		virtual.now = at
		action()
	}
	virtual.now = end
}

// randomDuration returns a random duration in the half-open interval [least, most).
func (virtual *virtualTime) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(virtual.random.Int64N(int64(most-least)))
}

// chance returns true with the given probability. It does not draw a random number if the
// probability is zero.
func (virtual *virtualTime) chance(probability float64) bool {
	return probability > 0 && virtual.random.Float64() < probability
}

// seconds converts a number of seconds, as used in settings, to a duration.
func seconds(amount float64) time.Duration { return time.Duration(amount * float64(time.Second)) }
