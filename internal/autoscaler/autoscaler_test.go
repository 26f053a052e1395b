package autoscaler

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
	"lugward/internal/worker"
)

// Machines are provisioned for what a team's limit lets all of its jobs together
// have, not for what it would let each of them have alone.
func TestProvisionsWithinLimit(t *testing.T) {
	for _, c := range []struct {
		limit float64
		want  int
	}{{4, 1}, {8, 2}, {0, 3}} {
		names := &pipeline.Names{}
		jobs := pipeline.NewTable(names, 4096, 12)
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		workers := worker.New(worker.Config{Names: names, Jobs: jobs, Log: log})
		client := kv.New(kv.Config{Addr: "state", Limits: kv.Limits{TxnOps: 12, Rates: kv.Rates{Requests: 100, Writes: 60}}, OnChange: func(string, []byte, uint64) {}})
		a := New(Config{Names: names, Jobs: jobs, Workers: workers, Store: client, Log: log, CloudAddr: "cloud", CloudRPS: 100, IdleTimeout: time.Minute})
		a.list.current = true
		if !a.takeTypes([]byte(`{"flavors":[{"name":"small","cores":4,"ram_gb":16,"price":1,"low_price":1,"ready_s":10,"yards":["a"]}]}`)) {
			t.Fatal("the types are not taken")
		}
		names.Classes.Index("c")
		names.Images.Index("b")
		s := scheduler.New(scheduler.Config{
			Jobs:             jobs,
			Workers:          workers,
			MachineTypes:     a.MachineTypes(),
			Teams:            map[int]config.Team{names.Teams.Index("t"): {CPUsMax: c.limit}},
			HeartbeatTimeout: time.Minute,
		})
		var blocked []*pipeline.Job
		for i, id := range []string{"req-1", "req-2", "req-3"} {
			j := &pipeline.Job{ID: id, Ready: true, Spec: pipeline.Spec{TaskCount: 4, CPUs: 1, Memory: 1, Zone: -1}}
			jobs.HandleChange(pipeline.JobKey, id, pipeline.Encode(names, j), uint64(i+1))
			blocked = append(blocked, jobs.Job(id))
		}
		var out event.Effects
		a.Plan(time.Second, blocked, s, 1, &out)
		got := 0
		for _, call := range out.Calls {
			var v struct{ Number int }
			if call.Path == "/rentals" && json.Unmarshal(call.Body, &v) == nil {
				got += v.Number
			}
		}
		if got != c.want {
			t.Errorf("limit %v: %d machines asked for, not %d", c.limit, got, c.want)
		}
	}
}
