package simtest

import "time"

// schedule lets an action run after a delay in virtual time.
func (world *World) schedule(delay time.Duration, action func()) {
	world.events.Push(world.now+delay, action)
}

// Run plays for a duration of virtual time.
func (world *World) Run(duration time.Duration) {
	end := world.now + duration
	for {
		at, action, ok := world.events.PopUntil(end)
		if !ok {
			break
		}
		world.now = at
		action()
	}
	world.now = end
}

// randomDuration draws a duration from least up to, not including, most.
func (world *World) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(world.random.Int64N(int64(most-least)))
}

// chance draws whether something with this probability happens; it draws nothing where the
// probability is zero.
func (world *World) chance(probability float64) bool {
	return probability > 0 && world.random.Float64() < probability
}

// seconds converts a number of seconds as settings have it.
func seconds(amount float64) time.Duration { return time.Duration(amount * float64(time.Second)) }
