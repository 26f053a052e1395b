package scheduler

import (
	"slices"

	"lugward/internal/pipeline"
)

// MachineType is a machine type as described by the cloud.
type MachineType struct {
	Index     pipeline.MachineTypeIndex // index of the type's name
	CPUs      float64
	GPUs      float64
	Memory    float64              // GB
	Price     float64              // per hour
	SpotPrice float64              // per hour, for a spot machine
	BootTime  float64              // seconds from the request until the worker is up
	FetchRate float64              // rate of fetching images, in GB per second
	Zones     []pipeline.ZoneIndex // zones that offer the type
}

// MachineTypes holds the machine types by index. Unknown types are nil.
type MachineTypes []*MachineType

// Get returns the machine type with the given index, or nil if it is unknown.
func (t MachineTypes) Get(index pipeline.MachineTypeIndex) *MachineType {
	if index < 0 || index >= pipeline.MachineTypeIndex(len(t)) {
		return nil
	}
	return t[index]
}

// CanRun reports whether an empty machine of the type can run a task with the given spec.
// It returns false for an unknown type, which is nil.
func (t *MachineType) CanRun(spec *pipeline.Spec) bool {
	if t == nil || !spec.Allows(t.Index) {
		return false
	}
	if spec.CPUs > t.CPUs || spec.GPUs > t.GPUs || spec.Memory > t.Memory {
		return false
	}
	return spec.Zone == pipeline.AnyZone || slices.Contains(t.Zones, spec.Zone)
}
