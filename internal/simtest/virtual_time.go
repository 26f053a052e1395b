package simtest

import (
	"math/rand/v2"
	"time"

	"lugward/internal/simtest/eventqueue"
)

// virtualTime plays events in their order. All random draws are made as they are played, so
// that the same seed gives the same run.
type virtualTime struct {
	now    time.Duration // since the world began
	events eventqueue.Queue
	random *rand.Rand
}

// schedule lets an action run after a delay in virtual time.
func (virtual *virtualTime) schedule(delay time.Duration, action func()) {
	virtual.events.Push(virtual.now+delay, action)
}

// Run plays for a duration of virtual time.
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

// randomDuration draws a duration from least up to, not including, most.
func (virtual *virtualTime) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(virtual.random.Int64N(int64(most-least)))
}

// chance draws whether something with this probability happens; it draws nothing where the
// probability is zero.
func (virtual *virtualTime) chance(probability float64) bool {
	return probability > 0 && virtual.random.Float64() < probability
}

// seconds converts a number of seconds as settings have it.
func seconds(amount float64) time.Duration { return time.Duration(amount * float64(time.Second)) }
