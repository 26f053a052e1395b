package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are the settings of the deployment.
type settings struct {
	report, lease, cancel time.Duration
	state                 stateLimits
	cloudRPS              float64
	listLag               time.Duration
	coreShare, ramMB      float64
	maxConnections        int
	zones                 []string
	teams                 []map[string]any
	flavors               []flavor
	startPause            time.Duration         // between the first starts of the controllers
	load                  func(s *stateService) // loads what the state service holds at first
}

// cluster is a deployment: controllers as separate processes, and the stand-ins.
type cluster struct {
	settings settings
	dir      string // temporary folder
	command  []string
	start    time.Time
	out      *recorder

	labels      []string
	binds       []string // addresses of the controllers
	peerBinds   []string
	workerPaths []*proxy // paths from workers to the controllers
	workerAddrs []string

	state   *stateService
	cloud   *cloud
	checker *checker

	mu     sync.Mutex
	closed bool
	nodes  []*exec.Cmd // running controllers, nil if ended
	jobs   map[string]*job
	users  *http.Client
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	start time.Time
}

func (r *recorder) line(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %-10s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

func (r *recorder) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
}

func (c *cluster) record(who, format string, args ...any) { c.out.line(who, format, args...) }

// newCluster starts the stand-ins and the controllers.
func newCluster(s settings, controllers int, command []string, parent string, out *recorder) (*cluster, error) {
	dir, err := os.MkdirTemp(parent, "run-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		settings: s, dir: dir, command: command, start: time.Now(), out: out,
		jobs: map[string]*job{}, nodes: make([]*exec.Cmd, controllers),
		users: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}},
	}
	c.checker = &checker{cluster: c, on: map[string][]*host{}}
	c.state = newStateService(s.state)
	if s.load != nil {
		s.load(c.state)
	}
	c.cloud = newCloud(c, s.flavors, s.cloudRPS, s.listLag)
	for i := range controllers {
		c.labels = append(c.labels, fmt.Sprintf("hearth-%d", i))
		c.binds = append(c.binds, freeAddr())
		c.peerBinds = append(c.peerBinds, freeAddr())
		path := newProxy(c.binds[i])
		c.workerPaths = append(c.workerPaths, path)
		c.workerAddrs = append(c.workerAddrs, path.addr())
	}
	stateAddr, cloudAddr := serve(c.state), serve(c.cloud)
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			c.state.expireLeases(time.Now())
		}
	}()
	for i := range controllers {
		if err := c.writeConfig(i, stateAddr, cloudAddr); err != nil {
			return c, err
		}
	}
	for i := range controllers {
		if err := c.startNode(i); err != nil {
			return c, err
		}
		time.Sleep(s.startPause)
	}
	return c, nil
}

func (c *cluster) writeConfig(node int, stateAddr, cloudAddr string) error {
	s := &c.settings
	seeds := []map[string]any{}
	for i, label := range c.labels {
		if i != node {
			seeds = append(seeds, map[string]any{"label": label, "site": s.zones[i%len(s.zones)], "endpoint": c.peerBinds[i]})
		}
	}
	config := map[string]any{
		"label": c.labels[node], "site": s.zones[node%len(s.zones)],
		"bind": c.binds[node], "peer_bind": c.peerBinds[node], "seeds": seeds,
		"services": map[string]any{"cloud": cloudAddr, "state": stateAddr},
		"settings": map[string]any{
			"count": len(c.labels), "zones": s.zones, "teams": s.teams, "objectives": []any{},
			"workers": map[string]any{
				"report_s": s.report.Seconds(), "lease_s": s.lease.Seconds(), "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": s.cancel.Seconds(),
			},
			"state":     map[string]any{"rps": s.state.rps, "write_rps": s.state.writeRPS, "value_kb": float64(s.state.valueBytes) / 1024, "txn_ops": s.state.txnOps},
			"cloud":     map[string]any{"rps": s.cloudRPS, "list_lag_s": s.listLag.Seconds()},
			"resources": map[string]any{"core_share": s.coreShare, "ram_mb": s.ramMB, "max_connections": s.maxConnections},
			"skew_ms":   100.0,
		},
	}
	data, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.configFile(node), data, 0o600)
}

func (c *cluster) configFile(node int) string {
	return filepath.Join(c.dir, c.labels[node]+".json")
}

// startNode starts the process of a controller.
func (c *cluster) startNode(node int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errClosed
	}
	log, err := os.OpenFile(filepath.Join(c.dir, c.labels[node]+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := append(append([]string{}, c.command[1:]...), c.configFile(node))
	cmd := exec.Command(c.command[0], args...)
	cmd.Stderr = log
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	}
	if err := startTied(cmd); err != nil {
		return err
	}
	c.nodes[node] = cmd
	c.record("platform", "started %s, process %d", c.labels[node], cmd.Process.Pid)
	return nil
}

// starts passes commands to the thread that starts them.
var starts = make(chan func())

// startTied starts a process that ends when this one ends, however that happens. The system
// ties it to the thread that starts it, so all are started by one that lasts.
func startTied(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	starts <- func() { result <- cmd.Start() }
	return <-result
}

// runStarts starts the processes. It doesn't return.
func runStarts() {
	runtime.LockOSThread()
	for start := range starts {
		start()
	}
}

// killNode kills the process of a controller and waits for its end.
func (c *cluster) killNode(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cmd := c.nodes[node]
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	c.nodes[node] = nil
	c.record("platform", "killed %s", c.labels[node])
}

// close ends all that the cluster has started.
func (c *cluster) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for i := range c.nodes {
		c.killNode(i)
	}
	c.cloud.mu.Lock()
	for _, h := range c.cloud.hosts {
		h.worker.stop("end of test")
	}
	c.cloud.mu.Unlock()
}

// leader returns the index of the controller that the state service shows as leader, and
// its token, or -1.
func (c *cluster) leader() (node int, fence uint64) {
	var record struct {
		Label string `json:"l"`
		Fence uint64 `json:"f"`
	}
	if json.Unmarshal(c.state.get("t/lead"), &record) != nil {
		return -1, 0
	}
	for i, label := range c.labels {
		if label == record.Label {
			return i, record.Fence
		}
	}
	return -1, 0
}

// waitFor polls a condition.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// job is a submission.
type job struct {
	ID      string   `json:"name_id"`
	Class   string   `json:"jobclass"`
	Owner   string   `json:"owner"`
	Shape   string   `json:"shape"`
	Rank    string   `json:"rank"`
	Shards  int      `json:"shards"`
	Cores   float64  `json:"cores"`
	Cards   float64  `json:"cards"`
	RAM     float64  `json:"ram_gb"`
	Bundle  string   `json:"bundle"`
	ImageGB float64  `json:"image_gb"`
	Flavors []string `json:"flavors"`
	Yard    *string  `json:"yard"`
	Same    bool     `json:"same_place"`
	Scatter bool     `json:"scatter"`
	Loaners bool     `json:"loaners"`
	Expect  float64  `json:"expect_s"`
	Every   float64  `json:"snapshot_every_s"`
	Save    float64  `json:"snapshot_s"`
	Due     *float64 `json:"due_s"`

	runTime time.Duration
}

func (c *cluster) jobOf(shard string) *job {
	id, _, _ := strings.Cut(shard, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// submit submits a job to a controller, once. It returns the status, or 0 without one.
func (c *cluster) submit(node int, j *job) int {
	c.mu.Lock()
	c.jobs[j.ID] = j
	c.mu.Unlock()
	body, _ := json.Marshal(j)
	return c.request(node, http.MethodPost, "/submissions", body)
}

// submitUntilAccepted repeats a submission as a user does.
func (c *cluster) submitUntilAccepted(node int, j *job) bool {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		switch status := c.submit(node, j); status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		node = (node + 1) % len(c.labels)
	}
	return false
}

func (c *cluster) poll(node int, id string) { c.request(node, http.MethodGet, "/submissions/"+id, nil) }

// pollPhase asks about a job. It returns the phase, "unknown" for 404, or "" if the question
// was not answered.
func (c *cluster) pollPhase(node int, id string) string {
	status, answer := c.exchange(node, http.MethodGet, "/submissions/"+id, nil)
	var body struct {
		Phase string `json:"phase"`
	}
	switch {
	case status == http.StatusNotFound:
		return "unknown"
	case status == http.StatusOK && json.Unmarshal(answer, &body) == nil:
		return body.Phase
	}
	return ""
}

// request sends a user's request to a controller and returns the status, or 0 without one.
func (c *cluster) request(node int, method, path string, body []byte) int {
	status, _ := c.exchange(node, method, path, body)
	return status
}

// exchange sends a user's request to a controller. The status is 0 without an answer.
func (c *cluster) exchange(node int, method, path string, body []byte) (status int, answer []byte) {
	c.record("user", "%s %s to %s %s", method, path, c.labels[node], clip(body))
	request, err := http.NewRequest(method, "http://"+c.binds[node]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := c.users.Do(request)
	if err != nil {
		c.record("user", "no answer from %s: %v", c.labels[node], err)
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		c.record("user", "incomplete answer from %s: %v", c.labels[node], err)
		return 0, nil
	}
	c.record("user", "answer %d from %s %s", response.StatusCode, c.labels[node], clip(answer))
	return response.StatusCode, answer
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return listener
}

// Addresses of the controllers have ports below those that the system gives to outgoing
// connections, so that none is taken while a controller is down.
const (
	firstPort = 20000
	portCount = 12000
)

// freeAddr returns an address that nothing listens on.
func freeAddr() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			_ = listener.Close()
			return addr
		}
	}
}

func serve(handler http.Handler) (addr string) {
	listener := listen()
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

func reply(w http.ResponseWriter, status int, body any) {
	if body == nil {
		w.WriteHeader(status)
		return
	}
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

var (
	errTooLong = errors.New("body too long")
	errClosed  = errors.New("the cluster is closed")
)

func readBody(r *http.Request, most int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err == nil && int64(len(data)) > most {
		err = errTooLong
	}
	return data, err
}
