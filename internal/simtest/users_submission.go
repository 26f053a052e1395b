package simtest

import (
	"encoding/json"
	"strings"
)

// registerJob records the job that the arguments describe, so that workers can run it, and
// returns the body of its submission.
func (users *fakeUsers) registerJob(arguments Arguments) []byte {
	id := arguments["id"]
	job := users.world.jobs[id]
	if job == nil {
		job = newJobRecord(id)
		users.world.jobs[id] = job
	}
	job.setSpecification(arguments)
	job.body = job.encodeSubmission(arguments, users.recordUpstream(job, arguments))
	return job.body
}

// setSpecification sets the specification of a job from the arguments of its submission.
func (job *jobRecord) setSpecification(arguments Arguments) {
	job.team, job.shape, job.class = arguments.text("team", "red"), arguments.text("shape", "array"), arguments.text("class", "c")
	job.taskCount = int(arguments.number("tasks", "1"))
	job.cpus, job.gpus, job.memory = arguments.number("cpus", "1"), arguments.number("gpus", "0"), arguments.number("memory", "1")
	if types, ok := arguments["types"]; ok {
		job.machineTypes = strings.Split(types, "+")
	}
	job.zone = arguments["zone"]
	job.sameZone, job.scatter, job.allowSpot = arguments.has("same_zone"), arguments.has("scatter"), arguments.has("spot")
	job.broken = arguments.has("broken")
	job.failingTask = 1 + int(arguments.number("broken_task", "-1"))
	job.runTime, job.imageFetchTime = arguments.duration("run", "5s"), arguments.duration("image", "1s")
	job.checkpointInterval, job.checkpointDuration = arguments.duration("checkpoint", "0s"), arguments.duration("checkpoint_cost", "1s")
}

// encodeSubmission returns the body of the request that submits a job.
func (job *jobRecord) encodeSubmission(arguments Arguments, upstream []string) []byte {
	request := submission{
		ID:                 job.id,
		Class:              job.class,
		Team:               job.team,
		Shape:              job.shape,
		Priority:           arguments.text("priority", "normal"),
		TaskCount:          job.taskCount,
		CPUs:               job.cpus,
		GPUs:               job.gpus,
		Memory:             job.memory,
		Image:              arguments.text("image_name", "img"),
		ImageGB:            1,
		MachineTypes:       job.machineTypes,
		SameZone:           job.sameZone,
		Scatter:            job.scatter,
		AllowSpot:          job.allowSpot,
		EstimatedRuntime:   job.runTime.Seconds(),
		CheckpointInterval: job.checkpointInterval.Seconds(),
		CheckpointDuration: job.checkpointDuration.Seconds(),
		Upstream:           upstream,
	}
	if job.zone != "" {
		request.Zone = &job.zone
	}
	body, _ := json.Marshal(request)
	return body
}

// recordUpstream records and returns the upstream jobs of a submission. Once the job is
// accepted, its list is no longer changed by a repeated submission.
func (users *fakeUsers) recordUpstream(job *jobRecord, arguments Arguments) []string {
	text, ok := arguments["awaits"]
	if !ok {
		return nil
	}
	ids, err := parseJobIDs(text)
	if err != nil {
		users.world.reportLimitViolation("upstream jobs of job %s: %v", job.id, err)
		return nil
	}
	if users.world.checker.acknowledgedPhase[job.id] == "" {
		job.upstream = ids
	}
	return ids
}
