// Package api serves the users: submissions, polls, cancellations.
package api

import (
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
