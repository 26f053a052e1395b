package api

import (
	"errors"
	"fmt"

	"lugward/internal/config"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

var (
	// errInfeasible means that no machine, zone or team's limit would ever let
	// the job run.
	errInfeasible = errors.New("job can never run")
	// errMachineTypesUnknown means that the cloud has not been asked yet, so
	// nothing can be said.
	errMachineTypesUnknown = errors.New("machine types are not known yet")
)

// newJob turns a submission into a job. Its errors wrap errInfeasible or are
// errMachineTypesUnknown.
func (s *Server) newJob(sub *submission) (*pipeline.Job, error) {
	team, ok := s.teams[*sub.Owner]
	if !ok {
		return nil, fmt.Errorf("%w: team %q is not known", errInfeasible, *sub.Owner)
	}
	if len(*s.machineTypes) == 0 {
		return nil, errMachineTypesUnknown
	}
	j := &pipeline.Job{ID: *sub.ID, Owner: s.cfg.Label, Ready: true, Spec: sub.spec()}
	if err := s.resolvePlacement(&j.Spec, sub); err != nil {
		return nil, err
	}
	if err := s.checkFeasible(&j.Spec, team); err != nil {
		return nil, err
	}
	// Only an accepted job's names get indices, which are never freed.
	j.Class = s.names.Classes.Index(*sub.Class)
	j.Team = s.names.Teams.Index(*sub.Owner)
	j.Image = s.names.Images.Index(*sub.Image)
	return j, nil
}

// spec returns what the submission says without the names that depend on the site.
func (sub *submission) spec() pipeline.Spec {
	spec := pipeline.Spec{
		Shape:              shapes[*sub.Shape],
		Priority:           priorities[*sub.Priority],
		TaskCount:          *sub.Tasks,
		CPUs:               *sub.CPUs,
		GPUs:               *sub.GPUs,
		Memory:             *sub.Memory,
		ImageGB:            *sub.ImageGB,
		Zone:               anyZone,
		SameZone:           *sub.SamePlace,
		SpreadZones:        *sub.Scatter,
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

// anyZone is the zone of a job that does not name one.
const anyZone = -1

// resolvePlacement looks up the zone and the machine types that the submission
// names. Machine types that the cloud does not offer are left out.
func (s *Server) resolvePlacement(spec *pipeline.Spec, sub *submission) error {
	if sub.Zone != nil {
		zone, ok := s.names.Zones.Lookup(*sub.Zone)
		if !ok {
			return fmt.Errorf("%w: zone %q is not known", errInfeasible, *sub.Zone)
		}
		spec.Zone = zone
	}
	for _, name := range sub.MachineTypes {
		if i, ok := s.names.MachineTypes.Lookup(*name); ok {
			spec.MachineTypes = append(spec.MachineTypes, i)
		}
	}
	if sub.MachineTypes != nil && spec.MachineTypes == nil {
		return fmt.Errorf("%w: none of its machine types is known", errInfeasible)
	}
	return nil
}

// checkFeasible judges a job by the machine types, the zones and its team's limit.
func (s *Server) checkFeasible(spec *pipeline.Spec, team config.Team) error {
	fits, zones := s.usableZones(spec)
	if !fits {
		return fmt.Errorf("%w: a task fits no machine type", errInfeasible)
	}
	if exceedsLimit(spec, team) {
		return fmt.Errorf("%w: it exceeds the limit of team %q", errInfeasible, team.Name)
	}
	// Scattered means at most half in one zone, which one zone can't give.
	scattered := spec.SpreadZones && spec.TaskCount > 1 && spec.CountsAllTasks()
	if scattered && (spec.SameZone || zones < 2) {
		return fmt.Errorf("%w: its tasks cannot be scattered", errInfeasible)
	}
	return nil
}

// usableZones reports whether a task fits a machine type at all, and the number
// of zones that offer such types.
func (s *Server) usableZones(spec *pipeline.Spec) (fits bool, zones int) {
	usable := map[int]bool{}
	for _, machineType := range *s.machineTypes {
		if !scheduler.Allows(spec, machineType) {
			continue
		}
		fits = true
		for _, zone := range machineType.Zones {
			if spec.Zone == anyZone || zone == spec.Zone {
				usable[zone] = true
			}
		}
	}
	return fits, len(usable)
}

// limitTolerance absorbs rounding in sums of fractional CPUs and GPUs.
const limitTolerance = 1e-6

// exceedsLimit reports whether what must run at the same time is more than the
// team may ever use: all tasks of a gang or a daemon, one task of an array.
func exceedsLimit(spec *pipeline.Spec, team config.Team) bool {
	tasks := 1.0
	if spec.CountsAllTasks() {
		tasks = float64(spec.TaskCount)
	}
	return exceeds(tasks*spec.CPUs, team.CPUsMax) || exceeds(tasks*spec.GPUs, team.GPUsMax)
}

// exceeds compares an amount with a limit, where 0 means no limit.
func exceeds(amount, limit float64) bool {
	return limit > 0 && amount > limit+limitTolerance
}
