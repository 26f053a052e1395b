package autoscaler

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
	"lugward/internal/worker"
)

const statedBoot = 60 * time.Second

// newBooting is an autoscaler with one machine type that boots in statedBoot.
func newBooting() *Autoscaler {
	names := &pipeline.Names{}
	jobs := pipeline.NewTable(names, 4096, 12)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	a := New(Config{Names: names, Jobs: jobs, Workers: worker.New(worker.Config{Names: names, Jobs: jobs, Log: log}), Log: log})
	a.machineTypes = scheduler.MachineTypes{{BootTime: statedBoot.Seconds()}}
	return a
}

// boot lets machines come up after a time, one after the other.
func (a *Autoscaler) boot(count int, took func(i int) time.Duration) {
	for i := range count {
		a.recordBootTime(&bootingMachine{ours: true}, took(i))
	}
}

// What is known of boots never makes the autoscaler release machines that come as
// the cloud states, nor keep or count on those that do not come for several times
// as long.
func TestBootTimeouts(t *testing.T) {
	quick := func(int) time.Duration { return time.Second }
	slow := func(int) time.Duration { return 10 * statedBoot }
	// Machines that were asked for together come in the order of their boots.
	spread := func(i int) time.Duration {
		return statedBoot*6/10 + statedBoot*9/10*time.Duration(i%200)/200
	}
	for _, c := range []struct {
		what        string
		took        func(int) time.Duration
		least, most time.Duration // of the usual boot
	}{
		{"quick boots", quick, statedBoot / 2, statedBoot / 2},
		{"slow boots", slow, 2 * statedBoot, 2 * statedBoot},
		{"boots that differ by half", spread, statedBoot * 9 / 10, statedBoot * 13 / 10},
	} {
		a := newBooting()
		a.boot(200, c.took)
		machineType := a.machineTypes[0]
		usual := time.Duration(a.expectedBoot(machineType) * float64(time.Second))
		if usual < c.least || usual > c.most {
			t.Errorf("%s: the usual boot takes %s", c.what, usual)
		}
		if timeout := a.bootTimeout(machineType, bootFactor); timeout < 2*statedBoot || timeout > 4*statedBoot {
			t.Errorf("%s: released after %s", c.what, timeout)
		}
		if timeout := a.bootTimeout(machineType, overdueFactor); timeout < statedBoot*3/2 || timeout > 3*statedBoot {
			t.Errorf("%s: overdue after %s", c.what, timeout)
		}
	}
}

// An overdue machine is not counted on, and another offer is tried before its own
// unless that costs far more.
func TestOverdueOffers(t *testing.T) {
	const here, there = 0, 1
	for _, c := range []struct {
		what  string
		since event.Time
		price float64 // of the other type
		want  int
	}{
		{"it boots as stated", 4 * statedBoot, 2, here},
		{"it is overdue", time.Second, 2, there},
		{"it is overdue and the other is dear", time.Second, 4, here},
	} {
		a := newBooting()
		a.machineTypes = scheduler.MachineTypes{
			{Index: here, CPUs: 4, Price: 1, SpotPrice: 1, BootTime: statedBoot.Seconds(), Zones: []int{0}},
			{Index: there, CPUs: 4, Price: c.price, SpotPrice: c.price, BootTime: statedBoot.Seconds(), Zones: []int{0}},
		}
		a.booting[7] = &bootingMachine{since: c.since}
		a.booting[8] = &bootingMachine{offer: offer{spot: true}, since: c.since}
		now := 5 * statedBoot
		a.provisioning.overdue = a.overdueOffers(now)
		job := &pipeline.Job{Spec: pipeline.Spec{TaskCount: 1, CPUs: 1, Zone: -1, AllowSpot: true}}
		query := offerQuery{job: job, tasks: 1, zone: anyZone, now: now}
		if got, ok := a.cheapestOffer(query); !ok || got.offer.machineType != c.want {
			t.Errorf("%s: %+v is asked for", c.what, got)
		}
	}
}
