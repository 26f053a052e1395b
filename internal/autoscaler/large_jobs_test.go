package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// blockedLargeJobs adds jobs of 100,000 tasks, each of which needs a machine of its own.
func (f *fixture) blockedLargeJobs(count int) []*pipeline.Job {
	f.names.Classes.Index("c")
	f.names.Teams.Index("t")
	f.names.Images.Index("b")
	blocked := make([]*pipeline.Job, 0, count)
	for i := range count {
		job := &pipeline.Job{ID: fmt.Sprintf("req-%d", i), Ready: true, Spec: pipeline.Spec{TaskCount: 100_000, CPUs: 4, Memory: 1, Zone: pipeline.AnyZone}}
		f.jobs.HandleChange(record.KindJob, job.ID, pipeline.EncodeJob(f.names, job), uint64(i+1))
		blocked = append(blocked, f.jobs.Job(job.ID))
	}
	return blocked
}

const smallMachineTypes = `{"flavors":[{"name":"small","cores":4,"ram_gb":16,"price":1,"low_price":1,"ready_s":10,"yards":["a","b"]}]}`

// TestPlanIsBounded checks that a plan for jobs of many tasks adds a limited number of machines,
// and requests as many as without the limit. A leader that planned them all stood still for
// seconds (review case 4 shows the same for rounds).
func TestPlanIsBounded(t *testing.T) {
	f := newFixture(t, Config{IdleTimeout: time.Minute})
	f.list.upToDate = true
	f.setMachineTypes(t, smallMachineTypes)
	blocked := f.blockedLargeJobs(3)
	scheduler := f.newScheduler(0)
	plan := f.planner.newPlan(time.Second, scheduler)
	for _, job := range blocked {
		plan.addJob(job)
	}
	if plan.neededCount != maxPlannedMachines {
		t.Errorf("the plan adds %d machines, want maxPlannedMachines", plan.neededCount)
	}
	for pool, count := range plan.needed {
		if count < maxProvisionBatch {
			t.Errorf("the plan adds %d machines of pool %+v, want at least maxProvisionBatch", count, pool)
		}
	}
	if pools := len(plan.needed); pools != 2 {
		t.Errorf("the plan uses %d pools, want 2", pools)
	}
}

// BenchmarkPlanOfLargeJobs measures plans for jobs of 100,000 tasks.
func BenchmarkPlanOfLargeJobs(b *testing.B) {
	for _, jobs := range []int{1, 10, 40} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			f := newFixture(b, Config{IdleTimeout: time.Minute})
			f.list.upToDate = true
			f.setMachineTypes(b, smallMachineTypes)
			blocked := f.blockedLargeJobs(jobs)
			scheduler := f.newScheduler(0)
			for b.Loop() {
				var out event.Effects
				f.Plan(time.Second, blocked, scheduler, 1, &out)
			}
		})
	}
}
