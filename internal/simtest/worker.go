package simtest

import (
	"encoding/json"
	"sort"
	"time"
)

// fakeWorker is a stand-in of a machine's worker.
type fakeWorker struct {
	world                        *World
	name, addr                   string
	machineType, zone            string
	spot                         bool
	up                           bool
	slowdown                     float64 // run times are multiplied by this, 0: by 1
	incarnation, sequence        uint64
	fencingToken                 uint64
	reclaimAt                    time.Duration
	assignments                  map[string]*taskAssignment
	images                       map[string]bool
	target                       int
	heartbeatInFlight            bool
	changed                      bool
	lastHeartbeat, nextHeartbeat time.Duration
	leaseStart                   time.Duration
	fencingTokenSeenAt           time.Duration
	heartbeatsBlocked            bool // it reaches no controller, direct commands reach it
	faulty                       bool // every task that starts on it fails
	hangState
}

func newWorker(world *World, name, addr, machineType, zone string, spot bool) *fakeWorker {
	worker := &fakeWorker{world: world, name: name, addr: addr, machineType: machineType, zone: zone, spot: spot, up: true, incarnation: 1, assignments: map[string]*taskAssignment{},
		images: map[string]bool{}, leaseStart: world.now, target: world.random.IntN(len(world.controllers)), changed: true}
	world.workers[addr] = worker
	if world.network.unreachableMachines > 0 {
		world.network.unreachableMachines--
		world.network.blockInbound(worker, true)
	}
	worker.tick()
	return worker
}

func (worker *fakeWorker) tick() {
	if !worker.up {
		return
	}
	worker.world.schedule(100*time.Millisecond, worker.tick)
	if worker.hung {
		return
	}
	worker.expireLease()
	if !worker.heartbeatInFlight && (worker.world.now >= worker.nextHeartbeat || (worker.changed && worker.world.now-worker.lastHeartbeat >= 500*time.Millisecond)) {
		worker.sendHeartbeat()
	}
}

func (worker *fakeWorker) killTasks() {
	for _, assignment := range worker.sortedAssignments() {
		worker.removeTask(assignment)
	}
	worker.assignments = map[string]*taskAssignment{}
	worker.images = map[string]bool{}
}

func (worker *fakeWorker) sortedAssignments() []*taskAssignment {
	var list []*taskAssignment
	for _, assignment := range worker.assignments {
		list = append(list, assignment)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}

// buildHeartbeat is the report that the worker sends next.
func (worker *fakeWorker) buildHeartbeat() heartbeat {
	worker.sequence++
	message := heartbeat{Machine: worker.name, Addr: worker.addr, MachineType: worker.machineType, Zone: worker.zone, Spot: worker.spot, Incarnation: worker.incarnation,
		Sequence: worker.sequence, FencingToken: worker.fencingToken, Tasks: []taskStatus{}}
	if worker.reclaimAt != 0 {
		left := (worker.reclaimAt - worker.world.now).Seconds()
		message.ReclaimIn = &left
	}
	for _, assignment := range worker.sortedAssignments() {
		line := taskStatus{Task: assignment.name, Attempt: assignment.attempt, Phase: assignment.phase}
		if assignment.phase == taskExited {
			line.Cause, line.CheckpointStored = assignment.cause, assignment.checkpointStored
		}
		message.Tasks = append(message.Tasks, line)
	}
	return message
}

// sendHeartbeat sends a report and takes its answer.
func (worker *fakeWorker) sendHeartbeat() {
	worker.heartbeatInFlight, worker.changed = true, false
	worker.lastHeartbeat = worker.world.now
	every := seconds(worker.world.config.Settings.Workers.HeartbeatS)
	worker.nextHeartbeat = worker.world.now + every*3/4 + time.Duration(worker.world.random.Int64N(int64(every/2)))
	body, _ := json.Marshal(worker.buildHeartbeat())
	sent, session := worker.world.now, worker.incarnation
	if worker.heartbeatsBlocked {
		// No connection comes about, at once or after a while.
		worker.world.schedule(time.Duration(worker.world.random.Int64N(int64(heartbeatTimeout))), func() { worker.whenResumed(func() { worker.handleHeartbeatResponse(sent, session, 0, nil) }) })
		return
	}
	request := httpRequest{from: worker.name, method: "POST", path: heartbeatPath, body: body, timeout: heartbeatTimeout}
	worker.world.network.request(worker.world.controllers[worker.target], request, func(status int, body []byte) {
		worker.whenResumed(func() {
			if worker.world.now-sent >= heartbeatTimeout {
				status, body = 0, nil // it came while the machine hung
			}
			worker.handleHeartbeatResponse(sent, session, status, body)
		})
	})
}

// handleHeartbeatResponse takes the answer to a report that was sent then in that session,
// status 0 for none.
func (worker *fakeWorker) handleHeartbeatResponse(sent time.Duration, session uint64, status int, body []byte) {
	worker.heartbeatInFlight = false
	if !worker.up {
		return
	}
	if status == 0 {
		worker.world.checker.unansweredHeartbeats++
	}
	var answer heartbeatResponse
	_ = json.Unmarshal(body, &answer)
	if status == 421 && worker.redirect(answer.Leader) {
		return
	}
	if status != 200 {
		worker.target = (worker.target + 1) % len(worker.world.controllers)
		worker.nextHeartbeat = worker.world.now + time.Second
		return
	}
	if answer.FencingToken < worker.fencingToken || answer.FencingToken == 0 || session != worker.incarnation {
		return
	}
	worker.learnFencingToken(answer.FencingToken)
	worker.leaseStart = max(worker.leaseStart, sent)
	worker.executeCommands(answer.Commands)
}

// redirect lets the next report go to the leader, soon. It tells whether that is
// another controller.
func (worker *fakeWorker) redirect(leader string) bool {
	for i, process := range worker.world.controllers {
		if leader != "" && process.name == leader && i != worker.target {
			worker.target = i
			worker.changed = true
			worker.lastHeartbeat = worker.world.now - 400*time.Millisecond
			return true
		}
	}
	return false
}

func (worker *fakeWorker) learnFencingToken(token uint64) {
	if token > worker.fencingToken {
		worker.fencingToken = token
		if worker.world.now-worker.fencingTokenSeenAt > seconds(worker.world.config.Settings.Workers.LeaseS/2) || worker.fencingTokenSeenAt == 0 {
			worker.changed, worker.fencingTokenSeenAt = true, worker.world.now
		}
	}
}

// serve answers a direct command.
func (worker *fakeWorker) serve(path string, body []byte, answer answerFunc) {
	if !worker.up {
		return
	}
	if worker.hung {
		// It waits until the machine resumes, then is executed like any other.
		worker.whenResumed(func() { worker.serve(path, body, answer) })
		return
	}
	if path == directCommandPath {
		var request commandRequest
		if json.Unmarshal(body, &request) != nil || request.FencingToken == nil || request.Incarnation == nil {
			worker.world.reportLimitViolation("bad direct command %s", body)
			answer(400, nil)
			return
		}
		if *request.FencingToken < worker.fencingToken || *request.Incarnation != worker.incarnation {
			answer(409, worker.buildHeartbeat())
			return
		}
		worker.learnFencingToken(*request.FencingToken)
		worker.executeCommands(request.Commands)
	}
	answer(200, worker.buildHeartbeat())
}

func (worker *fakeWorker) executeCommands(orders []taskCommand) {
	for _, command := range orders {
		assignment := worker.assignments[command.Task]
		switch command.Verb {
		case "start":
			if assignment != nil && assignment.attempt == command.Attempt {
				continue
			}
			worker.startTask(command)
		case "stop":
			if assignment != nil && assignment.attempt == command.Attempt && assignment.phase != taskExited {
				worker.world.checker.countStop(assignment)
				worker.stopTask(assignment, seconds(command.GracePeriod))
			}
		case "reap":
			if assignment != nil && assignment.attempt == command.Attempt && assignment.phase == taskExited {
				delete(worker.assignments, command.Task)
				worker.changed = true
			}
		default:
			worker.world.reportLimitViolation("unknown order %q", command.Verb)
		}
	}
}

// crash ends the machine.
func (worker *fakeWorker) crash() {
	worker.killTasks()
	worker.up = false
}

// blockHeartbeatsFor lets a machine reach no controller for a while.
func (worker *fakeWorker) blockHeartbeatsFor(duration time.Duration) {
	worker.heartbeatsBlocked = true
	worker.world.schedule(duration, func() { worker.heartbeatsBlocked = false })
}

// isHealthy tells whether no fault and no reclaim notice keeps the machine from running tasks
// as it should.
func (worker *fakeWorker) isHealthy() bool {
	return worker.up && !worker.hung && !worker.heartbeatsBlocked && worker.reclaimAt == 0 && worker.slowdown <= 0 && !worker.faulty
}
