package scheduler

import (
	"slices"

	"lugward/internal/pipeline"
)

// MachineType is a machine type as the cloud describes it.
type MachineType struct {
	Index     int // of its name
	CPUs      float64
	GPUs      float64
	Memory    float64 // GB
	Price     float64 // per hour
	SpotPrice float64 // per hour, of a spot machine
	BootTime  float64 // seconds from the request until the worker is up
	FetchRate float64 // of images, GB per second
	Zones     []int   // where it is available
}

// MachineTypes holds the machine types by index, nil where unknown.
type MachineTypes []*MachineType

// Get returns a type, or nil.
func (t MachineTypes) Get(index int) *MachineType {
	if index < 0 || index >= len(t) {
		return nil
	}
	return t[index]
}

// Allows reports whether a type can hold a task of the job at all.
func Allows(spec *pipeline.Spec, machineType *MachineType) bool {
	if machineType == nil || !spec.Allows(machineType.Index) {
		return false
	}
	if spec.CPUs > machineType.CPUs || spec.GPUs > machineType.GPUs || spec.Memory > machineType.Memory {
		return false
	}
	return spec.Zone < 0 || slices.Contains(machineType.Zones, spec.Zone)
}
