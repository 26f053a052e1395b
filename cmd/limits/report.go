package main

import (
	"fmt"
	"os"

	"lugward/internal/jsonwire"
)

// benchReport holds the keys that are read from the report of a bench run. Other keys
// are ignored.
type benchReport struct {
	Scenario string        `json:"scenario"`
	Results  []benchResult `json:"targets"`
}

// benchResult is the result of a run for one objective.
type benchResult struct {
	Kind             string  `json:"kind"`
	Class            string  `json:"class"`
	Within           float64 `json:"within_s"`
	DeadlineMultiple float64 `json:"times"` // multiple of the deadline
	Value            float64 `json:"value"`
}

// name returns the objective's kind with the values that distinguish it from other
// objectives of the same kind.
func (r *benchResult) name() string {
	name := r.Kind
	if r.Class != "" {
		name += " " + r.Class
	}
	if r.Within > 0 {
		name += fmt.Sprintf(" %.0f s", r.Within)
	}
	if r.DeadlineMultiple > 0 {
		name += fmt.Sprintf(" %.1f times", r.DeadlineMultiple)
	}
	return name
}

// reportLines returns the results in a report, one line per objective.
func reportLines(path string) ([]string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var report benchReport
	if err := jsonwire.Unmarshal(raw, &report); err != nil {
		return nil, err
	}
	lines := make([]string, len(report.Results))
	for i := range report.Results {
		result := &report.Results[i]
		lines[i] = fmt.Sprintf("simulated, %s: %s: %.3f", report.Scenario, result.name(), result.Value)
	}
	return lines, nil
}
