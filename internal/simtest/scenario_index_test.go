package simtest

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// indexEntry matches the line of a scenario in the index.
var indexEntry = regexp.MustCompile("(?m)^- `([^`]+)`: .+$")

// TestScenarioIndex checks that the index of the scenarios lists each file exactly once
// and no other file.
func TestScenarioIndex(t *testing.T) {
	index, err := os.ReadFile("testdata/README.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]int{}
	for _, entry := range indexEntry.FindAllSubmatch(index, -1) {
		listed[string(entry[1])]++
	}
	for _, file := range scenarioFiles(t) {
		name := filepath.Base(file)
		if listed[name] != 1 {
			t.Errorf("%s is listed %d times in the index, want 1", name, listed[name])
		}
		delete(listed, name)
	}
	for name := range listed {
		t.Errorf("%s is listed in the index, but there is no such scenario file", name)
	}
}
