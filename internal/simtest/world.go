// Package simtest simulates whole clusters in virtual time. Several controllers run against
// fakes of the state service, the cloud, the workers, the users and the network. The fakes are
// written from the published protocols. Faults are injected by scenarios or at random.
//
// A World holds one deployment. Its Checker verifies invariants all the time, for example
// that no task runs on two machines, from what workers execute and which responses users get.
// Scenarios are text files in testdata; their commands are defined in the files commands_*.go.
// A run is deterministic: the same seed gives the same run, because all random numbers come
// from one source and are drawn in the order in which events are executed.
package simtest

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"lugward/internal/config"
	"lugward/internal/jsonwire"
)

const (
	stateAddr    = "10.2.0.1:2379"
	cloudAddr    = "10.2.0.2:8443"
	tickInterval = 50 * time.Millisecond
)

// worldStartTime is the wall-clock time at which every world begins.
var worldStartTime = time.Unix(1_700_000_000, 0)

// World is one simulated deployment.
type World struct {
	virtualTime
	config *config.Platform

	controllers  []*controllerProcess
	stateService *fakeStateService
	cloud        *fakeCloud
	workers      map[string]*fakeWorker // by address
	jobs         map[string]*jobRecord
	checker      *Checker

	network         *fakeNetwork
	users           *fakeUsers
	faultsEndAt     time.Duration // end of the last randomly drawn fault
	faultJobs       []string      // jobs that randomly drawn faults have submitted
	faultKinds      int           // random faults are drawn from this many kinds, the oldest; zero means all
	limitsAnnounced bool          // the settings announce the next limits of the state service
	limitViolations []string      // requests of controllers that violate the limits or the protocol
	log             *slog.Logger
	observer        WireObserver // optional
	limitRounds     bool         // whether scheduling rounds exhaust their budget
	clocks          *rand.Rand   // draws the errors of the controllers' clocks
}

// Settings are the default JSON settings of a simulated deployment.
const Settings = `{"label":"n0","site":"a","bind":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081","seeds":[],
"services":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"settings":{"count":3,"zones":["a","b"],
"teams":[{"name":"red","gpus":4,"gpus_max":8},{"name":"blue","gpus":4,"cpus_max":16}],"objectives":[],
"workers":{"report_s":1,"lease_s":10,"gang_wait_s":15,"gang_peer_s":2,"cancel_s":25},
"state":{"rps":100,"write_rps":60,"value_kb":4,"txn_ops":12},
"cloud":{"rps":4,"list_lag_s":2},
"resources":{"core_share":0.1,"ram_mb":100,"max_connections":500},"skew_ms":100}}`

// Options configure a world.
type Options struct {
	Settings    string                 // JSON; empty for the constant Settings
	Controllers int                    // number of controllers
	Seed        uint64                 // seed of the random number generator
	Log         io.Writer              // destination of the controllers' logs
	Observer    WireObserver           // optional; gets every message that a controller receives or sends
	Tune        func(*config.Platform) // optional; changes the parsed settings
	RoundClock  bool                   // whether scheduling rounds exhaust their budget, see controllerProcess.roundClock
}

// New returns a world with the given number of controllers and the default settings.
func New(controllers int, seed uint64, log io.Writer) *World {
	return NewWith(Options{Controllers: controllers, Seed: seed, Log: log})
}

// NewWith returns a world at virtual time zero whose controllers have started. It panics if
// the settings are invalid.
func NewWith(options Options) *World {
	settings := options.Settings
	if settings == "" {
		settings = Settings
	}
	cfg, err := config.Parse([]byte(settings))
	if err != nil {
		panic(err)
	}
	if options.Tune != nil {
		options.Tune(cfg)
	}
	world := &World{
		virtualTime:     virtualTime{random: rand.New(rand.NewPCG(options.Seed, 1))},
		config:          cfg,
		workers:         map[string]*fakeWorker{},
		jobs:            map[string]*jobRecord{},
		limitsAnnounced: strings.Contains(settings, `"next":`),
		log:             slog.New(slog.NewTextHandler(options.Log, &slog.HandlerOptions{Level: slog.LevelInfo})),
		observer:        options.Observer,
		limitRounds:     options.RoundClock,
		clocks:          rand.New(rand.NewPCG(options.Seed, 2)),
	}
	world.stateService, world.cloud, world.checker = newStateService(world), newCloud(world), newChecker(world)
	world.network, world.users = newNetwork(world), newUsers(world)
	for i := range options.Controllers {
		world.controllers = append(world.controllers, &controllerProcess{world: world, index: i, name: fmt.Sprintf("n%d", i)})
	}
	for _, process := range world.controllers {
		process.boot()
	}
	return world
}

// reportLimitViolation records that a controller sent a request that violates the limits or
// the protocol.
func (world *World) reportLimitViolation(format string, values ...any) {
	world.limitViolations = append(world.limitViolations, fmt.Sprintf(format, values...))
}

// drawClockError draws the difference of a clock's time of day from true time, within the
// clock skew of the settings.
func (world *World) drawClockError() time.Duration {
	skew := world.config.Settings.ClockSkew()
	return time.Duration(world.clocks.Int64N(int64(2*skew+1))) - skew
}

// sortedWorkers returns the workers sorted by name, so that runs are deterministic.
func (world *World) sortedWorkers() []*fakeWorker {
	list := make([]*fakeWorker, 0, len(world.workers))
	for _, worker := range world.workers {
		list = append(list, worker)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}

// leader returns the controller that the leader key of the state service names, or nil if
// there is none.
func (world *World) leader() *controllerProcess {
	var record leaderRecord
	_ = jsonwire.Unmarshal(world.stateService.keys[leaderKey].data, &record)
	return world.controller(record.Label)
}

// randomController returns a random controller.
func (world *World) randomController() *controllerProcess {
	return world.controllers[world.random.IntN(len(world.controllers))]
}

// controller returns the controller with the given name, or nil if there is none.
func (world *World) controller(name string) *controllerProcess {
	for _, process := range world.controllers {
		if process.name == name {
			return process
		}
	}
	return nil
}
