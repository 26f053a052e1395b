package main

import (
	"errors"
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"
)

// site is what the bounds need of the bench's site file. Other keys are ignored.
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

// machineType is a type of machine; prices are for an hour.
type machineType struct {
	Name      string  `toml:"name"`
	CPUs      float64 `toml:"cpus"`
	GPUs      float64 `toml:"gpus"`
	Memory    float64 `toml:"memory_gb"`
	Price     float64 `toml:"price"` // on demand
	SpotPrice float64 `toml:"spot_price"`
	Fetch     float64 `toml:"fetch_gb_per_s"` // of images
	Boot      float64 `toml:"boot_s"`         // nominal
}

// capacity is how many machines of a type a zone has.
type capacity struct {
	Type  string  `toml:"type"`
	Count float64 `toml:"count"` // on demand
	Spot  float64 `toml:"spot"`
}

// machines are machines that are up at the start.
type machines struct {
	Type  string  `toml:"type"`
	Count float64 `toml:"count"`
}

// jobClass describes the jobs of a class.
type jobClass struct {
	Name     string       `toml:"name"`
	CPUs     float64      `toml:"cpus"`
	GPUs     float64      `toml:"gpus"`
	Memory   float64      `toml:"memory_gb"`
	Spot     bool         `toml:"spot"`
	Types    []string     `toml:"types"` // allowed machine types, none: all
	Tasks    distribution `toml:"tasks"`
	Run      distribution `toml:"run_s"`
	Initial  float64      `toml:"initial"` // jobs there at the start
	Arrivals struct {
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

// The kinds of objectives that have a bound of their own.
const (
	kindWait     = "wait"
	kindMakespan = "makespan"
)

// loadSite reads and checks a site file.
func loadSite(path string) (*site, error) {
	s := &site{}
	if _, err := toml.DecodeFile(path, s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// check refuses what the bounds can't be computed from.
func (s *site) check() error {
	if !(s.horizon() > 0) {
		return errors.New("duration_s and warmup_s: their sum must be positive")
	}
	if len(s.Jobs) == 0 {
		return errors.New("jobs: at least one class is expected")
	}
	for i := range s.Jobs {
		job := &s.Jobs[i]
		for _, field := range []struct {
			key   string
			value distribution
		}{{"tasks", job.Tasks}, {"run_s", job.Run}, {"images.gb", job.Images.GB}} {
			if err := field.value.check(); err != nil {
				return fmt.Errorf("jobs %q: %s: %w", job.Name, field.key, err)
			}
		}
	}
	return nil
}

// horizon is the length of the whole simulation in seconds.
func (s *site) horizon() float64 { return s.Warmup + s.Duration }

// allows reports whether the class may run on machines of a type.
func (job *jobClass) allows(machineType string) bool {
	return len(job.Types) == 0 || slices.Contains(job.Types, machineType)
}
