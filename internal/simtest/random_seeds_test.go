package simtest

import (
	"fmt"
	"testing"
)

// Numbers of the kinds of random faults, before and after those of relays and frames were added.
const (
	faultKindsBeforeRelays = 28
	faultKindsWithRelays   = 31
)

// TestSeedsThatBroke repeats random runs that violated an invariant in long trials, each with
// the kinds of faults that existed then.
func TestSeedsThatBroke(t *testing.T) {
	for _, broke := range []struct {
		seed       uint64
		faultKinds int
	}{
		{27732, faultKindsBeforeRelays}, // all machines terminated: every leader resigned before it had established that the machines are unresponsive
		{25980, faultKindsBeforeRelays}, // a term began before the watch cache contained all earlier writes
		{526, faultKindsWithRelays},     // responses to relays of an earlier process reached other workers
		{2388, faultKindsWithRelays},    // the same
	} {
		t.Run(fmt.Sprint(broke.seed), func(t *testing.T) {
			runRandomJobsWith(t, broke.seed, randomJobsOptions{faultKinds: broke.faultKinds})
		})
	}
}
