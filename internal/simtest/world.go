// Package simtest plays whole scenarios in virtual time: several controllers against
// stand-ins of the state service, the cloud and the workers, written from
// their published protocols, with a checker that watches the rules.
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
	now    time.Duration
	events schedule
	seq    int
	random *rand.Rand
	config *config.Platform

	controllers  []*controllerProcess
	stateService *fakeStateService
	cloud        *fakeCloud
	workers      map[string]*fakeWorker // by address
	jobs         map[string]*jobRecord
	checker      *Checker

	cutLinks            map[[2]string]bool
	droppedLinks        map[[2]string]bool // packets that way vanish
	duplicateShare      float64            // share of reports of which a copy comes later, to any node
	duplicateDelay      time.Duration      // by at most this
	unreachableMachines int                // so many of the next machines are unreachable
	entryController     *controllerProcess // whom users ask, nil: any
	heldPackets         []heldPacket
	lossShare           float64 // share of packets between machines that are lost
	lateRepeatShare     float64 // share of calls to the state service and cloud executed late as well
	pageLimit           int
	limitsAnnounced     bool              // the settings tell of lower limits of the state service
	recordedAnswers     map[string]string // to requests that nobody waits for, by what was asked
	serviceMisuses      []string          // errors of the service against its own limits
	log                 *slog.Logger
	observer            WireObserver // nil: none
	activeFaults
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

// New returns a world with so many controllers. tune changes the settings.
func New(nodes int, seed uint64, log io.Writer, tune ...func(*config.Platform)) *World {
	return NewWith(Settings, nodes, seed, log, tune...)
}

// NewWith is New with settings of its own.
func NewWith(settings string, nodes int, seed uint64, log io.Writer, tune ...func(*config.Platform)) *World {
	return NewObserved(settings, nodes, seed, log, nil, tune...)
}

// NewObserved is NewWith with an observer of every message that a controller receives or sends.
func NewObserved(settings string, nodes int, seed uint64, log io.Writer, wire WireObserver, tune ...func(*config.Platform)) *World {
	cfg, err := config.Parse([]byte(settings))
	if err != nil {
		panic(err)
	}
	for _, change := range tune {
		change(cfg)
	}
	world := &World{random: rand.New(rand.NewPCG(seed, 1)), observer: wire, config: cfg, workers: map[string]*fakeWorker{}, jobs: map[string]*jobRecord{},
		cutLinks: map[[2]string]bool{}, droppedLinks: map[[2]string]bool{}, pageLimit: 1000, recordedAnswers: map[string]string{},
		limitsAnnounced: strings.Contains(settings, `"next":`), log: slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelInfo}))}
	world.stateService, world.cloud, world.checker = newState(world), newCloud(world), newChecker(world)
	for i := range nodes {
		world.controllers = append(world.controllers, &controllerProcess{world: world, index: i, name: fmt.Sprintf("n%d", i)})
	}
	for _, process := range world.controllers {
		process.boot()
	}
	return world
}

func (world *World) reportMisuse(f string, values ...any) {
	world.serviceMisuses = append(world.serviceMisuses, fmt.Sprintf(f, values...))
}

// sortedWorkers lists the workers in an order that does not change from run to run.
func (world *World) sortedWorkers() []*fakeWorker {
	var list []*fakeWorker
	for _, worker := range world.workers {
		list = append(list, worker)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}

// leader is the name of the controller that the state service shows as leader.
func (world *World) leader() *controllerProcess {
	var r struct {
		Label string `json:"l"`
	}
	_ = json.Unmarshal(world.stateService.keys["t/lead"].data, &r)
	for _, process := range world.controllers {
		if process.name == r.Label {
			return process
		}
	}
	return nil
}
