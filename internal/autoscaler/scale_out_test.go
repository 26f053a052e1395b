package autoscaler

import (
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// The limit of a team applies to the sum of its jobs: machines are not provisioned for
// what the limit would allow each job alone.
func TestProvisionsWithinLimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		maxCPUs float64
		want    int
	}{
		{name: "limit of one machine", maxCPUs: 4, want: 1},
		{name: "limit of two machines", maxCPUs: 8, want: 2},
		{name: "no limit", maxCPUs: 0, want: 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, Config{IdleTimeout: time.Minute})
			f.list.upToDate = true
			f.setMachineTypes(t, `{"flavors":[{"name":"small","cores":4,"ram_gb":16,"price":1,"low_price":1,"ready_s":10,"yards":["a"]}]}`)
			f.names.Classes.Index("c")
			f.names.Images.Index("b")
			scheduler := f.newScheduler(test.maxCPUs)
			ids := []string{"req-1", "req-2", "req-3"}
			blocked := make([]*pipeline.Job, 0, len(ids))
			for i, id := range ids {
				job := &pipeline.Job{ID: id, Ready: true, Spec: pipeline.Spec{TaskCount: 4, CPUs: 1, Memory: 1, Zone: pipeline.AnyZone}}
				f.jobs.HandleChange(record.KindJob, id, pipeline.EncodeJob(f.names, job), uint64(i+1))
				blocked = append(blocked, f.jobs.Job(id))
			}
			var out event.Effects
			f.Plan(time.Second, blocked, scheduler, 1, &out)
			if got := requestedMachines(t, out.Calls); got != test.want {
				t.Errorf("Plan requested %d machines, want %d", got, test.want)
			}
		})
	}
}
