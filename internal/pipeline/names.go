package pipeline

import "lugward/internal/intern"

// ClassIndex is the index of a job class in Names.
type ClassIndex int

// TeamIndex is the index of a team in Names.
type TeamIndex int

// ImageIndex is the index of an image in Names.
type ImageIndex int

// MachineTypeIndex is the index of a machine type in Names.
type MachineTypeIndex int

// ZoneIndex is the index of a zone in Names.
type ZoneIndex int

// MachineIndex is the index of a machine in Names. The index of a removed machine is
// reused. The indices of the other tables are only reused if no accepted job had the name.
type MachineIndex int

// Names holds the tables that map names to the indices used in the other types.
type Names struct {
	Classes      intern.Table[ClassIndex]
	Teams        intern.Table[TeamIndex]
	Images       intern.Table[ImageIndex]
	MachineTypes intern.Table[MachineTypeIndex]
	Zones        intern.Table[ZoneIndex]
	Machines     intern.Table[MachineIndex]
}

// EstimatedBytes returns the estimated memory of the tables.
func (n *Names) EstimatedBytes() int {
	return n.Classes.EstimatedBytes() +
		n.Teams.EstimatedBytes() +
		n.Images.EstimatedBytes() +
		n.MachineTypes.EstimatedBytes() +
		n.Zones.EstimatedBytes() +
		n.Machines.EstimatedBytes()
}
