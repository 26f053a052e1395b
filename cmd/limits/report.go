package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// benchReport is what is read of the report of a run of the bench. Other keys are
// ignored.
type benchReport struct {
	Scenario string        `json:"scenario"`
	Results  []benchResult `json:"targets"`
}

// benchResult is what a run reached of one objective.
type benchResult struct {
	Kind   string  `json:"kind"`
	Class  string  `json:"class"`
	Within float64 `json:"within_s"`
	Times  float64 `json:"times"` // multiple of the deadline
	Value  float64 `json:"value"`
}

// name returns the objective with what sets it apart from others of its kind.
func (r *benchResult) name() string {
	name := r.Kind
	if r.Class != "" {
		name += " " + r.Class
	}
	if r.Within > 0 {
		name += fmt.Sprintf(" %.0f s", r.Within)
	}
	if r.Times > 0 {
		name += fmt.Sprintf(" %.1f times", r.Times)
	}
	return name
}

// reportLines says what a run reached, one line for each objective.
func reportLines(path string) ([]string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var report benchReport
	if err := json.Unmarshal(raw, &report); err != nil {
		return nil, err
	}
	lines := make([]string, len(report.Results))
	for i := range report.Results {
		result := &report.Results[i]
		lines[i] = fmt.Sprintf("simulated, %s: %s: %.3f", report.Scenario, result.name(), result.Value)
	}
	return lines, nil
}
