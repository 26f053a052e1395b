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

// Limits of the state service in tests.
const (
	testValueBytes = 4096
	testTxnOps     = 12
	testRPS        = 100
	testWriteRPS   = 60
)

// testHeartbeatTimeout is after which time a machine is unresponsive in tests.
const testHeartbeatTimeout = time.Minute

// fixture is an autoscaler with what it depends on.
type fixture struct {
	*Autoscaler
	names   *pipeline.Names
	jobs    *pipeline.Table
	workers *worker.Registry
}

// newFixture returns an autoscaler with the settings of cfg, whose dependencies are
// filled in.
func newFixture(t *testing.T, cfg Config) *fixture {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	names := &pipeline.Names{}
	jobs := pipeline.NewTable(pipeline.Config{Names: names, LayoutValueBytes: testValueBytes, TxnOps: testTxnOps})
	workers := worker.New(worker.Config{Names: names, Jobs: jobs, Logger: log})
	cfg.Names = names
	cfg.Jobs = jobs
	cfg.Workers = workers
	cfg.Store = kv.New(kv.Config{
		Addr:     "state",
		Limits:   kv.Limits{TxnOps: testTxnOps, Rates: kv.Rates{Requests: testRPS, Writes: testWriteRPS}},
		OnChange: func(string, []byte, uint64) {},
	})
	cfg.Logger = log
	cfg.CloudAddr = "cloud"
	cfg.CloudRPS = testRPS
	return &fixture{Autoscaler: New(cfg), names: names, jobs: jobs, workers: workers}
}

// setMachineTypes makes those of a list in the cloud's protocol the machine types.
func (f *fixture) setMachineTypes(t *testing.T, list string) {
	t.Helper()
	types, err := decodeMachineTypes([]byte(list))
	if err != nil {
		t.Fatalf("the types are not taken: %v", err)
	}
	f.catalog.apply(types)
}

// newScheduler returns a scheduler for a team with a limit of CPUs, 0 for none.
func (f *fixture) newScheduler(team string, maxCPUs float64) *scheduler.Scheduler {
	return scheduler.New(scheduler.Config{
		Jobs:             f.jobs,
		Workers:          f.workers,
		MachineTypes:     f.MachineTypes(),
		Teams:            map[pipeline.TeamIndex]config.Team{f.names.Teams.Index(team): {CPUsMax: maxCPUs}},
		HeartbeatTimeout: testHeartbeatTimeout,
	})
}

// requestedMachines counts the machines that the calls ask the cloud for.
func requestedMachines(t *testing.T, calls []event.Call) int {
	t.Helper()
	count := 0
	for _, call := range calls {
		var request struct{ Number int }
		if call.Path == "/rentals" && json.Unmarshal(call.Body, &request) == nil {
			count += request.Number
		}
	}
	return count
}
