// Package api serves the users' HTTP API: it submits, polls and cancels jobs.
//
// Two rules hold for every answer. A job is reported as accepted or cancelled
// only once that is stored; and no answer is older than one that any controller
// has given before, so all but terminal ones follow a read barrier.
//
// Requests that can't be decided now get 503 with Retry-After. Submissions and
// cancellations are idempotent, so a client may repeat them until it is answered.
package api

import (
	"strings"
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// Config holds the settings of the API and what it works on. The server reads the
// table and the machine types as others update them; it changes neither.
type Config struct {
	Label         string // of this controller, the owner of the jobs it accepts
	Teams         []config.Team
	AnswerTimeout time.Duration // a request that is not decided by then gets 503
	ValueBytes    int           // largest value that the key-value store takes
	TxnOps        int           // most writes in one transaction

	Names        *pipeline.Names
	Jobs         *pipeline.Table
	Store        *kv.Client
	MachineTypes *scheduler.MachineTypes // empty until the cloud has been asked
}

const (
	// minRetryAfter is the least Retry-After of a 503, in seconds.
	minRetryAfter = 1
	// maxRetryAfter is the greatest, in seconds: clients give up on a longer one.
	maxRetryAfter = 30
	// outageAfter is the time without an executed request after which the
	// key-value store counts as unavailable: requests that need it then get 503 at
	// once.
	outageAfter = time.Second
)

// Server answers the requests of users. It is not safe for concurrent use.
type Server struct {
	cfg          Config
	names        *pipeline.Names
	jobs         *pipeline.Table
	store        *kv.Client
	machineTypes *scheduler.MachineTypes
	teams        map[string]config.Team // by name
	// pagedSubmissions holds, by job ID, the submissions whose lists of upstream
	// jobs are being stored in pages: one at a time for each job.
	pagedSubmissions map[string]*pagedSubmission
}

// New returns a server.
func New(cfg Config) *Server {
	s := &Server{
		cfg:              cfg,
		names:            cfg.Names,
		jobs:             cfg.Jobs,
		store:            cfg.Store,
		machineTypes:     cfg.MachineTypes,
		teams:            map[string]config.Team{},
		pagedSubmissions: map[string]*pagedSubmission{},
	}
	for _, team := range cfg.Teams {
		s.teams[team.Name] = team
	}
	return s
}

// Handle serves a request below /submissions. It reports whether it was one; then
// the request has exactly one reply, at once or later.
func (s *Server) Handle(now event.Time, r event.Request, out *event.Effects) bool {
	path, _, _ := strings.Cut(r.Path, "?")
	rest, ok := strings.CutPrefix(path, submissionsPath)
	if !ok {
		return false
	}
	id, action, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	ofJob := strings.HasPrefix(rest, "/") && id != ""
	switch {
	case rest == "" && r.Method == methodPost:
		s.submit(now, r, out)
	case ofJob && action == "" && !strings.HasSuffix(rest, "/") && r.Method == methodGet:
		s.poll(now, r.Conn, id, out)
	case ofJob && action == cancelAction && r.Method == methodPost:
		s.cancel(now, cancellation{conn: r.Conn, id: id}, out)
	case rest == "" || (id != "" && (action == "" || action == cancelAction)):
		out.Reply(r.Conn, httpwire.StatusMethodNotAllowed, nil)
	default:
		out.Reply(r.Conn, httpwire.StatusNotFound, nil)
	}
	return true
}

// unavailable reports whether requests that need the key-value store are to be
// refused at once instead of being left to time out.
func (s *Server) unavailable(now event.Time) bool {
	return !s.store.Synced() || (s.store.Unavailable() && now-s.store.LastContact() > outageAfter)
}
