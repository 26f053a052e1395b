package autoscaler

import (
	"testing"
	"time"

	"lugward/internal/scheduler"
)

// statedBootTime is the boot time stated by the cloud.
const statedBootTime = 60 * time.Second

// recordBoots records boots of machines of the first type with the boot times that
// bootTime returns.
func (f *fixture) recordBoots(t *testing.T, count int, bootTime func(i int) time.Duration) {
	t.Helper()
	for i := range count {
		f.booting.recordBoot(&bootingMachine{provisionedInTerm: true}, bootTime(i))
	}
}

// Recorded boot times must not change the timeouts so far that machines that boot in the
// stated time are released, or that machines that do not register for several times the
// stated time are kept or relied on.
func TestBootTimeouts(t *testing.T) {
	for _, test := range []struct {
		name        string
		bootTime    func(i int) time.Duration
		least, most time.Duration // bounds of the expected boot time
	}{
		{
			name:     "quick boots",
			bootTime: func(int) time.Duration { return time.Second },
			least:    statedBootTime / 2,
			most:     statedBootTime / 2,
		},
		{
			name:     "slow boots",
			bootTime: func(int) time.Duration { return 10 * statedBootTime },
			least:    2 * statedBootTime,
			most:     2 * statedBootTime,
		},
		{
			// Machines that were requested together register in the order of their boot times.
			name: "boot times vary by half",
			bootTime: func(i int) time.Duration {
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
			f.recordBoots(t, 200, test.bootTime)
			bootTimes := f.booting.bootTimes
			expected := time.Duration(bootTimes.expectedSeconds(machineType) * float64(time.Second))
			if expected < test.least || expected > test.most {
				t.Errorf("expected boot time = %s, want %s to %s", expected, test.least, test.most)
			}
			if timeout := bootTimes.timeout(machineType, bootTimeoutFactor); timeout < 2*statedBootTime || timeout > 4*statedBootTime {
				t.Errorf("boot timeout = %s, want %s to %s", timeout, 2*statedBootTime, 4*statedBootTime)
			}
			if timeout := bootTimes.timeout(machineType, overdueFactor); timeout < statedBootTime*3/2 || timeout > 3*statedBootTime {
				t.Errorf("time until overdue = %s, want %s to %s", timeout, statedBootTime*3/2, 3*statedBootTime)
			}
		})
	}
}
