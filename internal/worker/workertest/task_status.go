package workertest

import "lugward/internal/worker"

// TaskStatus returns the status of a task in a heartbeat, with the phase and the cause as a
// worker reports them. Both may be empty.
func TaskStatus(task string, attempt uint64, phase, cause string) worker.TaskStatus {
	status := worker.TaskStatus{Task: task, Attempt: attempt}
	for _, err := range []error{status.Phase.UnmarshalText([]byte(phase)), status.Cause.UnmarshalText([]byte(cause))} {
		if err != nil {
			panic(err) // all texts are valid
		}
	}
	return status
}
