package api

import (
	"bytes"
	"fmt"
	"math"

	"lugward/internal/jsonwire"
	"lugward/internal/pipeline"
)

// parseSubmission decodes a request body and validates it, except for the list of
// upstream jobs. Its errors are of type *malformedError.
func parseSubmission(body []byte) (*submission, error) {
	trimmed := bytes.TrimSpace(body)
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, malformed("", nil, "a JSON object")
	}
	sub := &submission{}
	if err := jsonwire.Unmarshal(body, sub); err != nil {
		return nil, &malformedError{badField: badField{Value: err, Expected: "valid JSON with the documented field types"}, Err: err}
	}
	for _, check := range []func() error{sub.identity.check, sub.amounts.check, sub.placement.check} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return sub, nil
}

func malformed(field string, value any, expected string) error {
	return &malformedError{badField: badField{Field: field, Value: value, Expected: expected}}
}

func (id *identity) check() error {
	for _, name := range []struct {
		field string
		value *string
	}{
		{fieldID, id.ID},
		{fieldClass, id.Class},
		{fieldTeam, id.Team},
		{fieldShape, id.Shape},
		{fieldPriority, id.Priority},
		{fieldImage, id.Image},
	} {
		if name.value == nil || *name.value == "" {
			return malformed(name.field, nil, "a non-empty string")
		}
	}
	if _, known := shapes[*id.Shape]; !known {
		return malformed(fieldShape, *id.Shape, "array, gang or daemon")
	}
	if _, known := priorities[*id.Priority]; !known {
		return malformed(fieldPriority, *id.Priority, "production, high, normal or idle")
	}
	if !jobIDPattern.MatchString(*id.ID) {
		return malformed(fieldID, *id.ID, jobIDPattern.String())
	}
	return nil
}

func (a *amounts) check() error {
	for _, amount := range []struct {
		field string
		value *float64
	}{
		{fieldCPUs, a.CPUs},
		{fieldGPUs, a.GPUs},
		{fieldMemory, a.MemoryGB},
		{fieldImageSize, a.ImageGB},
		{fieldEstimatedRuntime, a.EstimatedRuntime},
		{fieldCheckpointInterval, a.CheckpointInterval},
		{fieldCheckpointDuration, a.CheckpointDuration},
	} {
		const expected = "a finite, non-negative number"
		if amount.value == nil {
			return malformed(amount.field, nil, expected)
		}
		if !(*amount.value >= 0) || math.IsInf(*amount.value, 0) {
			return malformed(amount.field, *amount.value, expected)
		}
	}
	if a.Deadline != nil && !(*a.Deadline >= 0) {
		return malformed(fieldDeadline, *a.Deadline, "a non-negative number")
	}
	if a.Tasks == nil {
		return malformed(fieldTasks, nil, "a number of tasks")
	}
	if *a.Tasks < 1 || *a.Tasks > maxTasks {
		return malformed(fieldTasks, *a.Tasks, fmt.Sprintf("1 to %d tasks", maxTasks))
	}
	return nil
}

func (p *placement) check() error {
	for _, flag := range []struct {
		field string
		value *bool
	}{
		{fieldSameZone, p.SameZone},
		{fieldSpreadZones, p.SpreadZones},
		{fieldAllowSpot, p.AllowSpot},
	} {
		if flag.value == nil {
			return malformed(flag.field, nil, "true or false")
		}
	}
	if p.Zone != nil && *p.Zone == "" {
		return malformed(fieldZone, `""`, "a zone name")
	}
	if p.MachineTypes != nil && len(p.MachineTypes) == 0 {
		return malformed(fieldMachineTypes, "an empty list", "a list of machine type names")
	}
	for _, name := range p.MachineTypes {
		if name == nil || *name == "" {
			return malformed(fieldMachineTypes, nil, "a list of machine type names")
		}
	}
	return nil
}

// upstreamJobs decodes the list of upstream jobs and removes duplicate IDs. Its errors
// are of type *malformedError.
func (sub *submission) upstreamJobs() ([]string, error) {
	if len(sub.Upstream) == 0 {
		return nil, nil
	}
	const expected = "a list of job IDs"
	var list []*string
	if err := jsonwire.Unmarshal(sub.Upstream, &list); err != nil {
		return nil, &malformedError{badField: badField{Field: fieldUpstream, Value: err, Expected: expected}, Err: err}
	}
	var upstream []string
	seen := map[string]bool{}
	for _, id := range list {
		if id == nil {
			return nil, malformed(fieldUpstream, "null", expected)
		}
		if !jobIDPattern.MatchString(*id) {
			return nil, malformed(fieldUpstream, *id, expected)
		}
		if !seen[*id] {
			seen[*id] = true
			upstream = append(upstream, *id)
		}
	}
	return upstream, nil
}

// spec converts a submission into a job spec, without the zone and the machine types,
// which depend on what the cloud offers.
func (sub *submission) spec() pipeline.Spec {
	spec := pipeline.Spec{
		Shape:              shapes[*sub.Shape],
		Priority:           priorities[*sub.Priority],
		TaskCount:          *sub.Tasks,
		CPUs:               *sub.CPUs,
		GPUs:               *sub.GPUs,
		Memory:             *sub.MemoryGB,
		ImageGB:            *sub.ImageGB,
		Zone:               pipeline.AnyZone,
		SameZone:           *sub.SameZone,
		SpreadZones:        *sub.SpreadZones,
		AllowSpot:          *sub.AllowSpot,
		EstimatedRuntime:   *sub.EstimatedRuntime,
		CheckpointInterval: *sub.CheckpointInterval,
		CheckpointDuration: *sub.CheckpointDuration,
	}
	if sub.Deadline != nil {
		spec.Deadline = *sub.Deadline
	}
	return spec
}
