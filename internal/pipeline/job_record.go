package pipeline

import "lugward/internal/record"

// EncodeJob returns the encoded job record of a job.
func EncodeJob(names *Names, job *Job) []byte {
	stored := record.Job{
		Class:              names.Classes.Name(job.Class),
		Team:               names.Teams.Name(job.Team),
		Shape:              uint8(job.Shape),
		Priority:           uint8(job.Priority),
		TaskCount:          job.TaskCount,
		CPUs:               job.CPUs,
		GPUs:               job.GPUs,
		Memory:             job.Memory,
		Image:              names.Images.Name(job.Image),
		ImageGB:            job.ImageGB,
		SameZone:           job.SameZone,
		SpreadZones:        job.SpreadZones,
		AllowSpot:          job.AllowSpot,
		EstimatedRuntime:   job.EstimatedRuntime,
		CheckpointInterval: job.CheckpointInterval,
		CheckpointDuration: job.CheckpointDuration,
		Deadline:           job.Deadline,
		Owner:              job.Owner,
		Upstream:           job.Upstream,
		UpstreamPages:      job.UpstreamPages,
		SubmissionRevision: job.SubmissionRevision,
		Ready:              job.Ready,
		SubmittedAt:        job.SubmittedAt,
		ReadyAt:            job.ReadyAt,
		Unknown:            job.unknown,
	}
	for _, machineType := range job.MachineTypes {
		stored.MachineTypes = append(stored.MachineTypes, names.MachineTypes.Name(machineType))
	}
	if job.Zone != AnyZone {
		stored.Zone = names.Zones.Name(job.Zone)
	}
	return stored.Encode()
}

// decodeJob decodes a job record into the job. The job is not changed if there is an error.
func decodeJob(names *Names, data []byte, job *Job) error {
	stored, err := record.DecodeJob(data)
	if err != nil {
		return err
	}
	job.Spec = newSpec(names, &stored)
	job.unknown = stored.Unknown
	job.Owner = stored.Owner
	job.Upstream = stored.Upstream
	job.UpstreamPages = stored.UpstreamPages
	job.SubmissionRevision = stored.SubmissionRevision
	job.Ready = stored.Ready
	job.SubmittedAt = stored.SubmittedAt
	job.ReadyAt = stored.ReadyAt
	return nil
}

// newSpec returns the specification in a job record, with names replaced by indices.
func newSpec(names *Names, stored *record.Job) Spec {
	spec := Spec{
		Class:              names.Classes.Index(stored.Class),
		Team:               names.Teams.Index(stored.Team),
		Shape:              Shape(stored.Shape),
		Priority:           Priority(stored.Priority),
		TaskCount:          stored.TaskCount,
		CPUs:               stored.CPUs,
		GPUs:               stored.GPUs,
		Memory:             stored.Memory,
		Image:              names.Images.Index(stored.Image),
		ImageGB:            stored.ImageGB,
		Zone:               AnyZone,
		SameZone:           stored.SameZone,
		SpreadZones:        stored.SpreadZones,
		AllowSpot:          stored.AllowSpot,
		EstimatedRuntime:   stored.EstimatedRuntime,
		CheckpointInterval: stored.CheckpointInterval,
		CheckpointDuration: stored.CheckpointDuration,
		Deadline:           stored.Deadline,
	}
	for _, machineType := range stored.MachineTypes {
		spec.AllowMachineType(names.MachineTypes.Index(machineType))
	}
	if stored.Zone != "" {
		spec.Zone = names.Zones.Index(stored.Zone)
	}
	return spec
}

// EncodeTerminal returns the encoded terminal record of a job that ends in the given
// phase, which is Done or Cancelled.
func EncodeTerminal(phase Phase, job *Job) []byte {
	return record.Terminal{
		Cancelled: phase == Cancelled,
		TaskCount: job.TaskCount,
		Daemon:    job.Shape == Daemon,
	}.Encode()
}
