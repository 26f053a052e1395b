package core

import (
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/store"
)

const (
	versionStagger = time.Second
	versionRetry   = 5 * time.Second // between two attempts to store the version
)

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
