package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"

	"lugward/internal/pipeline"
)

// maxTasks is the largest number of tasks of a job, as the protocol has it.
const maxTasks = 100_000

// submission is the body of a submission. Pointers tell what is missing from
// what is zero.
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
	// Upstream is decoded by upstreamJobs, not with the rest: a repeat of an
	// accepted submission is recognized by its ID, whatever its list says.
	Upstream json.RawMessage `json:"awaits"`
}

var (
	idPattern = regexp.MustCompile(`^req-[0-9]{1,19}$`)

	shapes = map[string]pipeline.Shape{
		"array":  pipeline.Array,
		"gang":   pipeline.Gang,
		"daemon": pipeline.Daemon,
	}
	priorities = map[string]pipeline.Priority{
		"production": pipeline.Production,
		"high":       pipeline.High,
		"normal":     pipeline.Normal,
		"idle":       pipeline.Idle,
	}

	// errMalformed means that the body is not a submission.
	errMalformed = errors.New("malformed submission")
	// errUpstreamList means that the list of upstream jobs is not one of job IDs.
	errUpstreamList = errors.New("malformed list of upstream jobs")
)

// parseSubmission decodes a body and checks all but the list of upstream jobs.
// Its errors wrap errMalformed.
func parseSubmission(body []byte) (*submission, error) {
	trimmed := bytes.TrimSpace(body)
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, fmt.Errorf("%w: not a JSON object", errMalformed)
	}
	sub := &submission{}
	if err := json.Unmarshal(body, sub); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if !sub.valid() {
		return nil, fmt.Errorf("%w: a field is missing or out of range", errMalformed)
	}
	return sub, nil
}

func (sub *submission) valid() bool {
	return sub.validNames() && sub.validAmounts() && sub.validPlacement()
}

func (sub *submission) validNames() bool {
	for _, name := range []*string{sub.ID, sub.Class, sub.Owner, sub.Shape, sub.Priority, sub.Image} {
		if name == nil || *name == "" {
			return false
		}
	}
	_, knownShape := shapes[*sub.Shape]
	_, knownPriority := priorities[*sub.Priority]
	return knownShape && knownPriority && idPattern.MatchString(*sub.ID)
}

func (sub *submission) validAmounts() bool {
	for _, amount := range []*float64{
		sub.CPUs, sub.GPUs, sub.Memory, sub.ImageGB,
		sub.EstimatedRuntime, sub.CheckpointInterval, sub.CheckpointDuration,
	} {
		if amount == nil || !(*amount >= 0) || math.IsInf(*amount, 0) {
			return false
		}
	}
	if sub.Deadline != nil && !(*sub.Deadline >= 0) {
		return false
	}
	return sub.Tasks != nil && *sub.Tasks >= 1 && *sub.Tasks <= maxTasks
}

func (sub *submission) validPlacement() bool {
	for _, flag := range []*bool{sub.SamePlace, sub.Scatter, sub.AllowSpot} {
		if flag == nil {
			return false
		}
	}
	if sub.Zone != nil && *sub.Zone == "" {
		return false
	}
	if sub.MachineTypes != nil && len(sub.MachineTypes) == 0 {
		return false
	}
	for _, name := range sub.MachineTypes {
		if name == nil || *name == "" {
			return false
		}
	}
	return true
}

// upstreamJobs decodes the list of upstream jobs, each ID once. Its error is
// errUpstreamList.
func (sub *submission) upstreamJobs() ([]string, error) {
	if len(sub.Upstream) == 0 {
		return nil, nil
	}
	var list []*string
	if json.Unmarshal(sub.Upstream, &list) != nil {
		return nil, errUpstreamList
	}
	var upstream []string
	seen := map[string]bool{}
	for _, id := range list {
		if id == nil || !idPattern.MatchString(*id) {
			return nil, errUpstreamList
		}
		if !seen[*id] {
			seen[*id] = true
			upstream = append(upstream, *id)
		}
	}
	return upstream, nil
}
