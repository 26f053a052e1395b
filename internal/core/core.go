// Package core routes inputs to the slices. It is a state machine: inputs and
// the time come in, effects go out.
package core

import (
	"encoding/json"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"lugward/internal/api"
	"lugward/internal/autoscaler"
	"lugward/internal/config"
	"lugward/internal/election"
	"lugward/internal/event"
	"lugward/internal/peer"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
	"lugward/internal/store"
	"lugward/internal/worker"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 2 * time.Second // a peer not heard for this long is taken to be away
	// A controller that has neither the state service nor a peer for this long
	// is the one that is cut off.
	isolatedAfter   = 5 * time.Second
	planInterval    = time.Second
	roundIdle       = 2 * time.Second // a round without a change, for what time brings
	workersInterval = 50 * time.Millisecond
	packInterval    = 2 * time.Second
	cleanInterval   = time.Second
	cleanJobs       = 2
	staleAfter      = 3 * time.Second
	versionStagger  = time.Second
	versionRetry    = 5 * time.Second  // between two attempts to store the version
	loadLogInterval = 10 * time.Second // between two lines of the log about the load
	// A leader that hears no worker for this long gives the term up.
	noReportsTimeout = 12 * time.Second
	// A report is answered when its consequences are stored, or after this.
	answerTimeout = 400 * time.Millisecond
	// The report of a machine without tasks is held for longer: nothing on it
	// can change meanwhile, and a start that is decided then need not wait for
	// the next report. The worker waits for 4 s.
	idleAnswerTimeout = 2500 * time.Millisecond
	// Reports held so take one in so many sockets at most: where machines are
	// more than sockets, the others need them.
	idleSocketDivisor = 4
	// A worker that is back within this time after it was sent to the leader
	// did not reach it; its reports are passed on for a while.
	redirectWindow = 20 * time.Second
	relayDuration  = 45 * time.Second
	relayTimeout   = 3 * time.Second
	// The state service's rates: everyone is sure of a part, the rest goes
	// where it is asked for, to the leader before the others.
	// Of the requests a part is left for what others still have in flight. Of
	// the writes none is: one that is refused is sent again at once.
	requestsShare   = 0.9
	guaranteedShare = 0.25 // dealt evenly whatever is asked for
	demandMargin    = 1.3
	leaderWeight    = 3
)

type peerState struct {
	label     string
	lastHeard event.Time
	heartbeat peer.Frame
}

// replyTo is where an answer to a report goes: to a connection of ours, or
// through the peer that passed the report on.
type replyTo struct {
	conn  uint64
	peer  int
	relay uint64 // 0: it is a connection of ours
}

// workerRoute is what a node that does not lead remembers of a worker.
type workerRoute struct {
	token    uint64     // of the leader it was sent to
	sent     event.Time // when
	relaying event.Time // since when its reports are passed on, 0: they are not
}

// Node is one controller.
type Node struct {
	cfg        *config.Platform
	log        *slog.Logger
	names      *pipeline.Names
	store      *store.Client
	election   *election.Election
	jobs       *pipeline.Table
	workers    *worker.Registry
	scheduler  *scheduler.Scheduler
	autoscaler *autoscaler.Autoscaler
	api        *api.Server
	peers      []*peerState

	clock        func() time.Duration
	leading      bool
	heartbeatAt  event.Time
	roundAt      event.Time
	planAt       event.Time
	packAt       event.Time
	workersAt    event.Time
	cleanAt      event.Time
	loadAt       event.Time
	publishing   bool       // the version's key is being written
	publishAt    event.Time // when it may be tried again
	lastReportAt event.Time // a worker's report, as leader
	yielded      bool       // our last term was given up for want of reports, and no worker has come since
	blocked      []*pipeline.Job
	capacities   []*scheduler.Capacity
	parser       worker.Parser
	work         Work
	waiting      reports
	routes       map[string]*workerRoute
	relayed      map[uint64]pendingRelay
	lastRelay    uint64
}

// New builds a controller. clock bounds decision rounds and may be nil.
func New(cfg *config.Platform, log *slog.Logger, clock func() time.Duration) *Node {
	s := &cfg.Settings
	n := &Node{cfg: cfg, log: log, names: &pipeline.Names{}, clock: clock, routes: map[string]*workerRoute{}, relayed: map[uint64]pendingRelay{}}
	teams := map[int]config.Team{}
	for _, t := range s.Teams {
		teams[n.names.Teams.Index(t.Name)] = t
	}
	// The layout of run records follows from the present limit, which is all
	// that the version in production knows.
	limits := s.State.Lasting()
	n.jobs = pipeline.NewTable(n.names, int(s.State.ValueKB*1024), limits.TxnOps)
	n.jobs.ValueLimit = int(limits.ValueKB * 1024)
	lease := config.Seconds(s.Workers.LeaseS)
	grace := election.GraceFor(config.Seconds(s.Workers.CancelS), lease)
	// A leader answers reports only while its replica is fresher than the
	// grace: where cancellations have little time, an idle one must not age.
	n.store = store.New(cfg.Services.State, store.Limits{TxnOps: limits.TxnOps, RPS: s.State.RPS, WriteRPS: s.State.WriteRPS,
		NextRPS: limits.RPS, NextWriteRPS: limits.WriteRPS, StaleAfter: min(staleAfter, grace/4)}, n.listen)
	n.store.Log = log
	labels := []string{cfg.Label}
	for _, p := range cfg.Seeds {
		labels = append(labels, p.Label)
		n.peers = append(n.peers, &peerState{label: p.Label, lastHeard: -time.Hour})
	}
	sort.Strings(labels)
	n.jobs.Labels = labels
	n.election = election.New(election.Config{Label: cfg.Label, Position: sort.SearchStrings(labels, cfg.Label), TermLease: time.Duration(cfg.Operator.Term.Life),
		WorkerLease: lease, Grace: grace}, n.store, log)
	n.workers = worker.New(n.names, n.jobs, log)
	n.workers.SilentAfter = n.silent()
	n.autoscaler = autoscaler.New(autoscaler.Config{ValueBytes: n.jobs.ValueLimit, Addr: cfg.Services.Cloud, RPS: s.Cloud.RPS, ListLag: config.Seconds(s.Cloud.ListLagS),
		IdleKeep: time.Duration(cfg.Operator.Autoscaler.IdleKeep), Settle: time.Duration(cfg.Operator.Autoscaler.Settle)}, n.names, n.jobs, n.workers, n.store, log)
	n.scheduler = &scheduler.Scheduler{Jobs: n.jobs, Workers: n.workers, MachineTypes: &n.autoscaler.MachineTypes, Teams: teams, ReportInterval: config.Seconds(s.Workers.ReportS), SilentAfter: n.silent()}
	n.api = api.New(api.Config{Label: cfg.Label, Teams: s.Teams, Answer: time.Duration(cfg.Operator.API.Answer),
		ValueBytes: n.jobs.ValueLimit, TxnOps: limits.TxnOps}, n.names, n.jobs, n.store, &n.autoscaler.MachineTypes)
	n.share(0)
	return n
}

// silent is how long a worker may be quiet before nothing more is given to it.
func (n *Node) silent() time.Duration {
	return config.Seconds(2.5*n.cfg.Settings.Workers.ReportS) + time.Second
}

// share sets our part of the state service's rates by what each controller
// says it could use; one that we do not hear counts with its sure part.
// It returns what we could use ourselves.
func (n *Node) share(now event.Time) (requests, writes float64) {
	rps, writeRPS := n.store.Rates()
	requests, writes = n.store.Demand(now)
	n.store.SetShare(n.split(requestsShare*rps, requests, func(f *peer.Frame) uint16 { return f.Requests }),
		n.split(writeRPS, writes, func(f *peer.Frame) uint16 { return f.Writes }))
	return requests, writes
}

func (n *Node) split(rate, own float64, want func(f *peer.Frame) uint16) float64 {
	guaranteed := guaranteedShare * rate / float64(len(n.peers)+1)
	claim := func(want float64, leads bool) store.Claim {
		c := store.Claim{Want: max(guaranteed, demandMargin*want), Weight: 1}
		if leads {
			c.Weight = leaderWeight
		}
		return c
	}
	claims := []store.Claim{claim(own, n.leading)}
	for _, p := range n.peers {
		if n.alive(p) {
			claims = append(claims, claim(float64(want(&p.heartbeat)), p.heartbeat.IsLeader))
		} else {
			claims = append(claims, claim(0, false))
		}
	}
	return store.Split(rate, claims)[0]
}

func (n *Node) listen(key string, data []byte, version uint64) {
	kind, rest := store.SplitKey(key)
	switch kind {
	case election.Kind:
		n.election.Listen(key, data, version)
	case autoscaler.Kind, autoscaler.RetireKind:
		n.autoscaler.Listen(kind, rest, data, version)
	default:
		n.jobs.Listen(kind, rest, data, version)
	}
}

// Clock tells the time of day at a steady time: other processes count what is
// stored from another start.
func (n *Node) Clock(now event.Time, wall time.Time) { n.jobs.SetClock(now, wall) }

// Tick advances time.
func (n *Node) Tick(now event.Time, out *event.Effects) {
	n.jobs.Now = int64(now)
	n.store.Tick(now, out)
	n.election.Tick(now, out)
	n.updateLeadership(now, out)
	n.sendHeartbeat(now, out)
	n.expireRelays(now, out)
	n.publishVersion(now)
	n.markJobs(now)
	n.api.Tick(now, out)
	if !n.election.MayStart(now) {
		if !n.leading {
			n.autoscaler.Types(now, nil, out)
		}
		n.answer(now, out)
		return
	}
	n.actAsLeader(now, out)
	n.store.Tick(now, out)
	n.answer(now, out)
}

// updateLeadership notices the begin and the end of our term.
func (n *Node) updateLeadership(now event.Time, out *event.Effects) {
	if n.election.Acquired() {
		n.leading = true
		n.jobs.Reset()
		n.workers.Reset()
		n.autoscaler.Begin(now, n.election.FencingToken())
		n.blocked, n.capacities = nil, nil
		n.lastReportAt = now
		n.share(now)
	}
	if n.leading && !n.election.Holds() {
		n.leading = false
		n.jobs.Reset()
		n.workers.Reset()
		n.autoscaler.Forget()
		n.blocked, n.capacities = nil, nil
		n.share(now)
	}
	if n.leading && now >= n.reportDeadline() && n.expectsReports() {
		// Whoever can reach the workers shall have the term.
		n.yielded = true
		n.election.Resign(now, out, "no worker is heard")
		n.updateLeadership(now, out)
	}
}

// reportDeadline is until when a leader waits for a worker's report. If it gave a
// term up for that before and no worker has come to it since, none may be left,
// and terms given up one after the other would keep the proof that the tasks of
// silent machines have terminated from ever being reached: it stays until then.
func (n *Node) reportDeadline() event.Time {
	if n.yielded {
		return n.election.TasksExpireAt(n.lastReportAt) + noReportsTimeout
	}
	return n.lastReportAt + noReportsTimeout
}

// expectsReports tells whether there are workers that ought to report.
func (n *Node) expectsReports() bool {
	used := n.autoscaler.HasSilentMachines()
	n.jobs.MachinesInUse(func(int) { used = true })
	for _, h := range n.workers.Machines {
		used = used || (h != nil && h.LastReport > 0)
	}
	return used
}

func (n *Node) alive(p *peerState) bool { return n.heartbeatAt-p.lastHeard < heartbeatTimeout }

// actAsLeader is the leader's work.
func (n *Node) actAsLeader(now event.Time, out *event.Effects) {
	if now-n.workersAt >= workersInterval {
		n.workersAt = now
		n.workers.Tick(now, n.election, out)
		n.drain(now)
	}
	n.autoscaler.Tick(now, n.election, n.election.Condition(), n.silent(), out)
	since := now - n.roundAt
	n.jobs.Changed = n.jobs.Changed || n.autoscaler.Replan
	if (n.jobs.Changed && since >= time.Duration(n.cfg.Operator.Scheduler.Round)) || since >= roundIdle {
		n.roundAt, n.jobs.Changed = now, false
		n.startBudget()
		n.work.Rounds++
		n.blocked, n.capacities = n.scheduler.Round(now)
		if now-n.planAt >= planInterval || n.autoscaler.Replan {
			n.planAt, n.autoscaler.Replan = now, false
			n.autoscaler.Plan(now, n.blocked, n.scheduler, n.election.FencingToken(), out)
		}
	}
	if now-n.packAt >= packInterval && n.capacities != nil {
		n.packAt = now
		n.startBudget()
		for _, h := range n.scheduler.Pack(now, n.capacities, n.blocked) {
			n.log.Info("draining machine", "machine", h.Name)
		}
	}
	n.logLoad(now)
	n.jobs.Flush(now, n.election.Condition(), n.store)
	n.jobs.FlushRetries(now, n.election.Condition(), n.store)
	if now-n.cleanAt >= cleanInterval {
		n.cleanAt = now
		n.jobs.Clean(now, n.election.Condition(), n.store, cleanJobs)
		n.jobs.ExpandRecords(cleanJobs)
		n.jobs.DeleteStaleParts(now, n.election.Condition(), n.store)
	}
}

// startBudget gives the scheduler the time of one round.
func (n *Node) startBudget() {
	if n.clock != nil {
		begin, budget := n.clock(), time.Duration(n.cfg.Operator.Scheduler.Budget)
		n.scheduler.OverBudget = func() bool { return n.clock()-begin > budget }
	}
}

// logLoad tells how much work there is and what is being done about it.
func (n *Node) logLoad(now event.Time) {
	if now-n.loadAt < loadLogInterval {
		return
	}
	n.loadAt = now
	var seen [pipeline.Exited + 1]int
	var jobs, open, stopping, unstored int
	for _, j := range n.jobs.Jobs {
		if j == nil || j.Final != pipeline.Queued {
			continue
		}
		if j.OpenCount() > 0 {
			jobs, open = jobs+1, open+j.OpenCount()
		}
		j.Entries(func(e *pipeline.Entry) {
			seen[e.Phase]++
			if e.Evict {
				stopping++
			}
			if !e.Durable {
				unstored++
			}
		})
	}
	up, idle, free := 0, 0, 0.0
	for _, r := range n.capacities {
		up++
		if !r.Busy {
			idle++
		}
		free += r.GPUs
	}
	_, writes := n.store.Demand(now)
	n.log.Info("load", "jobs_waiting", jobs, "tasks_waiting", open, "unstored", unstored, "ordered", seen[pipeline.Unseen], "fetching", seen[pipeline.Pulling],
		"waiting_for_gang", seen[pipeline.Waiting], "running", seen[pipeline.RunningTask], "stopping", stopping, "machines", up, "idle", idle, "gpus_free", free,
		"reserved", n.scheduler.Reserved(), "cut_short", n.scheduler.Interrupted, "compact", n.jobs.Compact(), "writes", int(writes))
	n.scheduler.Interrupted = 0
}

// Work counts what was done on behalf of the inputs: at any size it is to
// follow what has changed.
type Work struct {
	Reports             int // that were read
	Decoded, Unchanged  int // bytes of reports that were decoded, and compared only
	Rounds              int
	CapacitiesRecounted int // machine capacities that were counted anew
}

// Work returns the counts since the process began.
func (n *Node) Work() Work {
	w := n.work
	w.Decoded, w.Unchanged, w.CapacitiesRecounted = n.parser.Decoded, n.parser.Unchanged, n.scheduler.Recounted
	return w
}

// drain moves work off machines that the cloud is about to take.
func (n *Node) drain(now event.Time) {
	const margin = 4 * time.Second // for the stop to arrive and be answered
	for _, h := range n.workers.Machines {
		if h == nil || h.ReclaimAt == 0 {
			continue
		}
		for _, e := range n.jobs.OnMachine(h.Index) {
			if e.Job.CheckpointInterval > 0 && h.ReclaimAt-now < config.Seconds(e.Job.CheckpointDuration)+margin {
				n.workers.Evict(e, e.Job.CheckpointDuration+1)
			}
		}
	}
}

// markJobs writes the ready marks of held jobs and the cancelled marks of jobs
// below a cancelled one, of those that we own and as leader of those whose owner
// can't. Each write requires the record as it was, so two owners do no harm.
func (n *Node) markJobs(now event.Time) {
	if !n.store.Synced() {
		return
	}
	ours := func(j *pipeline.Job) bool {
		return j.Owner == n.cfg.Label || (n.leading && !n.ownerWrites(j.Owner))
	}
	n.jobs.MarkReady(now, n.store, ours)
	n.jobs.MarkUpstreamCancelled(now, n.store, ours)
}

// publishVersion stores, once, that this controller runs this version. It is in no
// hurry: after a start of all, terms and users go first and the controllers
// follow one another.
func (n *Node) publishVersion(now event.Time) {
	key := pipeline.VersionKey + "/" + n.cfg.Label
	if n.publishing || !n.store.Synced() || n.store.Version(key) != 0 || n.election.Holder() == "" {
		return
	}
	if n.publishAt == 0 {
		n.publishAt = now + versionRetry + versionStagger*event.Time(slices.Index(n.jobs.Labels, n.cfg.Label))
	}
	if now < n.publishAt {
		return
	}
	n.publishing = true
	n.store.Submit(&store.Intent{Priority: store.Progress, Conditions: []store.Condition{{Key: key}},
		Writes: []store.Write{{Key: key, Data: pipeline.Version}},
		Done: func(r store.Result) {
			n.publishing, n.publishAt = false, r.Now+versionRetry
		}}, now+time.Minute)
}

// ownerWrites tells whether an owner can be left to mark its jobs: one that the
// state service alone refuses is heard all the same.
func (n *Node) ownerWrites(label string) bool {
	for _, p := range n.peers {
		if p.label == label {
			return n.alive(p) && p.heartbeat.StateOK
		}
	}
	return false
}

func (n *Node) sendHeartbeat(now event.Time, out *event.Effects) {
	if now-n.heartbeatAt < heartbeatInterval {
		return
	}
	n.heartbeatAt = now
	f := peer.Frame{Kind: peer.Heartbeat, Label: n.cfg.Label, StateOK: n.store.Synced() && !n.store.Outage(), IsLeader: n.leading}
	if n.leading {
		f.FencingToken = n.election.FencingToken()
	}
	requests, writes := n.share(now)
	f.Requests, f.Writes = uint16(min(requests, math.MaxUint16)), uint16(min(writes, math.MaxUint16))
	data := peer.Append(nil, &f)
	for i := range n.peers {
		out.Send(i, data)
	}
}

// Frame takes a frame from another controller.
func (n *Node) Frame(now event.Time, f event.PeerFrame, out *event.Effects) {
	fr, err := peer.Decode(f.Data)
	if err != nil {
		n.log.Debug("bad frame", "err", err)
		return
	}
	for i, p := range n.peers {
		if p.label != fr.Label {
			continue
		}
		switch fr.Kind {
		case peer.Heartbeat:
			p.lastHeard, p.heartbeat = now, fr
			if fr.IsLeader {
				n.election.ObserveToken(fr.FencingToken)
			}
		case peer.Relay:
			rep, err := n.parser.Parse(fr.Body)
			if err == nil && n.leading && n.election.MayAnswer(now) {
				n.report(now, replyTo{peer: i, relay: fr.ID}, rep, out)
			} else {
				n.respond(replyTo{peer: i, relay: fr.ID}, 503, nil, out)
			}
		case peer.RelayAck:
			if w, ok := n.relayed[fr.ID]; ok {
				delete(n.relayed, fr.ID)
				n.respond(replyTo{conn: w.conn}, int(fr.Status), fr.Body, out)
			}
		}
	}
}

// CallDone takes the outcome of a call of ours.
func (n *Node) CallDone(now event.Time, d event.CallDone, out *event.Effects) {
	n.jobs.Now = int64(now)
	if n.store.CallDone(now, d, out) {
		n.updateLeadership(now, out)
		if n.leading && n.election.MayStart(now) {
			n.actAsLeader(now, out)
			n.store.Tick(now, out)
		}
		n.answer(now, out)
		return
	}
	if n.autoscaler.CallDone(now, d, out) || n.workers.CallDone(d, n.election, out) {
		return
	}
}

// Request takes an HTTP request.
func (n *Node) Request(now event.Time, r event.Request, out *event.Effects) {
	switch {
	case r.Path == "/healthz":
		n.handleHealth(now, r, out)
	case r.Path == "/hello":
		if r.Method != "POST" {
			out.Reply(r.Conn, 405, nil)
			return
		}
		n.handleReport(now, r, out)
	case n.api.Handle(now, r, out):
		n.store.Tick(now, out)
	default:
		out.Reply(r.Conn, 404, nil)
	}
}

// handleHealth: a node that alone is refused by the state service, or that hears
// nobody any more, sends users to the others; in an outage that all share,
// staying healthy lets the service resume at once.
func (n *Node) handleHealth(now event.Time, r event.Request, out *event.Effects) {
	ok := n.store.Synced()
	if without := now - n.store.Contact(); ok && n.store.Outage() && without > heartbeatTimeout {
		// Users' connections stay where they are while the node is healthy: for
		// as long as it is cut off nobody would tell them about their jobs.
		isolated := len(n.peers) > 0 && without > isolatedAfter
		for _, p := range n.peers {
			if n.alive(p) {
				isolated = false
				ok = ok && !p.heartbeat.StateOK
			}
		}
		ok = ok && !isolated
	}
	if ok {
		out.Reply(r.Conn, 200, nil)
	} else {
		out.Busy(r.Conn, 1)
	}
}

// handleReport takes a worker's report.
func (n *Node) handleReport(now event.Time, r event.Request, out *event.Effects) {
	n.work.Reports++
	rep, err := n.parser.Parse(r.Body)
	if err != nil {
		out.Reply(r.Conn, 400, nil)
		return
	}
	n.yielded = false
	if !n.leading || !n.election.MayAnswer(now) {
		n.election.ObserveToken(rep.FencingToken)
		n.relayOrRedirect(now, r, rep.Machine, out)
		return
	}
	n.report(now, replyTo{conn: r.Conn}, rep, out)
}

// report takes a report as leader.
func (n *Node) report(now event.Time, from replyTo, rep *worker.Report, out *event.Effects) {
	if n.autoscaler.Released(rep.Machine) || !n.workers.TakeReport(rep, now, n.election) {
		n.respond(from, 503, nil, out)
		return
	}
	n.lastReportAt, n.yielded = now, false
	// An older report that still waits has lost its worker, and its list
	// proves nothing any more.
	w := &waitingReport{from: from, report: rep, machine: n.names.Machines.Index(rep.Machine), since: now}
	if old := n.waiting.add(w); old != nil {
		n.respond(old.from, 503, nil, out)
	}
	if n.election.MayStart(now) {
		n.actAsLeader(now, out)
	}
	n.store.Tick(now, out)
	n.answer(now, out)
}

func (n *Node) respond(to replyTo, status int, body []byte, out *event.Effects) {
	switch {
	case to.relay != 0:
		out.Send(to.peer, peer.Append(nil, &peer.Frame{Kind: peer.RelayAck, Label: n.cfg.Label, ID: to.relay, Status: uint16(status), Body: body}))
	case status == 503:
		out.Busy(to.conn, 1)
	default:
		out.Reply(to.conn, status, body)
	}
}

// relayOrRedirect sends a worker to the leader. One that comes back soon cannot reach
// it: its reports are passed on over the peer link, so that a cut between two
// zones costs no lease as long as some node reaches both sides. The leader
// treats them like any other; a late one is merely old.
func (n *Node) relayOrRedirect(now event.Time, r event.Request, machine string, out *event.Effects) {
	holder := n.election.Holder()
	link := -1
	for i, p := range n.peers {
		if p.label == holder && n.alive(p) {
			link = i
		}
	}
	p := n.routes[machine]
	if token := n.election.HolderToken(); p == nil || p.token != token {
		p = &workerRoute{token: token, sent: -redirectWindow}
		n.routes[machine] = p
	}
	switch {
	case link < 0 && now-p.sent < redirectWindow:
		// It came back, and we do not reach the leader either.
		out.Reply(r.Conn, 421, nil)
	case link < 0 || now-p.sent >= redirectWindow || (p.relaying != 0 && now-p.relaying > relayDuration):
		p.sent, p.relaying = now, 0
		n.redirect(r.Conn, out)
	default:
		if p.relaying == 0 {
			p.relaying = now
			n.log.Info("relaying reports", "machine", machine, "to", holder)
		}
		p.sent = now
		n.lastRelay++
		n.relayed[n.lastRelay] = pendingRelay{r.Conn, now}
		out.Send(link, peer.Append(nil, &peer.Frame{Kind: peer.Relay, Label: n.cfg.Label, ID: n.lastRelay, Body: r.Body}))
	}
}

// expireRelays answers workers whose passed-on report nobody answered.
func (n *Node) expireRelays(now event.Time, out *event.Effects) {
	for _, id := range slices.Sorted(maps.Keys(n.relayed)) {
		if p := n.relayed[id]; now-p.since > relayTimeout {
			delete(n.relayed, id)
			out.Busy(p.conn, 1)
		}
	}
}

type pendingRelay struct {
	conn  uint64
	since event.Time
}

func (n *Node) redirect(conn uint64, out *event.Effects) {
	holder := n.election.Holder()
	if holder == "" || holder == n.cfg.Label {
		out.Reply(conn, 421, nil)
		return
	}
	body, _ := json.Marshal(map[string]string{"steward": holder})
	out.Reply(conn, 421, body)
}
