// Package api serves the users' HTTP API for submitting, polling and cancelling jobs.
//
// Two rules hold for every response. A job is reported as accepted or cancelled only
// after that state has been persisted. A response never reports older state than an
// earlier response of any controller. A status that is not terminal is therefore sent only
// after a read barrier, or after the write that accepts the job has been committed. A job is
// reported as cancelled only when no controller can command the start of its tasks any more.
//
// Requests that cannot be decided now get 503 with Retry-After. Submissions and
// cancellations are idempotent, so a client may retry them until it gets a response.
package api

import (
	"log/slog"
	"strings"
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// Config holds the settings and dependencies of a Server. The server only reads the
// job table and the machine types, which other components update.
type Config struct {
	Label          string // identifies this controller as the owner of the jobs that it accepts
	Teams          []config.Team
	RequestTimeout time.Duration // after this time an undecided request gets 503
	ValueBytes     int           // maximum size of a value in the state service
	TxnOps         int           // maximum number of writes in a transaction

	Names        *pipeline.Names
	Jobs         *pipeline.Table
	Store        *kv.Client
	MachineTypes *scheduler.MachineTypes // empty until the cloud has returned its machine types
	StartViews   StartViews
	Logger       *slog.Logger
}

const (
	// minRetryAfter is the minimum Retry-After of a 503 response, in seconds.
	minRetryAfter = 1
	// maxRetryAfter is the maximum Retry-After, in seconds. Clients give up if it is
	// longer.
	maxRetryAfter = 30
	// outageThreshold is the time without an executed request after which the state
	// service is considered unavailable. Requests that need it then get 503
	// immediately.
	outageThreshold = time.Second
)

// Server handles users' HTTP requests. It is not safe for concurrent use.
type Server struct {
	cfg          Config
	names        *pipeline.Names
	jobs         *pipeline.Table
	store        *kv.Client
	machineTypes *scheduler.MachineTypes
	teams        map[string]config.Team // by name
	// pagedSubmissions holds the active paged submissions by job ID, at most one
	// per job.
	pagedSubmissions map[string]*pagedSubmission
	// waitingUpstreamIDs is the number of IDs in the lists of upstream jobs of submissions
	// that wait for a read barrier.
	waitingUpstreamIDs int
	cancelled          cancelledAnswers
}

// New returns a Server for the given configuration.
func New(cfg Config) *Server {
	s := &Server{
		cfg:              cfg,
		names:            cfg.Names,
		jobs:             cfg.Jobs,
		store:            cfg.Store,
		machineTypes:     cfg.MachineTypes,
		teams:            map[string]config.Team{},
		pagedSubmissions: map[string]*pagedSubmission{},
		cancelled:        newCancelledAnswers(cfg.StartViews, cfg.Logger),
	}
	for _, team := range cfg.Teams {
		s.teams[team.Name] = team
	}
	return s
}

// Handle handles a request whose path starts with /submissions and reports whether
// the request was one. Each handled request gets exactly one reply, immediately or
// later.
func (s *Server) Handle(now event.Time, r event.Request, out *event.Effects) bool {
	path, _, _ := strings.Cut(r.Path, "?")
	rest, ok := strings.CutPrefix(path, submissionsPath)
	if !ok {
		return false
	}
	id, action, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	hasJobID := strings.HasPrefix(rest, "/") && id != ""
	switch {
	case rest == "" && r.Method == methodPost:
		s.submit(now, r, out)
	case hasJobID && action == "" && !strings.HasSuffix(rest, "/") && r.Method == methodGet:
		s.poll(now, r.Conn, id, out)
	case hasJobID && action == cancelAction && r.Method == methodPost:
		s.cancel(now, cancellation{conn: r.Conn, id: id}, out)
	case rest == "" || (id != "" && (action == "" || action == cancelAction)):
		out.Reply(r.Conn, httpwire.StatusMethodNotAllowed, nil)
	default:
		out.Reply(r.Conn, httpwire.StatusNotFound, nil)
	}
	return true
}

// Tick sends the answers that are due. It must be called several times a second.
func (s *Server) Tick(now event.Time, out *event.Effects) {
	s.expirePagedSubmissions(now, out)
	s.ReleaseAnswers(now, out)
}

// storeUnavailable reports whether requests that need the state service are rejected
// immediately instead of waiting until they time out.
func (s *Server) storeUnavailable(now event.Time) bool {
	return !s.store.Synced() || (s.store.Unavailable() && now-s.store.LastContact() > outageThreshold)
}
