package api

import (
	"fmt"

	"lugward/internal/config"
	"lugward/internal/pipeline"
)

// newJob creates a job from a submission, without its class and image, see indexNames. It
// returns an *infeasibleError if the job could never run, and an *unavailableError if the
// cloud's machine types are not known yet, as feasibility cannot be checked without them.
func (s *Server) newJob(sub *submission) (*pipeline.Job, error) {
	team, ok := s.teams[*sub.Team]
	if !ok {
		return nil, infeasible(fieldTeam, *sub.Team, "a configured team")
	}
	if len(*s.machineTypes) == 0 {
		return nil, &unavailableError{Reason: "machine types are not known yet", RetryAfter: minRetryAfter}
	}
	j := &pipeline.Job{ID: *sub.ID, Owner: s.cfg.Label, Ready: true, Spec: sub.spec()}
	if err := s.resolvePlacement(&j.Spec, sub); err != nil {
		return nil, err
	}
	if err := s.checkFeasible(&j.Spec, team); err != nil {
		return nil, err
	}
	j.Team = s.names.Teams.Index(*sub.Team)
	return j, nil
}

func infeasible(field string, value any, expected string) error {
	return &infeasibleError{badField{Field: field, Value: value, Expected: expected}}
}

// resolvePlacement resolves the zone and machine type names of a submission. It ignores
// machine types that the cloud does not offer, and returns an *infeasibleError if none of
// the named types remain.
func (s *Server) resolvePlacement(spec *pipeline.Spec, sub *submission) error {
	if sub.Zone != nil {
		zone, ok := s.names.Zones.Lookup(*sub.Zone)
		if !ok {
			return infeasible(fieldZone, *sub.Zone, "a known zone")
		}
		spec.Zone = zone
	}
	for _, name := range sub.MachineTypes {
		if i, ok := s.names.MachineTypes.Lookup(*name); ok {
			spec.AllowMachineType(i)
		}
	}
	if sub.MachineTypes != nil && spec.MachineTypes == nil {
		return infeasible(fieldMachineTypes, fmt.Sprintf("%d unknown names", len(sub.MachineTypes)), "a machine type that the cloud offers")
	}
	return nil
}

// checkFeasible returns an *infeasibleError if the job does not fit the machine types,
// the zones, its team's limit or the controllers' memory.
func (s *Server) checkFeasible(spec *pipeline.Spec, team config.Team) error {
	fits, zones := s.usableZones(spec)
	if !fits {
		return infeasible("", fmt.Sprintf("a task of %v CPUs, %v GPUs and %v GB", spec.CPUs, spec.GPUs, spec.Memory), "a task that fits a machine type")
	}
	if err := checkTeamLimit(spec, team); err != nil {
		return err
	}
	if limit := s.jobs.MaxGangTasks(spec.Priority); spec.IsGang() && spec.TaskCount > limit {
		return infeasible(fieldTasks, spec.TaskCount, fmt.Sprintf("at most %d tasks in a gang, as the controllers keep all of them in memory", limit))
	}
	// Spreading over zones allows at most half of the tasks in one zone, so it needs at
	// least two zones.
	spread := spec.SpreadZones && spec.TaskCount > 1 && spec.CountsAllTasks()
	if spread && (spec.SameZone || zones < 2) {
		return infeasible(fieldSpreadZones, true, "at least two usable zones and no requirement to run in a single zone")
	}
	return nil
}

// usableZones reports whether a task fits any machine type, and the number of allowed
// zones that offer a fitting type.
func (s *Server) usableZones(spec *pipeline.Spec) (fits bool, zones int) {
	usable := map[pipeline.ZoneIndex]bool{}
	for _, machineType := range *s.machineTypes {
		if !machineType.CanRun(spec) {
			continue
		}
		fits = true
		for _, zone := range machineType.Zones {
			if spec.AllowsZone(zone) {
				usable[zone] = true
			}
		}
	}
	return fits, len(usable)
}

// limitTolerance absorbs rounding errors in sums of fractional CPUs and GPUs.
const limitTolerance = 1e-6

// checkTeamLimit returns an *infeasibleError if the tasks that must run at the same time
// exceed the team's limit: all tasks of a gang or daemon, one task of an array.
func checkTeamLimit(spec *pipeline.Spec, team config.Team) error {
	tasks := 1.0
	if spec.CountsAllTasks() {
		tasks = float64(spec.TaskCount)
	}
	if cpus := tasks * spec.CPUs; exceedsLimit(cpus, team.CPUsMax) {
		return infeasible(fieldCPUs, cpus, fmt.Sprintf("at most the %v CPUs of team %q", team.CPUsMax, team.Name))
	}
	if gpus := tasks * spec.GPUs; exceedsLimit(gpus, team.GPUsMax) {
		return infeasible(fieldGPUs, gpus, fmt.Sprintf("at most the %v GPUs of team %q", team.GPUsMax, team.Name))
	}
	return nil
}

// exceedsLimit reports whether an amount exceeds a limit. Zero means no limit.
func exceedsLimit(amount, limit float64) bool {
	return limit > 0 && amount > limit+limitTolerance
}
