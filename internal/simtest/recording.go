package simtest

import (
	"encoding/json"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"lugward/internal/jsonwire"
)

// worldRecording is the state that remains after all controllers of a version ended: the
// contents of the state service and the tasks on machines. The files under
// testdata/production were recorded by running TestRecord with the version in production,
// so that an upgrade can be simulated without the code of the older version.
type worldRecording struct {
	Note        string              `json:"note"`
	Revision    uint64              `json:"epoch"`
	Keys        []recordedKey       `json:"keys"`
	Leases      map[uint64]int64    `json:"leases"` // durations in milliseconds, by ID
	Jobs        []recordedJob       `json:"jobs"`
	Machines    []recordedMachine   `json:"machines"`
	Provisioned map[string][]string `json:"Hires"` // names of provisioned machines, by request
}

// recordedKey is a key of the state service with its value.
type recordedKey struct {
	Key         string          `json:"key"`
	Data        json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
	LeaseID     uint64          `json:"tether,omitempty"`
}

// recordedJob is a job with the answers to its user and its progress.
type recordedJob struct {
	Args              Arguments             `json:"args"`
	AcknowledgedPhase string                `json:"told"`
	Cancelled         bool                  `json:"cancelled,omitempty"`
	Complete          []int                 `json:"complete,omitempty"`
	Progress          map[int]time.Duration `json:"progress,omitempty"`
}

// recordedMachine is a machine with the state of its worker.
type recordedMachine struct {
	Name         string         `json:"Name"`
	Addr         string         `json:"Addr"`
	MachineType  string         `json:"Flavor"`
	Zone         string         `json:"Zone"`
	Spot         bool           `json:"Spot"`
	Up           bool           `json:"Up"`
	Incarnation  uint64         `json:"Tenure"`
	Sequence     uint64         `json:"Tick"`
	FencingToken uint64         `json:"Fence"`
	Answered     time.Duration  `json:"Answered"` // age of the last answered heartbeat
	Tasks        []recordedTask `json:"Tasks"`
}

// recordedTask is a task on a machine.
type recordedTask struct {
	Task             string        `json:"shard"`
	Index            int           `json:"index"`
	Attempt          uint64        `json:"try"`
	Phase            string        `json:"phase"`
	Cause            string        `json:"cause,omitempty"`
	CheckpointStored bool          `json:"stored,omitempty"`
	Ran              time.Duration `json:"ran,omitempty"`
}

// identity returns the identity of the recorded machine.
func (machine recordedMachine) identity() machineIdentity {
	return machineIdentity{name: machine.Name, addr: machine.Addr, machineType: machine.MachineType, zone: machine.Zone, spot: machine.Spot}
}

// Record returns a recording of the world as JSON. jobs are the arguments of the submissions.
func (world *World) Record(note string, jobs []Arguments) ([]byte, error) {
	recording := worldRecording{
		Note:        note,
		Revision:    world.stateService.revision,
		Leases:      map[uint64]int64{},
		Provisioned: world.cloud.provisionedByRequest,
	}
	for key, stored := range world.stateService.keys {
		recording.Keys = append(recording.Keys, recordedKey{key, stored.data, stored.modRevision, stored.leaseID})
	}
	sort.Slice(recording.Keys, func(a, b int) bool { return recording.Keys[a].Key < recording.Keys[b].Key })
	for id, lease := range world.stateService.leases {
		recording.Leases[id] = lease.duration.Milliseconds()
	}
	for _, arguments := range jobs {
		recording.Jobs = append(recording.Jobs, world.recordJob(arguments))
	}
	for _, worker := range world.sortedWorkers() {
		recording.Machines = append(recording.Machines, worker.record())
	}
	return json.Marshal(recording)
}

// recordJob returns the recording of a job. arguments are those of its submission.
func (world *World) recordJob(arguments Arguments) recordedJob {
	job := world.jobs[arguments["id"]]
	recorded := recordedJob{
		Args:              arguments,
		AcknowledgedPhase: world.checker.acknowledgedPhase[job.id],
		Cancelled:         world.checker.cancelRequests[job.id],
		Progress:          job.progress,
	}
	for i := range job.completed {
		recorded.Complete = append(recorded.Complete, i)
	}
	slices.Sort(recorded.Complete)
	return recorded
}

// record returns the recording of a machine with its tasks.
func (worker *fakeWorker) record() recordedMachine {
	machine := recordedMachine{
		Name:         worker.name,
		Addr:         worker.addr,
		MachineType:  worker.machineType,
		Zone:         worker.zone,
		Spot:         worker.spot,
		Up:           worker.up,
		Incarnation:  worker.incarnation,
		Sequence:     worker.sequence,
		FencingToken: worker.fencingToken,
		Answered:     worker.world.now - worker.leaseStart,
	}
	for _, assignment := range worker.sortedAssignments() {
		recorded := recordedTask{
			Task:             assignment.name,
			Index:            assignment.index,
			Attempt:          assignment.attempt,
			Phase:            assignment.phase,
			Cause:            assignment.cause,
			CheckpointStored: assignment.checkpointStored,
		}
		if assignment.phase == taskRunning {
			recorded.Ran = worker.world.now - assignment.startedAt
		}
		machine.Tasks = append(machine.Tasks, recorded)
	}
	return machine
}

// Load replaces the state of a new world with a recording. The controllers, which run the
// newer version, are restarted.
func (world *World) Load(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var recording worldRecording
	if err := jsonwire.Unmarshal(raw, &recording); err != nil {
		return err
	}
	for _, process := range world.controllers {
		process.kill()
	}
	world.stateService.load(recording)
	for _, recorded := range recording.Jobs {
		world.loadJob(recorded)
	}
	world.cloud.load(recording)
	for _, process := range world.controllers {
		process.boot()
	}
	return nil
}

// load replaces the contents of the state service with those of a recording.
func (service *fakeStateService) load(recording worldRecording) {
	service.revision, service.oldestRevision, service.log = recording.Revision, recording.Revision, nil
	service.leases = map[uint64]*grantedLease{}
	for id, milliseconds := range recording.Leases {
		duration := time.Duration(milliseconds) * time.Millisecond
		service.leases[id] = &grantedLease{duration, service.world.now + duration}
		service.lastLease = max(service.lastLease, id)
	}
	service.keys = map[string]storedValue{}
	for _, key := range recording.Keys {
		service.setValue(key.Key, storedValue{data: key.Data, modRevision: key.ModRevision, leaseID: key.LeaseID})
	}
}

// loadJob restores a recorded job.
func (world *World) loadJob(recorded recordedJob) {
	world.users.registerJob(currentArgs(recorded.Args))
	job := world.jobs[recorded.Args["id"]]
	job.submitted, job.firstAnsweredAt, job.startedAt = true, 1, 1
	for _, i := range recorded.Complete {
		job.completed[i] = true
	}
	for i, progress := range recorded.Progress {
		job.progress[i] = progress
	}
	world.checker.acknowledgedPhase[job.id] = recorded.AcknowledgedPhase
	if recorded.Cancelled {
		world.checker.cancelRequests[job.id], world.checker.cancelAcknowledgedAt[job.id] = true, world.now
	}
}

// load replaces the cloud's machines and their tasks with those of a recording.
func (cloud *fakeCloud) load(recording worldRecording) {
	cloud.provisionedByRequest = recording.Provisioned
	cloud.machines = map[string]*provisionedMachine{}
	if slices.ContainsFunc(recording.Machines, func(machine recordedMachine) bool { return machine.MachineType == recordedGPUType }) {
		cloud.offeredNames = []string{"small", "big", recordedGPUType}
	}
	for i, machine := range recording.Machines {
		cloud.lastMachine = max(cloud.lastMachine, i+1)
		worker := newWorker(cloud.world, machine.identity())
		if !machine.Up {
			worker.crash()
			continue
		}
		cloud.machines[machine.Name] = &provisionedMachine{
			machineIdentity: machine.identity(),
			provisionedAt:   cloud.world.now - time.Minute,
			worker:          worker,
		}
		worker.incarnation, worker.sequence = machine.Incarnation, machine.Sequence
		worker.fencingToken, worker.leaseStart = machine.FencingToken, cloud.world.now-machine.Answered
		for _, recorded := range machine.Tasks {
			worker.restoreTask(recorded)
		}
	}
}

// restoreTask restores a recorded task on its machine.
func (worker *fakeWorker) restoreTask(recorded recordedTask) {
	world := worker.world
	job := world.jobs[recorded.Task[:strings.LastIndexByte(recorded.Task, '/')]]
	assignment := &taskAssignment{
		worker:           worker,
		job:              job,
		name:             recorded.Task,
		index:            recorded.Index,
		attempt:          recorded.Attempt,
		phase:            recorded.Phase,
		cause:            recorded.Cause,
		checkpointStored: recorded.CheckpointStored,
		startedAt:        world.now - recorded.Ran,
	}
	switch {
	case recorded.Phase == taskExited:
		worker.assignments[recorded.Task] = assignment
	case recorded.Phase != taskRunning || job.shape == shapeGang && len(job.completed) > 0:
		// The image is pulled again, although the recorded machine had all or most of it.
		worker.startTask(taskCommand{Verb: "start", Task: recorded.Task, Attempt: recorded.Attempt})
	case job.shape == shapeGang:
		worker.assignments[recorded.Task] = assignment
		world.checker.recordInstance(assignment)
		worker.fetchedImages[job.id] = true
		gang := assignment.addToGang()
		if gang.isComplete() {
			gang.started = true
			gang.finishAfter(job.runTime - job.progress[0] - recorded.Ran)
		}
	default:
		worker.assignments[recorded.Task] = assignment
		world.checker.recordInstance(assignment)
		worker.fetchedImages[job.id] = true
		if job.shape == shapeArray {
			assignment.after(job.runTime-job.progress[assignment.index]-recorded.Ran, func() {
				job.completed[assignment.index] = true
				world.users.handleTaskCompleted(job)
				worker.exitTask(assignment, causeDone, false)
			})
		}
	}
}

// recordedArgNames maps the argument names of submissions in recordings to the current
// names, where they differ.
var recordedArgNames = map[string]string{"shards": "tasks", "cores": "cpus", "cards": "gpus", "ram": "memory", "flavors": "types", "yard": "zone",
	"same": "same_zone", "loaners": "spot", "snap": "checkpoint", "cost": "checkpoint_cost", "rank": "priority"}

// currentArgs returns the arguments of a recorded submission under their current names.
func currentArgs(recorded Arguments) Arguments {
	args := Arguments{}
	for name, value := range recorded {
		if current, ok := recordedArgNames[name]; ok {
			name = current
		}
		args[name] = value
	}
	return args
}
