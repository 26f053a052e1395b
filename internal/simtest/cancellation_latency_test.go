package simtest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lugward/internal/config"
)

// TestCancellationLatency measures how long confirmations of cancellations and the starts of tasks
// take at the lowest rates of all sites, while one-task jobs come four times a second, a quarter of
// which are cancelled. Users wait 5 s for an answer. Run it with -v to see the values.
func TestCancellationLatency(t *testing.T) {
	t.Parallel()
	const (
		jobs     = 240
		interval = 250 * time.Millisecond
	)
	world := NewWith(Options{Controllers: 5, Seed: 1, Log: controllerLog(), Tune: func(platform *config.Platform) {
		platform.Settings.State.RPS, platform.Settings.State.WriteRPS = 60, 20
		platform.Settings.Workers.HeartbeatS, platform.Settings.Workers.LeaseS, platform.Settings.Workers.CancelS = 5, 32, 62
	}})
	world.watchInvariants()
	for range 10 {
		world.cloud.addMachine("big", "a", false, 0)
	}
	world.Run(15 * time.Second)
	var confirmations []time.Duration
	for i := range jobs {
		id := jobID(1 + i)
		world.users.submitRecorded(Arguments{"id": id, "tasks": "1", "run": "10s", "image": "100ms"})
		if i%4 == 0 {
			world.schedule(world.randomDuration(time.Second, 3*time.Second), func() {
				begin := world.now
				world.checker.cancelRequests[id] = true
				world.users.retryRequest(cancelRequest(id), func(sentAt time.Duration, status int, phase string) bool {
					world.checker.checkAnswer(sentAt, id, status, phase)
					if status == 200 && phase == jobCancelled {
						confirmations = append(confirmations, world.now-begin)
					}
					return isDecided(status)
				})
			})
		}
		world.Run(interval)
	}
	world.Run(time.Minute)
	var starts []time.Duration
	for i := range jobs {
		if job := world.jobs[jobID(1+i)]; job.startedAt > 0 {
			starts = append(starts, job.startedAt-job.firstAnsweredAt)
		}
	}
	t.Logf("confirmations: %s", quantiles(confirmations))
	t.Logf("starts after the acceptance: %s", quantiles(starts))
	if len(confirmations) < jobs/8 {
		t.Errorf("%d cancellations were confirmed, want at least %d", len(confirmations), jobs/8)
	}
	if slowest := slices.Max(confirmations); slowest >= userCallTimeout {
		t.Errorf("slowest confirmation took %s, want less than the %s for which users wait", slowest, userCallTimeout)
	}
	if verdict := world.Verdict(); verdict != "kept" {
		t.Errorf("invariants violated:\n%s", verdict)
	}
}

// quantiles formats the number of durations, their median, 95th and 99th percentile and maximum.
func quantiles(durations []time.Duration) string {
	slices.Sort(durations)
	at := func(share float64) time.Duration {
		return durations[int(share*float64(len(durations)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%d, median %s, 95%% %s, 99%% %s, maximum %s", len(durations), at(0.5), at(0.95), at(0.99), at(1))
}
