package autoscaler

import (
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// An overdue machine is not expected to register any more: its pool is chosen only if
// every other pool costs more than overdueCostFactor times as much.
func TestOverduePools(t *testing.T) {
	const own, other = 0, 1 // machine types
	for _, test := range []struct {
		name       string
		since      event.Time
		otherPrice float64
		want       pipeline.MachineTypeIndex
	}{
		{name: "within the stated boot time", since: 4 * statedBootTime, otherPrice: 2, want: own},
		{name: "overdue", since: time.Second, otherPrice: 2, want: other},
		{name: "overdue and the other type is expensive", since: time.Second, otherPrice: 4, want: own},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, Config{})
			f.catalog.types = scheduler.MachineTypes{
				{Index: own, CPUs: 4, Price: 1, SpotPrice: 1, BootTime: statedBootTime.Seconds(), Zones: []pipeline.ZoneIndex{0}},
				{Index: other, CPUs: 4, Price: test.otherPrice, SpotPrice: test.otherPrice, BootTime: statedBootTime.Seconds(), Zones: []pipeline.ZoneIndex{0}},
			}
			f.booting.byIndex[7] = &bootingMachine{since: test.since}
			f.booting.byIndex[8] = &bootingMachine{pool: machinePool{spot: true}, since: test.since}
			plan := f.planner.newPlan(5*statedBootTime, f.newScheduler(0))
			job := &pipeline.Job{Spec: pipeline.Spec{TaskCount: 1, CPUs: 1, Zone: pipeline.AnyZone, AllowSpot: true}}
			query := poolQuery{job: job, tasks: 1, zone: pipeline.AnyZone}
			if got, found := plan.pools.cheapest(query); !found || got.pool.machineType != test.want {
				t.Errorf("cheapest returned %+v, found %t, want a pool of machine type %d", got, found, test.want)
			}
		})
	}
}
