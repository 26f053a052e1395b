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
func (c *Controller) writeReadinessAndCancellations(now event.Time) {
	if !c.store.Synced() {
		return
	}
	responsible := func(job *pipeline.Job) bool {
		if job.Owner == c.cfg.Label {
			return true
		}
		return c.leadership.active && !c.ownerCanWrite(job.Owner)
	}
	c.jobs.WriteReadiness(now, c.store, responsible)
	c.jobs.WriteCancellations(now, c.store, responsible)
}

// ownerCanWrite tells whether a peer can mark the jobs that it owns: its
// heartbeats arrive and say that it reaches the state service.
func (c *Controller) ownerCanWrite(label string) bool {
	for _, p := range c.peers {
		if p.label == label {
			return c.isAlive(p) && p.heartbeat.StateOK
		}
	}
	return false
}

// publishVersion stores, once, that this controller runs this version. It is
// not urgent: after a start of all controllers, terms and users go first.
func (c *Controller) publishVersion(now event.Time) {
	key := pipeline.VersionKey + "/" + c.cfg.Label
	stored := c.store.ModRevision(key) != 0
	if c.version.inFlight || stored || !c.store.Synced() || c.election.Leader() == "" {
		return
	}
	if c.version.nextAt == 0 {
		position := slices.Index(c.jobs.ControllerLabels, c.cfg.Label)
		c.version.nextAt = now + versionRetryInterval + versionStagger*event.Time(position)
	}
	if now < c.version.nextAt {
		return
	}
	c.version.inFlight = true
	c.store.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Compares: []kv.Compare{{Key: key}},
		Writes:   []kv.Write{{Key: key, Data: pipeline.Version}},
		Done: func(result kv.Result) {
			c.version.inFlight = false
			c.version.nextAt = result.Now + versionRetryInterval
		},
	}, now+versionWriteTimeout)
}
