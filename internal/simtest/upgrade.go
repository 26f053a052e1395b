package simtest

import (
	"encoding/json"
	"os"
	"slices"
	"sort"
	"strings"
	"time"
)

// recording is what a version left behind when all its controllers ended: what
// the state service holds and what is on the machines. The files under
// testdata/production were taken down by a run of the version in production
// (TestRecord), so that a change of version is played without its code.
type recording struct {
	Note     string            `json:"note"`
	Revision uint64            `json:"epoch"`
	Keys     []recordedKey     `json:"keys"`
	Leases   map[uint64]int64  `json:"leases"` // life in milliseconds
	Jobs     []recordedJob     `json:"jobs"`
	Machines []recordedMachine `json:"machines"`
	Hires    map[string][]string
}

type recordedKey struct {
	Key     string          `json:"key"`
	Data    json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	LeaseID uint64          `json:"tether,omitempty"`
}

type recordedJob struct {
	Args         Args                  `json:"args"`
	Acknowledged string                `json:"told"`
	Cancelled    bool                  `json:"cancelled,omitempty"`
	Complete     []int                 `json:"complete,omitempty"`
	Progress     map[int]time.Duration `json:"progress,omitempty"`
}

type recordedMachine struct {
	Name, Addr, Flavor, Zone string
	Spot, Up                 bool
	Tenure, Tick, Fence      uint64
	Answered                 time.Duration // since the last report that was answered
	Tasks                    []recordedTask
}

type recordedTask struct {
	Shard  string        `json:"shard"`
	Index  int           `json:"index"`
	Try    uint64        `json:"try"`
	Phase  string        `json:"phase"`
	Cause  string        `json:"cause,omitempty"`
	Stored bool          `json:"stored,omitempty"`
	Ran    time.Duration `json:"ran,omitempty"`
}

// Record takes down what there is. jobs are the arguments of the submissions.
func (w *World) Record(note string, jobs []Args) ([]byte, error) {
	r := recording{Note: note, Revision: w.state.revision, Leases: map[uint64]int64{}, Hires: w.cloud.provisioned}
	for k, v := range w.state.keys {
		r.Keys = append(r.Keys, recordedKey{k, v.data, v.version, v.leaseID})
	}
	sort.Slice(r.Keys, func(a, b int) bool { return r.Keys[a].Key < r.Keys[b].Key })
	for id, l := range w.state.leases {
		r.Leases[id] = l.life.Milliseconds()
	}
	for _, a := range jobs {
		j := w.jobs[a["id"]]
		o := recordedJob{Args: a, Acknowledged: w.check.acknowledged[j.id], Cancelled: w.check.asked[j.id], Progress: j.progress}
		for i := range j.complete {
			o.Complete = append(o.Complete, i)
		}
		slices.Sort(o.Complete)
		r.Jobs = append(r.Jobs, o)
	}
	for _, k := range w.Workers() {
		m := recordedMachine{Name: k.name, Addr: k.addr, Flavor: k.machineType, Zone: k.zone, Spot: k.spot, Up: k.up, Tenure: k.session, Tick: k.sequence,
			Fence: k.token, Answered: w.now - k.leaseFrom}
		for _, t := range k.sorted() {
			o := recordedTask{Shard: t.name, Index: t.index, Try: t.attempt, Phase: t.phase, Cause: t.cause, Stored: t.stored}
			if t.phase == "running" {
				o.Ran = w.now - t.begun
			}
			m.Tasks = append(m.Tasks, o)
		}
		r.Machines = append(r.Machines, m)
	}
	return json.Marshal(r)
}

// Load makes a world that has just begun go on from a recording. Its
// controllers are those of the newer version and begin anew.
func (w *World) Load(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var r recording
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	for _, n := range w.nodes {
		n.kill()
	}
	w.state.load(r)
	for _, o := range r.Jobs {
		w.loadJob(o)
	}
	w.cloud.load(r)
	for _, n := range w.nodes {
		n.boot()
	}
	return nil
}

// load replaces what the state service holds.
func (s *state) load(r recording) {
	s.revision, s.oldest, s.log = r.Revision, r.Revision, nil
	s.leases = map[uint64]*stateLease{}
	for id, ms := range r.Leases {
		life := time.Duration(ms) * time.Millisecond
		s.leases[id] = &stateLease{life, s.w.now + life}
		s.last = max(s.last, id)
	}
	s.keys = map[string]stateKey{}
	for _, k := range r.Keys {
		s.keys[k.Key] = stateKey{data: k.Data, version: k.Version, leaseID: k.LeaseID}
	}
}

func (w *World) loadJob(o recordedJob) {
	w.Body(currentArgs(o.Args))
	j := w.jobs[o.Args["id"]]
	j.submitted, j.asked, j.began = true, 1, 1
	for _, i := range o.Complete {
		j.complete[i] = true
	}
	for i, p := range o.Progress {
		j.progress[i] = p
	}
	w.check.acknowledged[j.id] = o.Acknowledged
	if o.Cancelled {
		w.check.asked[j.id], w.check.cancelAt[j.id] = true, w.now
	}
}

// load replaces the cloud's machines and what runs on them.
func (c *cloud) load(r recording) {
	c.provisioned = r.Hires
	c.machines = map[string]*cloudMachine{}
	if slices.ContainsFunc(r.Machines, func(m recordedMachine) bool { return m.Flavor == recordedGPUType }) {
		c.offeredNames = []string{"small", "big", recordedGPUType}
	}
	for i, m := range r.Machines {
		c.last = max(c.last, i+1)
		k := newWorker(c.w, m.Name, m.Addr, m.Flavor, m.Zone, m.Spot)
		if !m.Up {
			k.die()
			continue
		}
		c.machines[m.Name] = &cloudMachine{name: m.Name, addr: m.Addr, machineType: m.Flavor, zone: m.Zone, spot: m.Spot,
			since: c.w.now - time.Minute, worker: k}
		k.session, k.sequence, k.token, k.leaseFrom = m.Tenure, m.Tick, m.Fence, c.w.now-m.Answered
		for _, o := range m.Tasks {
			k.resume(o)
		}
	}
}

// resume puts a task where it was recorded.
func (k *worker) resume(o recordedTask) {
	w := k.w
	j := w.jobs[o.Shard[:strings.LastIndexByte(o.Shard, '/')]]
	t := &task{on: k, job: j, name: o.Shard, index: o.Index, attempt: o.Try, phase: o.Phase, cause: o.Cause, stored: o.Stored, begun: w.now - o.Ran}
	switch {
	case o.Phase == "exited":
		k.tasks[o.Shard] = t
	case o.Phase != "running" || j.shape == "gang" && len(j.complete) > 0:
		// Its image is fetched anew: the machine had it or nearly so.
		k.start(order{Verb: "start", Task: o.Shard, Attempt: o.Try})
	case j.shape == "gang":
		k.tasks[o.Shard] = t
		w.check.noteOnMachine(t)
		k.images[j.id] = true
		g := j.gangs[t.attempt]
		if g == nil {
			g = &gang{tasks: map[int]*task{}, stopped: map[int]bool{}}
			j.gangs[t.attempt] = g
		}
		g.tasks[t.index] = t
		if len(g.tasks) == j.taskCount {
			g.started = true
			w.endsAfter(j, g, j.run-j.progress[0]-o.Ran)
		}
	default:
		k.tasks[o.Shard] = t
		w.check.noteOnMachine(t)
		k.images[j.id] = true
		if j.shape == "array" {
			w.later(t, j.run-j.progress[t.index]-o.Ran, func() {
				j.complete[t.index] = true
				w.ended(j)
				k.exit(t, "done", false)
			})
		}
	}
}

// recordedArgNames are the names of a submission's arguments in recordings,
// where they differ from those of scenarios.
var recordedArgNames = map[string]string{"shards": "tasks", "cores": "cpus", "cards": "gpus", "ram": "memory", "flavors": "types", "yard": "zone",
	"same": "same_zone", "loaners": "spot", "snap": "checkpoint", "cost": "checkpoint_cost", "rank": "priority"}

// currentArgs returns a recorded submission's arguments by their present names.
func currentArgs(recorded Args) Args {
	args := Args{}
	for name, value := range recorded {
		if current, ok := recordedArgNames[name]; ok {
			name = current
		}
		args[name] = value
	}
	return args
}
