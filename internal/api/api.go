// Package api serves the users: submissions, polls, cancellations.
package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"regexp"
	"strings"
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
	"lugward/internal/store"
)

// Config are the settings of this slice.
type Config struct {
	Label      string
	Teams      []config.Team
	Answer     time.Duration // a request that is not decided by then gets 503
	ValueBytes int
	TxnOps     int
}

const (
	maxTasks      = 100_000
	retryAfter    = 1  // seconds, told with 503
	maxRetryAfter = 30 // users do not wait for longer, whatever they are told
	// The state service counts as out when nothing of ours got through for
	// this long; requests that need it are then refused at once.
	outageAfter      = time.Second
	maxCancelRetries = 6
)

// Server answers the requests of users.
type Server struct {
	cfg          Config
	names        *pipeline.Names
	jobs         *pipeline.Table
	store        *store.Client
	machineTypes *scheduler.MachineTypes
	teams        map[string]config.Team
	// attempts are the submissions whose list of upstream jobs is being stored.
	pending map[string]*pendingSubmission
}

// New returns the slice.
func New(cfg Config, n *pipeline.Names, t *pipeline.Table, s *store.Client, f *scheduler.MachineTypes) *Server {
	in := &Server{cfg: cfg, names: n, jobs: t, store: s, machineTypes: f, teams: map[string]config.Team{}, pending: map[string]*pendingSubmission{}}
	for _, t := range cfg.Teams {
		in.teams[t.Name] = t
	}
	return in
}

// Handle serves a request below /submissions; it tells whether it was one.
func (in *Server) Handle(now event.Time, r event.Request, out *event.Effects) bool {
	path, _, _ := strings.Cut(r.Path, "?")
	rest, ok := strings.CutPrefix(path, "/submissions")
	if !ok {
		return false
	}
	id, tail, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	switch {
	case rest == "" && r.Method == "POST":
		in.submit(now, r, out)
	case strings.HasPrefix(rest, "/") && id != "" && tail == "" && !strings.HasSuffix(rest, "/") && r.Method == "GET":
		in.poll(now, r.Conn, id, out)
	case strings.HasPrefix(rest, "/") && id != "" && tail == "cancel" && r.Method == "POST":
		in.cancel(now, r.Conn, id, 0, out)
	case rest == "" || (id != "" && (tail == "" || tail == "cancel")):
		out.Reply(r.Conn, 405, nil)
	default:
		out.Reply(r.Conn, 404, nil)
	}
	return true
}

var phaseNames = [...]string{pipeline.Queued: "queued", pipeline.Running: "running", pipeline.Done: "done", pipeline.Cancelled: "cancelled"}

type answer struct {
	ID      string `json:"name_id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

func (in *Server) final(id string, f pipeline.Final) []byte {
	a := answer{ID: id, Phase: phaseNames[f.Phase]}
	if f.Phase == pipeline.Done {
		a.Done = f.N
	}
	b, _ := json.Marshal(a)
	return b
}

// over answers from memory if the job is over, since that never changes: its
// own mark is there, or that of a cancelled job which it needs. Else nil.
func (in *Server) over(id string) []byte {
	if f, ok := in.jobs.Finals[id]; ok {
		return in.final(id, f)
	}
	if j := in.jobs.Job(id); j != nil && j.Version != 0 && j.UpstreamCancelled() {
		return in.final(id, pipeline.Final{Phase: pipeline.Cancelled})
	}
	return nil
}

// state answers from the replica; nil if the job is not known.
func (in *Server) state(id string) []byte {
	if b := in.over(id); b != nil {
		return b
	}
	j := in.jobs.Job(id)
	if j == nil || j.Version == 0 {
		return nil
	}
	a := answer{ID: id, Phase: phaseNames[j.Phase()], Done: j.DoneCount(), Running: j.Active()}
	b, _ := json.Marshal(a)
	return b
}

func (in *Server) unavailable(now event.Time) bool {
	return !in.store.Synced() || (in.store.Outage() && now-in.store.Contact() > outageAfter)
}

// poll answers a final state from memory, since it never changes. Anything
// else waits for a read barrier: no answer may be older than one that any
// node has given.
func (in *Server) poll(now event.Time, conn uint64, id string, out *event.Effects) {
	if b := in.over(id); b != nil {
		out.Reply(conn, 200, b)
		return
	}
	if in.unavailable(now) {
		out.Busy(conn, retryAfter)
		return
	}
	in.store.Barrier(func(_ event.Time, ok bool, out *event.Effects) {
		if !ok {
			out.Busy(conn, retryAfter)
		} else if s := in.state(id); s != nil {
			out.Reply(conn, 200, s)
		} else {
			out.Reply(conn, 404, nil)
		}
	})
}

func (in *Server) cancel(now event.Time, conn uint64, id string, attempts int, out *event.Effects) {
	if b := in.over(id); b != nil {
		out.Reply(conn, 200, b)
		return
	}
	if in.unavailable(now) || attempts >= maxCancelRetries {
		out.Busy(conn, retryAfter)
		return
	}
	j := in.jobs.Job(id)
	if j == nil || j.Version == 0 {
		in.store.Barrier(func(now event.Time, ok bool, out *event.Effects) {
			switch {
			case !ok:
				out.Busy(conn, retryAfter)
			case in.state(id) == nil:
				out.Reply(conn, 404, nil)
			default:
				in.cancel(now, conn, id, attempts+1, out)
			}
		})
		return
	}
	in.store.Submit(&store.Intent{Priority: store.Cancel,
		Conditions: []store.Condition{{Key: pipeline.JobKeyOf(id), Version: j.Version}, {Key: pipeline.FinalKeyOf(id)}},
		Writes:     []store.Write{{Key: pipeline.FinalKeyOf(id), Data: pipeline.EncodeFinal(pipeline.Cancelled, j)}},
		Done: func(r store.Result) {
			switch r.Outcome {
			case store.OK:
				in.cancel(r.Now, conn, id, attempts, r.Out) // answers from the mark
			case store.Refused:
				r.Out.Busy(conn, retryAfter)
			default:
				// Done meanwhile, or carried out unseen: what the store says
				// now decides.
				in.store.Barrier(func(now event.Time, ok bool, out *event.Effects) {
					if !ok {
						out.Busy(conn, retryAfter)
						return
					}
					in.cancel(now, conn, id, attempts+1, out)
				})
			}
		}}, now+in.cfg.Answer)
}

type submission struct {
	ID                 *string   `json:"name_id"`
	Class              *string   `json:"jobclass"`
	Owner              *string   `json:"owner"`
	Shape              *string   `json:"shape"`
	Priority           *string   `json:"rank"`
	Tasks              *int      `json:"shards"`
	CPUs               *float64  `json:"cores"`
	GPUs               *float64  `json:"cards"`
	Memory             *float64  `json:"ram_gb"`
	Image              *string   `json:"bundle"`
	ImageGB            *float64  `json:"image_gb"`
	MachineTypes       []*string `json:"flavors"`
	Zone               *string   `json:"yard"`
	SamePlace          *bool     `json:"same_place"`
	Scatter            *bool     `json:"scatter"`
	AllowSpot          *bool     `json:"loaners"`
	EstimatedRuntime   *float64  `json:"expect_s"`
	CheckpointInterval *float64  `json:"snapshot_every_s"`
	CheckpointDuration *float64  `json:"snapshot_s"`
	Deadline           *float64  `json:"due_s"`
	// Awaits is decoded apart: a repeat is known by its id whatever it lists.
	Awaits json.RawMessage `json:"awaits"`

	upstream []string
}

var (
	idForm     = regexp.MustCompile(`^req-[0-9]{1,19}$`)
	shapes     = map[string]pipeline.Shape{"array": pipeline.Array, "gang": pipeline.Gang, "daemon": pipeline.Daemon}
	priorities = map[string]pipeline.Priority{"production": pipeline.Production, "high": pipeline.High, "normal": pipeline.Normal, "idle": pipeline.Idle}

	errMalformed  = errors.New("malformed")
	errImpossible = errors.New("can never run")
	errAwaits     = errors.New("awaits is not a list of ids")
	errUndecided  = errors.New("machine types are not known yet")
)

func (s *submission) complete() bool {
	for _, p := range []*string{s.ID, s.Class, s.Owner, s.Shape, s.Priority, s.Image} {
		if p == nil || *p == "" {
			return false
		}
	}
	for _, p := range []*float64{s.CPUs, s.GPUs, s.Memory, s.ImageGB, s.EstimatedRuntime, s.CheckpointInterval, s.CheckpointDuration} {
		if p == nil || !(*p >= 0) || math.IsInf(*p, 0) {
			return false
		}
	}
	for _, p := range []*bool{s.SamePlace, s.Scatter, s.AllowSpot} {
		if p == nil {
			return false
		}
	}
	if s.Deadline != nil && !(*s.Deadline >= 0) || s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > maxTasks {
		return false
	}
	if s.Zone != nil && *s.Zone == "" || (s.MachineTypes != nil && len(s.MachineTypes) == 0) {
		return false
	}
	for _, f := range s.MachineTypes {
		if f == nil || *f == "" {
			return false
		}
	}
	_, shapeOK := shapes[*s.Shape]
	_, rankOK := priorities[*s.Priority]
	return shapeOK && rankOK && idForm.MatchString(*s.ID)
}

func parse(body []byte) (*submission, error) {
	s := &submission{}
	if t := bytes.TrimSpace(body); len(t) == 0 || t[0] != '{' || json.Unmarshal(body, s) != nil || !s.complete() {
		return nil, errMalformed
	}
	return s, s.parseAwaits()
}

// parseAwaits reads the list of upstream jobs, each once.
func (s *submission) parseAwaits() error {
	if len(s.Awaits) == 0 {
		return nil
	}
	var list []*string
	if json.Unmarshal(s.Awaits, &list) != nil {
		return errAwaits
	}
	seen := map[string]bool{}
	for _, id := range list {
		if id == nil || !idForm.MatchString(*id) {
			return errAwaits
		}
		if !seen[*id] {
			seen[*id] = true
			s.upstream = append(s.upstream, *id)
		}
	}
	return nil
}

// job turns a submission into a vertex, or says why it can never run.
func (in *Server) job(s *submission) (*pipeline.Job, error) {
	team, ok := in.teams[*s.Owner]
	if !ok {
		return nil, errImpossible
	}
	if len(*in.machineTypes) == 0 {
		return nil, errUndecided
	}
	j := &pipeline.Job{ID: *s.ID, Owner: in.cfg.Label, Ready: true, Spec: pipeline.Spec{
		Shape: shapes[*s.Shape], Priority: priorities[*s.Priority], TaskCount: *s.Tasks, CPUs: *s.CPUs, GPUs: *s.GPUs, Memory: *s.Memory,
		ImageGB: *s.ImageGB, Zone: -1, SamePlace: *s.SamePlace, Scatter: *s.Scatter, AllowSpot: *s.AllowSpot,
		EstimatedRuntime: *s.EstimatedRuntime, CheckpointInterval: *s.CheckpointInterval, CheckpointDuration: *s.CheckpointDuration}}
	if s.Deadline != nil {
		j.Deadline = *s.Deadline
	}
	if s.Zone != nil {
		if j.Zone, ok = in.names.Zones.Lookup(*s.Zone); !ok {
			return nil, errImpossible
		}
	}
	for _, f := range s.MachineTypes {
		if i, ok := in.names.MachineTypes.Lookup(*f); ok {
			j.MachineTypes = append(j.MachineTypes, i)
		}
	}
	if s.MachineTypes != nil && j.MachineTypes == nil {
		return nil, errImpossible
	}
	fits := false
	zones := map[int]bool{}
	for _, f := range *in.machineTypes {
		if scheduler.Allows(&j.Spec, f) {
			fits = true
			for _, z := range f.Zones {
				if j.Zone < 0 || z == j.Zone {
					zones[z] = true
				}
			}
		}
	}
	n := 1.0
	if j.CountsAsWhole() {
		n = float64(j.TaskCount)
	}
	const eps = 1e-6
	if !fits || (team.CPUsMax > 0 && n*j.CPUs > team.CPUsMax+eps) || (team.GPUsMax > 0 && n*j.GPUs > team.GPUsMax+eps) {
		return nil, errImpossible
	}
	if j.Scatter && j.TaskCount > 1 && j.CountsAsWhole() && (j.SamePlace || len(zones) < 2) {
		return nil, errImpossible // at most half in a zone, and all in one
	}
	j.Class, j.Team, j.Image = in.names.Classes.Index(*s.Class), in.names.Teams.Index(*s.Owner), in.names.Images.Index(*s.Image)
	return j, nil
}

// submit accepts a job once its vertex is stored.
func (in *Server) submit(now event.Time, r event.Request, out *event.Effects) {
	s, malformed := parse(r.Body)
	if malformed != nil && s == nil {
		out.Reply(r.Conn, 400, nil)
		return
	}
	id := *s.ID
	if b := in.over(id); b != nil {
		out.Reply(r.Conn, 200, b)
		return
	}
	if in.unavailable(now) {
		out.Busy(r.Conn, retryAfter)
		return
	}
	if j := in.jobs.Job(id); j != nil && j.Version != 0 {
		in.poll(now, r.Conn, id, out) // known: never 400 or 422 from here on
		return
	}
	if malformed != nil {
		in.refuse(r.Conn, id, 400, nil)
		return
	}
	j, err := in.job(s)
	switch {
	case errors.Is(err, errUndecided):
		out.Busy(r.Conn, retryAfter)
	case err != nil:
		in.refuse(r.Conn, id, 422, nil)
	case !in.known(s.upstream):
		// The replica may be behind the node that accepted what it names.
		in.refuse(r.Conn, id, 422, func(now event.Time, out *event.Effects) bool {
			if !in.known(s.upstream) {
				return false
			}
			in.accept(now, r.Conn, j, s.upstream, out)
			return true
		})
	default:
		in.accept(now, r.Conn, j, s.upstream, out)
	}
}

// refuse answers a submission with a status for good, behind a barrier: the job
// may have been accepted a moment ago by a node that knew more. rescue, if set,
// may take the submission after all.
func (in *Server) refuse(conn uint64, id string, status int, rescue func(now event.Time, out *event.Effects) bool) {
	in.store.Barrier(func(now event.Time, ok bool, out *event.Effects) {
		if !ok {
			out.Busy(conn, retryAfter)
		} else if st := in.state(id); st != nil {
			out.Reply(conn, 200, st)
		} else if rescue == nil || !rescue(now, out) {
			out.Reply(conn, status, nil)
		}
	})
}

// known tells whether the replica shows that a new job may await all of a list:
// accepted jobs, so not itself, that are no services.
func (in *Server) known(up []string) bool {
	for _, u := range up {
		if f, ok := in.jobs.Finals[u]; ok {
			if f.Daemon {
				return false
			}
			continue
		}
		if j := in.jobs.Job(u); j == nil || j.Version == 0 || j.Shape == pipeline.Daemon {
			return false
		}
	}
	return true
}

// accept stores the vertex of a job that can run.
func (in *Server) accept(now event.Time, conn uint64, j *pipeline.Job, up []string, out *event.Effects) {
	j.Submitted = in.jobs.UnixMS(now)
	for _, u := range up {
		j.Ready = j.Ready && in.jobs.Finals[u].Phase == pipeline.Done
	}
	if j.Ready {
		j.ReadyAt = j.Submitted
	}
	lists := in.layOutUpstream(j, up)
	data := pipeline.Encode(in.names, j)
	capacity := in.cfg.ValueBytes
	if lists != nil {
		capacity -= versionSize
	}
	if len(data) > capacity {
		out.Reply(conn, 400, nil)
		return
	}
	if best, _ := in.store.Backlog(store.Accept); best > in.cfg.Answer.Seconds() {
		// It would wait for longer than its user does: told so at once, the
		// user is not kept, and what waits already keeps its turn.
		in.later(conn, out)
		return
	}
	id := j.ID
	if lists != nil {
		in.beginUpstreamWrite(now, conn, j, lists, out)
		return
	}
	in.store.Submit(&store.Intent{Priority: store.Accept,
		Conditions: []store.Condition{{Key: pipeline.JobKeyOf(id)}, {Key: pipeline.FinalKeyOf(id)}},
		Writes:     []store.Write{{Key: pipeline.JobKeyOf(id), Data: data}},
		Done: func(res store.Result) {
			switch res.Outcome {
			case store.OK:
				res.Out.Reply(conn, 201, in.accepted(id))
			case store.Refused:
				in.later(conn, res.Out)
			default:
				in.afterUnknown(conn, id)
			}
		}}, now+in.cfg.Answer)
}

// accepted is what the user of a new job is told: if it needs a cancelled one
// it is cancelled at once.
func (in *Server) accepted(id string) []byte {
	if b := in.over(id); b != nil {
		return b
	}
	b, _ := json.Marshal(answer{ID: id, Phase: phaseNames[pipeline.Queued]})
	return b
}

// layOutUpstream puts a list of upstream jobs into the record if it still fits there
// once the record tells when the job became ready; else it returns the values
// of the keys that hold it. A job that is ready needs no list.
func (in *Server) layOutUpstream(j *pipeline.Job, up []string) [][]byte {
	if len(up) == 0 {
		return nil
	}
	j.Upstream = up
	full := *j
	full.Ready, full.ReadyAt = true, j.Submitted+1 // as long as any later time
	if len(pipeline.Encode(in.names, &full)) <= in.cfg.ValueBytes {
		return nil
	}
	if j.Upstream = nil; j.Ready {
		return nil
	}
	lists := pipeline.EncodeParts(up, in.cfg.ValueBytes)
	j.UpstreamParts = len(lists)
	return lists
}

// versionSize is what the version of a list takes in a record at most.
const versionSize = 32

// later refuses a submission for as long as what waits before it takes.
func (in *Server) later(conn uint64, out *event.Effects) {
	_, wait := in.store.Backlog(store.Accept)
	out.Busy(conn, int(math.Ceil(min(max(wait, retryAfter), maxRetryAfter))))
}

// afterUnknown answers a submission whose write conflicted or whose outcome
// did not come: the store is read, nothing is guessed. A write that lands
// after that leaves an accepted job, which a retry then finds.
func (in *Server) afterUnknown(conn uint64, id string) {
	in.store.Barrier(func(_ event.Time, ok bool, out *event.Effects) {
		if st := in.state(id); ok && st != nil {
			out.Reply(conn, 200, st)
		} else {
			out.Busy(conn, retryAfter)
		}
	})
}
