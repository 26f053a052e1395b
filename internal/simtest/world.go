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
	stateAddr = "10.2.0.1:2379"
	cloudAddr = "10.2.0.2:8443"
	tickEvery = 50 * time.Millisecond
)

// dayBegin is the time of day at which every world begins.
var dayBegin = time.Unix(1_700_000_000, 0)

// World is one simulated deployment.
type World struct {
	now      time.Duration
	schedule schedule
	seq      int
	rng      *rand.Rand
	cfg      *config.Platform

	nodes   []*node
	state   *state
	cloud   *cloud
	workers map[string]*worker // by address
	jobs    map[string]*job
	check   *Checker

	cut             map[[2]string]bool
	lost            map[[2]string]bool // packets that way vanish
	copies          float64            // share of reports of which a copy comes later, to any node
	copyLate        time.Duration      // by at most this
	unreachableNext int                // so many of the next machines are unreachable
	users           *node              // whom users ask, nil: any
	held            []heldPacket
	loss            float64 // share of packets between machines that are lost
	late            float64 // share of calls to the state service and cloud executed late as well
	pageLimit       int
	announced       bool              // the settings tell of lower limits of the state service
	answers         map[string]string // to requests that nobody waits for, by what was asked
	faults          []string          // errors of the service against its own limits
	log             *slog.Logger
	wire            WireObserver // nil: none
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
	for _, f := range tune {
		f(cfg)
	}
	w := &World{rng: rand.New(rand.NewPCG(seed, 1)), wire: wire, cfg: cfg, workers: map[string]*worker{}, jobs: map[string]*job{},
		cut: map[[2]string]bool{}, lost: map[[2]string]bool{}, pageLimit: 1000, answers: map[string]string{},
		announced: strings.Contains(settings, `"next":`), log: slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelInfo}))}
	w.state, w.cloud, w.check = newState(w), newCloud(w), newChecker(w)
	for i := range nodes {
		w.nodes = append(w.nodes, &node{w: w, index: i, name: fmt.Sprintf("n%d", i)})
	}
	for _, n := range w.nodes {
		n.boot()
	}
	return w
}

func (w *World) fault(f string, a ...any) { w.faults = append(w.faults, fmt.Sprintf(f, a...)) }

// Workers lists the workers in an order that does not change from run to run.
func (w *World) Workers() []*worker {
	var list []*worker
	for _, k := range w.workers {
		list = append(list, k)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}

// Leader is the name of the controller that the state service shows as leader.
func (w *World) Leader() *node {
	var r struct {
		Label string `json:"l"`
	}
	_ = json.Unmarshal(w.state.keys["t/lead"].data, &r)
	for _, n := range w.nodes {
		if n.name == r.Label {
			return n
		}
	}
	return nil
}
