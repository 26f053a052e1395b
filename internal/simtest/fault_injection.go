package simtest

import "time"

// activeFaults are the faults of the network and of users that last for a while,
// most as the share of requests that they concern.
type activeFaults struct {
	lateWrites        float64       // transactions that get no answer and are carried out late
	delayedHeartbeats float64       // reports that arrive seconds late, maybe elsewhere
	delayedCommands   float64       // direct commands that arrive, or whose answers arrive, seconds late
	slowStateService  time.Duration // within which the state service answers
	cancelAtEnd       float64       // jobs that end that are cancelled at that moment
	invalidRequests   bool          // users send invalid requests
	invalidIDs        int
	workerSockets     int           // workers that a controller has sockets for, 0: for all
	refusedWhenCut    float64       // requests to controllers over cut links that fail at once
	faultsEndAt       time.Duration // when the last fault ends
}

const (
	minDelay = 2 * time.Second
	maxDelay = 12 * time.Second
)

func (world *World) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(world.random.Int64N(int64(most-least)))
}

func (world *World) chance(share float64) bool { return share > 0 && world.random.Float64() < share }
