package pipeline

import "lugward/internal/record"

// EncodeJob returns the stored form of a job.
func EncodeJob(n *Names, j *Job) []byte {
	stored := record.Job{
		Class:              n.Classes.Name(j.Class),
		Team:               n.Teams.Name(j.Team),
		Shape:              uint8(j.Shape),
		Priority:           uint8(j.Priority),
		TaskCount:          j.TaskCount,
		CPUs:               j.CPUs,
		GPUs:               j.GPUs,
		Memory:             j.Memory,
		Image:              n.Images.Name(j.Image),
		ImageGB:            j.ImageGB,
		SameZone:           j.SameZone,
		SpreadZones:        j.SpreadZones,
		AllowSpot:          j.AllowSpot,
		EstimatedRuntime:   j.EstimatedRuntime,
		CheckpointInterval: j.CheckpointInterval,
		CheckpointDuration: j.CheckpointDuration,
		Deadline:           j.Deadline,
		Owner:              j.Owner,
		Upstream:           j.Upstream,
		UpstreamPages:      j.UpstreamPages,
		SubmissionRevision: j.SubmissionRevision,
		Ready:              j.Ready,
		SubmittedAt:        j.SubmittedAt,
		ReadyAt:            j.ReadyAt,
		Unknown:            j.unknown,
	}
	for _, machineType := range j.MachineTypes {
		stored.MachineTypes = append(stored.MachineTypes, n.MachineTypes.Name(machineType))
	}
	if j.Zone >= 0 {
		stored.Zone = n.Zones.Name(j.Zone)
	}
	return stored.Encode()
}

// decodeJob decodes a job's stored form into the job, which stays as it was if there
// is an error.
func decodeJob(n *Names, data []byte, j *Job) error {
	stored, err := record.DecodeJob(data)
	if err != nil {
		return err
	}
	j.Spec = newSpec(n, &stored)
	j.unknown = stored.Unknown
	j.Owner = stored.Owner
	j.Upstream = stored.Upstream
	j.UpstreamPages = stored.UpstreamPages
	j.SubmissionRevision = stored.SubmissionRevision
	j.Ready = stored.Ready
	j.SubmittedAt = stored.SubmittedAt
	j.ReadyAt = stored.ReadyAt
	return nil
}

// newSpec returns what a job record asks for, with indices in place of the names.
func newSpec(n *Names, stored *record.Job) Spec {
	spec := Spec{
		Class:              n.Classes.Index(stored.Class),
		Team:               n.Teams.Index(stored.Team),
		Shape:              Shape(stored.Shape),
		Priority:           Priority(stored.Priority),
		TaskCount:          stored.TaskCount,
		CPUs:               stored.CPUs,
		GPUs:               stored.GPUs,
		Memory:             stored.Memory,
		Image:              n.Images.Index(stored.Image),
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
		spec.MachineTypes = append(spec.MachineTypes, n.MachineTypes.Index(machineType))
	}
	if stored.Zone != "" {
		spec.Zone = n.Zones.Index(stored.Zone)
	}
	return spec
}

// EncodeTerminal returns the stored form of the terminal record of a job that ends in
// a phase, which is Done or Cancelled.
func EncodeTerminal(phase Phase, j *Job) []byte {
	return record.Terminal{
		Cancelled: phase == Cancelled,
		TaskCount: j.TaskCount,
		Daemon:    j.Shape == Daemon,
	}.Encode()
}
