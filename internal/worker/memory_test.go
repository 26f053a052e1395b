package worker_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"lugward/internal/heaptest"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// TestMemoryOfReportedTasks checks the estimate of the memory that the leader needs for the
// tasks in the last heartbeats: it is at least what is in use, and at most twice as much.
func TestMemoryOfReportedTasks(t *testing.T) {
	const machines = 1000
	for _, c := range []struct {
		name   string
		tasks  int // on each machine
		status string
	}{
		{"few tasks", 30, `{"shard":"req-%06d/%d","try":2,"phase":"running"}`},
		{"many tasks", 300, `{"shard":"req-%06d/%d","try":2,"phase":"running"}`},
		{"long names", 30, `{"shard":"req-%019d/%d","try":123456,"phase":"running","cause":null}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := heaptest.InUse()
			parser := &worker.HeartbeatParser{}
			for machine := range machines {
				tasks := make([]string, c.tasks)
				for task := range tasks {
					tasks[task] = fmt.Sprintf(c.status, machine, task)
				}
				body := fmt.Sprintf(`{"host":"i-%06d","addr":"10.1.0.1:9000","flavor":"m","yard":"a","tenure":1,"tick":7,"fence":5,"shards":[%s]}`, machine, strings.Join(tasks, ","))
				heartbeat, err := parser.Parse([]byte(body))
				if err != nil || len(heartbeat.Tasks) != c.tasks {
					t.Fatalf("%s: %d tasks, %v", body, len(heartbeat.Tasks), err)
				}
			}
			used := (heaptest.InUse() - before) / float64(machines*c.tasks)
			t.Logf("%.0f bytes a task", used)
			if estimate := float64(pipeline.EstimatedReportedTaskBytes); used > estimate || estimate > 2*used {
				t.Errorf("%.0f bytes a task, want at most the estimated %.0f and at least half of it", used, estimate)
			}
			runtime.KeepAlive(parser)
		})
	}
}
