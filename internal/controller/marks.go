package controller

import (
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
)

const (
	// versionStagger is the time between the versions of two controllers, so
	// that a common start of all does not write them at once.
	versionStagger = time.Second
	// versionRetryInterval is the time between two attempts to store the version.
	versionRetryInterval = 5 * time.Second
	// versionWriteTimeout is how long a write of the version may wait for its turn.
	versionWriteTimeout = time.Minute
)

// versionPublication is the state of the write that tells the other
// controllers which version of the program we run.
type versionPublication struct {
	inFlight bool
	nextAt   event.Time // of the next attempt; 0: none is planned yet
}

// writeReadinessAndCancellations writes the ready marks of held jobs and the cancelled marks of jobs
// below a cancelled one: of jobs that we own and, as leader, of those whose
// owner cannot. Each write requires the record as it was, so two controllers
// that mark the same job do no harm.
func (n *Controller) writeReadinessAndCancellations(now event.Time) {
	if !n.store.Synced() {
		return
	}
	responsible := func(job *pipeline.Job) bool {
		if job.Owner == n.cfg.Label {
			return true
		}
		return n.leadership.active && !n.ownerCanWrite(job.Owner)
	}
	n.jobs.WriteReadiness(now, n.store, responsible)
	n.jobs.WriteCancellations(now, n.store, responsible)
}

// ownerCanWrite tells whether a peer can mark the jobs that it owns: its
// heartbeats arrive and say that it reaches the state service.
func (n *Controller) ownerCanWrite(label string) bool {
	for _, p := range n.peers {
		if p.label == label {
			return n.isAlive(p) && p.heartbeat.StateOK
		}
	}
	return false
}

// publishVersion stores, once, that this controller runs this version. It is
// not urgent: after a start of all controllers, terms and users go first.
func (n *Controller) publishVersion(now event.Time) {
	key := pipeline.VersionKey + "/" + n.cfg.Label
	stored := n.store.ModRevision(key) != 0
	if n.version.inFlight || stored || !n.store.Synced() || n.election.Leader() == "" {
		return
	}
	if n.version.nextAt == 0 {
		position := slices.Index(n.jobs.ControllerLabels, n.cfg.Label)
		n.version.nextAt = now + versionRetryInterval + versionStagger*event.Time(position)
	}
	if now < n.version.nextAt {
		return
	}
	n.version.inFlight = true
	n.store.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Compares: []kv.Compare{{Key: key}},
		Writes:   []kv.Write{{Key: key, Data: pipeline.Version}},
		Done: func(result kv.Result) {
			n.version.inFlight = false
			n.version.nextAt = result.Now + versionRetryInterval
		},
	}, now+versionWriteTimeout)
}
