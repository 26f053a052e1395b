package autoscaler

import (
	"testing"
	"time"

	"lugward/internal/scheduler"
)

// statedBootTime is how long machines boot as the cloud states.
const statedBootTime = 60 * time.Second

// recordBoots lets machines of the first type boot, one after the other.
func (f *fixture) recordBoots(t *testing.T, count int, took func(i int) time.Duration) {
	t.Helper()
	for i := range count {
		f.booting.recordBoot(&bootingMachine{provisionedHere: true}, took(i))
	}
}

// What is known of boot times never makes the autoscaler release machines that come as
// the cloud states, nor keep or count on those that do not come for several times as
// long.
func TestBootTimeouts(t *testing.T) {
	for _, test := range []struct {
		name        string
		took        func(i int) time.Duration
		least, most time.Duration // of the expected boot time
	}{
		{
			name:  "quick boots",
			took:  func(int) time.Duration { return time.Second },
			least: statedBootTime / 2,
			most:  statedBootTime / 2,
		},
		{
			name:  "slow boots",
			took:  func(int) time.Duration { return 10 * statedBootTime },
			least: 2 * statedBootTime,
			most:  2 * statedBootTime,
		},
		{
			// Machines that were asked for together come in the order of their boots.
			name: "boots that differ by half",
			took: func(i int) time.Duration {
				return statedBootTime*6/10 + statedBootTime*9/10*time.Duration(i%200)/200
			},
			least: statedBootTime * 9 / 10,
			most:  statedBootTime * 13 / 10,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, Config{})
			machineType := &scheduler.MachineType{BootTime: statedBootTime.Seconds()}
			f.catalog.types = scheduler.MachineTypes{machineType}
			f.recordBoots(t, 200, test.took)
			bootTimes := f.booting.bootTimes
			expected := time.Duration(bootTimes.expected(machineType) * float64(time.Second))
			if expected < test.least || expected > test.most {
				t.Errorf("the expected boot time is %s", expected)
			}
			if timeout := bootTimes.timeout(machineType, bootTimeoutFactor); timeout < 2*statedBootTime || timeout > 4*statedBootTime {
				t.Errorf("released after %s", timeout)
			}
			if timeout := bootTimes.timeout(machineType, overdueFactor); timeout < statedBootTime*3/2 || timeout > 3*statedBootTime {
				t.Errorf("overdue after %s", timeout)
			}
		})
	}
}
