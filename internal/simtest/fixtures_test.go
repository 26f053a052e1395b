package simtest

// smallMachine returns the identity of a machine of the smallest type.
func smallMachine(name, zone string) machineIdentity {
	return machineIdentity{name: name, addr: name, machineType: "small", zone: zone}
}

// submittedJob returns an array job that its user has submitted.
func submittedJob(id string, tasks int) *jobRecord {
	job := newJobRecord(id)
	job.team, job.class, job.taskCount, job.submitted = "red", "c", tasks, true
	return job
}

// startOnNewMachine starts a task of a job on a new machine.
func startOnNewMachine(world *World, job *jobRecord, index int, machine machineIdentity) *taskAssignment {
	worker := &fakeWorker{world: world, machineIdentity: machine, up: true, assignments: map[string]*taskAssignment{}}
	world.workers[machine.addr] = worker
	assignment := &taskAssignment{worker: worker, job: job, name: taskName(job.id, index), index: index, attempt: 1, phase: taskRunning}
	worker.assignments[assignment.name] = assignment
	world.checker.checkStart(assignment)
	return assignment
}

// commandStart commands a new machine to start the first attempt of the first task of a job.
func commandStart(world *World, job *jobRecord, machine machineIdentity) {
	worker := &fakeWorker{world: world, machineIdentity: machine, up: true, assignments: map[string]*taskAssignment{}}
	world.workers[machine.addr] = worker
	worker.executeCommands([]taskCommand{{Verb: "start", Task: taskName(job.id, 0), Attempt: 1}})
}
