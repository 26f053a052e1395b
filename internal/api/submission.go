package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"regexp"

	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

type submission struct {
	ID                 *string   `json:"name_id"`
	Class              *string   `json:"jobclass"`
	Owner              *string   `json:"owner"`
	Shape              *string   `json:"shape"`
	Priority           *string   `json:"rank"`
	Tasks              *int      `json:"shards"`
	CPUs               *float64  `json:"cores"`
	GPUs               *float64  `json:"cards"`
	Memory             *float64  `json:"ram_gb"`
	Image              *string   `json:"bundle"`
	ImageGB            *float64  `json:"image_gb"`
	MachineTypes       []*string `json:"flavors"`
	Zone               *string   `json:"yard"`
	SamePlace          *bool     `json:"same_place"`
	Scatter            *bool     `json:"scatter"`
	AllowSpot          *bool     `json:"loaners"`
	EstimatedRuntime   *float64  `json:"expect_s"`
	CheckpointInterval *float64  `json:"snapshot_every_s"`
	CheckpointDuration *float64  `json:"snapshot_s"`
	Deadline           *float64  `json:"due_s"`
	// Awaits is decoded apart: a repeat is known by its id whatever it lists.
	Awaits json.RawMessage `json:"awaits"`

	upstream []string
}

var (
	idForm     = regexp.MustCompile(`^req-[0-9]{1,19}$`)
	shapes     = map[string]pipeline.Shape{"array": pipeline.Array, "gang": pipeline.Gang, "daemon": pipeline.Daemon}
	priorities = map[string]pipeline.Priority{"production": pipeline.Production, "high": pipeline.High, "normal": pipeline.Normal, "idle": pipeline.Idle}

	errMalformed  = errors.New("malformed")
	errImpossible = errors.New("can never run")
	errAwaits     = errors.New("awaits is not a list of ids")
	errUndecided  = errors.New("machine types are not known yet")
)

func (s *submission) complete() bool {
	for _, p := range []*string{s.ID, s.Class, s.Owner, s.Shape, s.Priority, s.Image} {
		if p == nil || *p == "" {
			return false
		}
	}
	for _, p := range []*float64{s.CPUs, s.GPUs, s.Memory, s.ImageGB, s.EstimatedRuntime, s.CheckpointInterval, s.CheckpointDuration} {
		if p == nil || !(*p >= 0) || math.IsInf(*p, 0) {
			return false
		}
	}
	for _, p := range []*bool{s.SamePlace, s.Scatter, s.AllowSpot} {
		if p == nil {
			return false
		}
	}
	if s.Deadline != nil && !(*s.Deadline >= 0) || s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > maxTasks {
		return false
	}
	if s.Zone != nil && *s.Zone == "" || (s.MachineTypes != nil && len(s.MachineTypes) == 0) {
		return false
	}
	for _, f := range s.MachineTypes {
		if f == nil || *f == "" {
			return false
		}
	}
	_, shapeOK := shapes[*s.Shape]
	_, rankOK := priorities[*s.Priority]
	return shapeOK && rankOK && idForm.MatchString(*s.ID)
}

func parse(body []byte) (*submission, error) {
	s := &submission{}
	if t := bytes.TrimSpace(body); len(t) == 0 || t[0] != '{' || json.Unmarshal(body, s) != nil || !s.complete() {
		return nil, errMalformed
	}
	return s, s.parseAwaits()
}

// parseAwaits reads the list of upstream jobs, each once.
func (s *submission) parseAwaits() error {
	if len(s.Awaits) == 0 {
		return nil
	}
	var list []*string
	if json.Unmarshal(s.Awaits, &list) != nil {
		return errAwaits
	}
	seen := map[string]bool{}
	for _, id := range list {
		if id == nil || !idForm.MatchString(*id) {
			return errAwaits
		}
		if !seen[*id] {
			seen[*id] = true
			s.upstream = append(s.upstream, *id)
		}
	}
	return nil
}

// job turns a submission into a vertex, or says why it can never run.
func (in *Server) job(s *submission) (*pipeline.Job, error) {
	team, ok := in.teams[*s.Owner]
	if !ok {
		return nil, errImpossible
	}
	if len(*in.machineTypes) == 0 {
		return nil, errUndecided
	}
	j := &pipeline.Job{ID: *s.ID, Owner: in.cfg.Label, Ready: true, Spec: pipeline.Spec{
		Shape: shapes[*s.Shape], Priority: priorities[*s.Priority], TaskCount: *s.Tasks, CPUs: *s.CPUs, GPUs: *s.GPUs, Memory: *s.Memory,
		ImageGB: *s.ImageGB, Zone: -1, SamePlace: *s.SamePlace, Scatter: *s.Scatter, AllowSpot: *s.AllowSpot,
		EstimatedRuntime: *s.EstimatedRuntime, CheckpointInterval: *s.CheckpointInterval, CheckpointDuration: *s.CheckpointDuration}}
	if s.Deadline != nil {
		j.Deadline = *s.Deadline
	}
	if s.Zone != nil {
		if j.Zone, ok = in.names.Zones.Lookup(*s.Zone); !ok {
			return nil, errImpossible
		}
	}
	for _, f := range s.MachineTypes {
		if i, ok := in.names.MachineTypes.Lookup(*f); ok {
			j.MachineTypes = append(j.MachineTypes, i)
		}
	}
	if s.MachineTypes != nil && j.MachineTypes == nil {
		return nil, errImpossible
	}
	fits := false
	zones := map[int]bool{}
	for _, f := range *in.machineTypes {
		if scheduler.Allows(&j.Spec, f) {
			fits = true
			for _, z := range f.Zones {
				if j.Zone < 0 || z == j.Zone {
					zones[z] = true
				}
			}
		}
	}
	n := 1.0
	if j.CountsAsWhole() {
		n = float64(j.TaskCount)
	}
	const eps = 1e-6
	if !fits || (team.CPUsMax > 0 && n*j.CPUs > team.CPUsMax+eps) || (team.GPUsMax > 0 && n*j.GPUs > team.GPUsMax+eps) {
		return nil, errImpossible
	}
	if j.Scatter && j.TaskCount > 1 && j.CountsAsWhole() && (j.SamePlace || len(zones) < 2) {
		return nil, errImpossible // at most half in a zone, and all in one
	}
	j.Class, j.Team, j.Image = in.names.Classes.Index(*s.Class), in.names.Teams.Index(*s.Owner), in.names.Images.Index(*s.Image)
	return j, nil
}
