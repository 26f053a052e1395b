// Package api serves the users: submissions, polls and cancellations of jobs.
//
// Two rules hold for every answer. A job is reported as accepted or cancelled
// only once that is stored; and no answer is older than one that any controller
// has given before, so all but final answers follow a read barrier.
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

// Config holds the settings of the API.
type Config struct {
	Label      string // of this controller, the owner of the jobs it accepts
	Teams      []config.Team
	Answer     time.Duration // a request that is not decided by then gets 503
	ValueBytes int           // largest value that the state service takes
	TxnOps     int           // most writes in one transaction
}

const (
	// retryAfter is the least Retry-After of a 503, in seconds.
	retryAfter = 1
	// maxRetryAfter is the greatest, in seconds: clients give up on a longer one.
	maxRetryAfter = 30
	// outageAfter is the time without an executed request after which the state
	// service counts as unavailable: requests that need it then get 503 at once.
	outageAfter = time.Second
)

// Server answers the requests of users. It is not safe for concurrent use.
type Server struct {
	cfg          Config
	names        *pipeline.Names
	jobs         *pipeline.Table
	store        *kv.Client
	machineTypes *scheduler.MachineTypes
	teams        map[string]config.Team
	// pending holds, by job ID, the submissions whose lists of upstream jobs are
	// being stored in parts: one at a time for each job.
	pending map[string]*pendingSubmission
}

// New returns a server. It reads the table and the machine types as others
// update them; it changes neither.
func New(cfg Config, names *pipeline.Names, jobs *pipeline.Table, client *kv.Client, machineTypes *scheduler.MachineTypes) *Server {
	s := &Server{
		cfg:          cfg,
		names:        names,
		jobs:         jobs,
		store:        client,
		machineTypes: machineTypes,
		teams:        map[string]config.Team{},
		pending:      map[string]*pendingSubmission{},
	}
	for _, team := range cfg.Teams {
		s.teams[team.Name] = team
	}
	return s
}

const (
	submissionsPath = "/submissions"
	cancelAction    = "cancel"
)

// Handle serves a request below /submissions. It reports whether it was one.
func (s *Server) Handle(now event.Time, r event.Request, out *event.Effects) bool {
	path, _, _ := strings.Cut(r.Path, "?")
	rest, ok := strings.CutPrefix(path, submissionsPath)
	if !ok {
		return false
	}
	id, action, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	ofJob := strings.HasPrefix(rest, "/") && id != ""
	switch {
	case rest == "" && r.Method == "POST":
		s.submit(now, r, out)
	case ofJob && action == "" && !strings.HasSuffix(rest, "/") && r.Method == "GET":
		s.poll(now, r.Conn, id, out)
	case ofJob && action == cancelAction && r.Method == "POST":
		s.cancel(now, cancellation{conn: r.Conn, id: id}, out)
	case rest == "" || (id != "" && (action == "" || action == cancelAction)):
		out.Reply(r.Conn, httpwire.StatusMethodNotAllowed, nil)
	default:
		out.Reply(r.Conn, httpwire.StatusNotFound, nil)
	}
	return true
}

// unavailable reports whether requests that need the state service are to be
// refused at once instead of being left to time out.
func (s *Server) unavailable(now event.Time) bool {
	return !s.store.Synced() || (s.store.Unavailable() && now-s.store.LastContact() > outageAfter)
}
