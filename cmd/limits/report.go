package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// benchReport is what is printed of a bench report. Other keys are ignored.
type benchReport struct {
	Scenario string `json:"scenario"`
	Targets  []struct {
		Kind   string  `json:"kind"`
		Class  string  `json:"class"`
		Within float64 `json:"within_s"`
		Times  float64 `json:"times"`
		Value  float64 `json:"value"`
	} `json:"targets"`
}

// printReport prints what a run reached.
func printReport(path string, w io.Writer) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var r benchReport
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	for _, t := range r.Targets {
		name := t.Kind
		if t.Class != "" {
			name += " " + t.Class
		}
		if t.Within > 0 {
			name += fmt.Sprintf(" %.0f s", t.Within)
		}
		if t.Times > 0 {
			name += fmt.Sprintf(" %.1f times", t.Times)
		}
		fmt.Fprintf(w, "simulated, %s: %s: %.3f\n", r.Scenario, name, t.Value)
	}
	return nil
}
