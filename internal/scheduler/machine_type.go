package scheduler

import (
	"slices"

	"lugward/internal/pipeline"
)

// MachineType is a machine type as the cloud describes it.
type MachineType struct {
	Index     pipeline.MachineTypeIndex // of its name
	CPUs      float64
	GPUs      float64
	Memory    float64              // GB
	Price     float64              // per hour
	SpotPrice float64              // per hour, of a spot machine
	BootTime  float64              // seconds from the request until the worker is up
	FetchRate float64              // of images, GB per second
	Zones     []pipeline.ZoneIndex // where it is available
}

// MachineTypes holds the machine types by index, nil where unknown.
type MachineTypes []*MachineType

// Get returns a type, or nil.
func (t MachineTypes) Get(index pipeline.MachineTypeIndex) *MachineType {
	if index < 0 || index >= pipeline.MachineTypeIndex(len(t)) {
		return nil
	}
	return t[index]
}

// CanRun reports whether an empty machine of the type can run a task of the job. None
// can of an unknown type, nil.
func (t *MachineType) CanRun(spec *pipeline.Spec) bool {
	if t == nil || !spec.Allows(t.Index) {
		return false
	}
	if spec.CPUs > t.CPUs || spec.GPUs > t.GPUs || spec.Memory > t.Memory {
		return false
	}
	return spec.Zone == pipeline.AnyZone || slices.Contains(t.Zones, spec.Zone)
}
