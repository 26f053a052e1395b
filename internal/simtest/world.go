// Package simtest plays whole clusters in virtual time: several controllers against stand-ins
// of the state service, the cloud, workers, users and the network, written from their
// published protocols, under faults that a scenario or a random draw causes.
//
// A World holds one deployment. Its Checker watches what must hold at any time, for example
// that no task runs on two machines, from what workers do and what users are answered.
// Scenarios are text files in testdata; their commands are listed in the files commands_*.go.
// The same seed gives the same run: all random draws come from one source, in the order in
// which events are played.
package simtest

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"lugward/internal/config"
)

const (
	stateAddr    = "10.2.0.1:2379"
	cloudAddr    = "10.2.0.2:8443"
	tickInterval = 50 * time.Millisecond
)

// worldStartTime is the time of day at which every world begins.
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
	faultsEndAt     time.Duration // when the last fault that was drawn ends
	limitsAnnounced bool          // the settings tell of lower limits of the state service
	limitViolations []string      // what controllers sent against the limits or the protocol
	log             *slog.Logger
	observer        WireObserver // nil: none
}

// Settings are the JSON settings that every simulated controller gets.
const Settings = `{"label":"n0","site":"a","bind":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081","seeds":[],
"services":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"settings":{"count":3,"zones":["a","b"],
"teams":[{"name":"red","gpus":4,"gpus_max":8},{"name":"blue","gpus":4,"cpus_max":16}],"objectives":[],
"workers":{"report_s":1,"lease_s":10,"gang_wait_s":15,"gang_peer_s":2,"cancel_s":25},
"state":{"rps":100,"write_rps":60,"value_kb":4,"txn_ops":12},
"cloud":{"rps":4,"list_lag_s":2},
"resources":{"core_share":0.1,"ram_mb":100,"max_connections":500},"skew_ms":100}}`

// Options are what a world is made of.
type Options struct {
	Settings    string                 // JSON, "" for the constant Settings
	Controllers int                    // how many there are
	Seed        uint64                 // of all random draws
	Log         io.Writer              // where controllers log to
	Observer    WireObserver           // of every message that a controller receives or sends, nil: none
	Tune        func(*config.Platform) // changes the settings, nil: doesn't
}

// New returns a world with so many controllers and the usual settings.
func New(controllers int, seed uint64, log io.Writer) *World {
	return NewWith(Options{Controllers: controllers, Seed: seed, Log: log})
}

// NewWith returns a world that has just begun. It panics if the settings are invalid.
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

// reportLimitViolation notes that controllers sent what the limits or the protocol forbid.
func (world *World) reportLimitViolation(format string, values ...any) {
	world.limitViolations = append(world.limitViolations, fmt.Sprintf(format, values...))
}

// sortedWorkers lists the workers in an order that does not change from run to run.
func (world *World) sortedWorkers() []*fakeWorker {
	list := make([]*fakeWorker, 0, len(world.workers))
	for _, worker := range world.workers {
		list = append(list, worker)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}

// leader is the controller that the state service shows as leader, nil if there is none.
func (world *World) leader() *controllerProcess {
	var record leaderRecord
	_ = json.Unmarshal(world.stateService.keys[leaderKey].data, &record)
	return world.controller(record.Label)
}

// randomController draws a controller.
func (world *World) randomController() *controllerProcess {
	return world.controllers[world.random.IntN(len(world.controllers))]
}

// controller finds a controller by its name, nil if there is none.
func (world *World) controller(name string) *controllerProcess {
	for _, process := range world.controllers {
		if process.name == name {
			return process
		}
	}
	return nil
}
