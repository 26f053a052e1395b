package main

import (
	"errors"
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"
)

// site holds the keys of the bench's site file that the bounds need. Other keys are
// ignored. All times are in seconds.
type site struct {
	Duration     float64       `toml:"duration_s"`
	Warmup       float64       `toml:"warmup_s"`
	MachineTypes []machineType `toml:"machine_types"`
	Capacity     []capacity    `toml:"capacity"`
	Machines     []machines    `toml:"machines"`
	Jobs         []jobClass    `toml:"jobs"`
	Pipelines    []pipeline    `toml:"pipelines"`
	Objectives   []objective   `toml:"targets"`
}

// machineType is a type of machine. Prices are per hour.
type machineType struct {
	Name             string  `toml:"name"`
	CPUs             float64 `toml:"cpus"`
	GPUs             float64 `toml:"gpus"`
	MemoryGB         float64 `toml:"memory_gb"`
	Price            float64 `toml:"price"` // on demand
	SpotPrice        float64 `toml:"spot_price"`
	FetchGBPerSecond float64 `toml:"fetch_gb_per_s"` // rate at which images are fetched
	BootSeconds      float64 `toml:"boot_s"`         // nominal boot time
}

// capacity is the number of machines of a type in a zone.
type capacity struct {
	Type  string  `toml:"type"`
	Count float64 `toml:"count"` // on demand
	Spot  float64 `toml:"spot"`
}

// machines is a number of machines of a type that are up at the start.
type machines struct {
	Type  string  `toml:"type"`
	Count float64 `toml:"count"`
}

// jobClass describes the jobs of a class.
type jobClass struct {
	Name         string       `toml:"name"`
	CPUs         float64      `toml:"cpus"`
	GPUs         float64      `toml:"gpus"`
	MemoryGB     float64      `toml:"memory_gb"`
	Spot         bool         `toml:"spot"`
	AllowedTypes []string     `toml:"types"` // allowed machine types; empty means all
	Tasks        distribution `toml:"tasks"`
	Run          distribution `toml:"run_s"`
	InitialJobs  float64      `toml:"initial"` // jobs queued at the start
	Arrivals     struct {
		Rate float64 `toml:"rate"`
	} `toml:"arrivals"`
	Images struct {
		GB distribution `toml:"gb"`
	} `toml:"images"`
}

// objective is one of the site's service-level objectives.
type objective struct {
	Kind   string  `toml:"kind"`
	Class  string  `toml:"class"`
	Within float64 `toml:"within_s"`
	Share  float64 `toml:"share"`
}

// Kinds of objectives that have their own bounds.
const (
	kindWait     = "wait"
	kindMakespan = "makespan"
)

// loadSite reads and validates a site file.
func loadSite(path string) (*site, error) {
	s := &site{}
	if _, err := toml.DecodeFile(path, s); err != nil {
		return nil, err
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// validate returns an error if the bounds cannot be computed from the site.
func (s *site) validate() error {
	if !(s.horizon() > 0) {
		return fmt.Errorf("duration_s and warmup_s: expected a positive sum, got %g", s.horizon())
	}
	if len(s.Jobs) == 0 {
		return errors.New("jobs: expected at least one class")
	}
	for i := range s.Jobs {
		job := &s.Jobs[i]
		for _, field := range []struct {
			key   string
			value distribution
		}{{"tasks", job.Tasks}, {"run_s", job.Run}, {"images.gb", job.Images.GB}} {
			if err := field.value.validate(); err != nil {
				return fmt.Errorf("jobs %q: %s: %w", job.Name, field.key, err)
			}
		}
	}
	return nil
}

// horizon returns the duration of the whole simulation in seconds.
func (s *site) horizon() float64 { return s.Warmup + s.Duration }

// allows reports whether the class may run on machines of a type.
func (job *jobClass) allows(machineType string) bool {
	return len(job.AllowedTypes) == 0 || slices.Contains(job.AllowedTypes, machineType)
}
