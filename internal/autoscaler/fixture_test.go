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

// testHeartbeatTimeout is the time without heartbeats after which a machine is
// unresponsive in tests.
const testHeartbeatTimeout = time.Minute

// fixture is an autoscaler with its dependencies.
type fixture struct {
	*Autoscaler
	names   *pipeline.Names
	jobs    *pipeline.Table
	workers *worker.Registry
}

// newFixture returns an autoscaler with the settings of cfg. It sets the dependencies in
// cfg itself.
func newFixture(tb testing.TB, cfg Config) *fixture {
	tb.Helper()
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

// setMachineTypes applies a list of machine types encoded in the cloud's protocol.
func (f *fixture) setMachineTypes(tb testing.TB, list string) {
	tb.Helper()
	types, err := decodeMachineTypes([]byte(list))
	if err != nil {
		tb.Fatalf("decodeMachineTypes(%s): %v", list, err)
	}
	f.catalog.apply(types)
}

// newScheduler returns a scheduler for the team "t" with the given CPU limit. A limit of zero
// means no limit.
func (f *fixture) newScheduler(maxCPUs float64) *scheduler.Scheduler {
	return scheduler.New(scheduler.Config{
		Jobs:             f.jobs,
		Workers:          f.workers,
		MachineTypes:     f.MachineTypes(),
		Teams:            map[pipeline.TeamIndex]config.Team{f.names.Teams.Index("t"): {CPUsMax: maxCPUs}},
		HeartbeatTimeout: testHeartbeatTimeout,
	})
}

// requestedMachines returns the number of machines requested from the cloud by the calls.
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
