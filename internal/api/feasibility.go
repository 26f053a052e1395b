package api

import (
	"fmt"

	"lugward/internal/config"
	"lugward/internal/pipeline"
)

// newJob turns a submission into a job. Its errors are *infeasibleError if the job
// could never run, and *unavailableError while the cloud has not been asked for its
// machine types, so that nothing can be said.
func (s *Server) newJob(sub *submission) (*pipeline.Job, error) {
	team, ok := s.teams[*sub.Team]
	if !ok {
		return nil, infeasible(fieldTeam, *sub.Team, "a team of the settings")
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
	// Only an accepted job's names get indices, which are never freed.
	j.Class = s.names.Classes.Index(*sub.Class)
	j.Team = s.names.Teams.Index(*sub.Team)
	j.Image = s.names.Images.Index(*sub.Image)
	return j, nil
}

func infeasible(field string, value any, expected string) error {
	return &infeasibleError{badField{Field: field, Value: value, Expected: expected}}
}

// resolvePlacement looks up the zone and the machine types that the submission
// names. Machine types that the cloud does not offer are left out.
func (s *Server) resolvePlacement(spec *pipeline.Spec, sub *submission) error {
	if sub.Zone != nil {
		zone, ok := s.names.Zones.Lookup(*sub.Zone)
		if !ok {
			return infeasible(fieldZone, *sub.Zone, "a zone of the site")
		}
		spec.Zone = zone
	}
	for _, name := range sub.MachineTypes {
		if i, ok := s.names.MachineTypes.Lookup(*name); ok {
			spec.MachineTypes = append(spec.MachineTypes, i)
		}
	}
	if sub.MachineTypes != nil && spec.MachineTypes == nil {
		return infeasible(fieldMachineTypes, fmt.Sprintf("%d unknown names", len(sub.MachineTypes)), "a machine type that the cloud offers")
	}
	return nil
}

// checkFeasible judges a job by the machine types, the zones and its team's limit.
func (s *Server) checkFeasible(spec *pipeline.Spec, team config.Team) error {
	fits, zones := s.usableZones(spec)
	if !fits {
		return infeasible("", fmt.Sprintf("a task of %v CPUs, %v GPUs and %v GB", spec.CPUs, spec.GPUs, spec.Memory), "a task that fits a machine type")
	}
	if err := checkTeamLimit(spec, team); err != nil {
		return err
	}
	// Spread means at most half of the tasks in one zone, which one zone can't give.
	spread := spec.SpreadZones && spec.TaskCount > 1 && spec.CountsAllTasks()
	if spread && (spec.SameZone || zones < 2) {
		return infeasible(fieldSpreadZones, true, "two usable zones at least, and tasks that may run in both")
	}
	return nil
}

// usableZones reports whether a task fits a machine type at all, and the number
// of zones that offer such types.
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

// limitTolerance absorbs rounding in sums of fractional CPUs and GPUs.
const limitTolerance = 1e-6

// checkTeamLimit refuses a job of which more must run at the same time than the
// team may ever use: all tasks of a gang or a daemon, one task of an array.
func checkTeamLimit(spec *pipeline.Spec, team config.Team) error {
	tasks := 1.0
	if spec.CountsAllTasks() {
		tasks = float64(spec.TaskCount)
	}
	if cpus := tasks * spec.CPUs; exceeds(cpus, team.CPUsMax) {
		return infeasible(fieldCPUs, cpus, fmt.Sprintf("at most the %v CPUs of team %q", team.CPUsMax, team.Name))
	}
	if gpus := tasks * spec.GPUs; exceeds(gpus, team.GPUsMax) {
		return infeasible(fieldGPUs, gpus, fmt.Sprintf("at most the %v GPUs of team %q", team.GPUsMax, team.Name))
	}
	return nil
}

// exceeds compares an amount with a limit, where 0 means no limit.
func exceeds(amount, limit float64) bool {
	return limit > 0 && amount > limit+limitTolerance
}
