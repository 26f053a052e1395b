package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are the platform's settings that the stand-ins use, too.
type settings struct {
	Count     int         `json:"count"`
	Zones     []string    `json:"zones"`
	Teams     []team      `json:"teams"`
	Workers   timings     `json:"workers"`
	State     stateLimits `json:"state"`
	Cloud     cloudLimits `json:"cloud"`
	Resources object      `json:"resources"`
	SkewMS    float64     `json:"skew_ms"`
}

type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

type timings struct {
	ReportS   float64 `json:"report_s"`
	LeaseS    float64 `json:"lease_s"`
	GangWaitS float64 `json:"gang_wait_s"`
	GangPeerS float64 `json:"gang_peer_s"`
	CancelS   float64 `json:"cancel_s"`
}

type cloudLimits struct {
	RPS     float64 `json:"rps"`
	ListLag float64 `json:"list_lag_s"`
}

// controllerProcess is a controller, started with the command of the deploy file.
type controllerProcess struct {
	label, site, bind, peerBind, stateAddr string
	config                                 string
	cmd                                    *exec.Cmd
	exited                                 chan struct{}
}

// cluster is one run of a case.
type cluster struct {
	root        string // of the repository
	dir         string // temporary folder
	settings    settings
	controllers []*controllerProcess
	state       *stateService
	cloud       *cloud
	checker     *checker
	gangs       *gangs
	trouble     bool
	began       time.Time

	ending sync.Mutex
	mu     sync.Mutex
	record io.WriteCloser
	jobs   map[string]*job
}

func newCluster(root, folder string, s settings) *cluster {
	c := &cluster{root: root, settings: s, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), jobs: map[string]*job{}}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		c.unable("record: %v", err)
	}
	c.record = record
	if c.dir, err = os.MkdirTemp("", "lugward-case-"); err != nil {
		c.unable("temporary folder: %v", err)
	}
	c.checker = newChecker(c)
	c.gangs = &gangs{attempts: map[gangAttempt]*gang{}}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { c.unable("ended by signal %v", <-signals) }()
	time.AfterFunc(longestRun, func() { c.unable("the run took too long") })
	c.note("settings: %s; trouble: %v", encode(s), c.trouble)
	return c
}

// note writes a line to the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record != nil {
		_, _ = fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// unable ends the run because the case could not be played.
func (c *cluster) unable(format string, args ...any) {
	c.finish(2, fmt.Sprintf(format, args...))
}

// broken ends the run because a rule was broken.
func (c *cluster) broken(format string, args ...any) {
	c.finish(1, fmt.Sprintf(format, args...))
}

// held ends the run because the rule held.
func (c *cluster) held(format string, args ...any) {
	c.finish(0, fmt.Sprintf(format, args...))
}

var verdicts = map[int]string{0: "HELD", 1: "BROKEN", 2: "NOT RUN"}

func (c *cluster) finish(code int, why string) {
	c.ending.Lock() // never unlocked: only the first verdict counts
	for _, p := range c.controllers {
		if code != 2 && p.running() {
			c.note("state service, responses to %s: %s", p.label, c.stateCounts(p))
		}
		p.kill()
	}
	if c.dir != "" {
		c.copyLogs()
		_ = os.RemoveAll(c.dir)
	}
	c.note("%s: %s", verdicts[code], why)
	fmt.Printf("%s: %s\n", verdicts[code], why)
	os.Exit(code)
}

func (c *cluster) stateCounts(p *controllerProcess) string {
	for i, other := range c.controllers {
		if other == p {
			return c.state.statusCounts(i)
		}
	}
	return ""
}

// copyLogs appends what the controllers wrote at level error to the record.
func (c *cluster) copyLogs() {
	for _, p := range c.controllers {
		data, _ := os.ReadFile(p.config + ".log")
		if len(data) > 4000 {
			data = data[len(data)-4000:]
		}
		if len(data) > 0 {
			c.note("log of %s (end):\n%s", p.label, strings.TrimSpace(string(data)))
		}
	}
}

func (c *cluster) seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (c *cluster) random(n int64) int64 { return rand.Int64N(max(n, 1)) }

func (c *cluster) submitted(id string) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

var runPattern = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// setUp starts the stand-ins and writes the settings files. It starts no controller.
func (c *cluster) setUp(latency time.Duration, types []machineType, capacity int) {
	c.state = newStateService(c.settings.State, c.settings.Count, latency)
	c.cloud = newCloud(c, types, capacity)
	cloudAddr := c.listen(c.cloud)
	for i := range c.settings.Count {
		c.controllers = append(c.controllers, &controllerProcess{
			label:     fmt.Sprintf("hearth-%d", i),
			site:      c.settings.Zones[i%len(c.settings.Zones)],
			bind:      freeAddr(),
			peerBind:  freeAddr(),
			stateAddr: c.listen(c.state.handler(i)),
		})
	}
	for _, p := range c.controllers {
		seeds := []object{}
		for _, other := range c.controllers {
			if other != p {
				seeds = append(seeds, object{"label": other.label, "site": other.site, "endpoint": other.peerBind})
			}
		}
		p.config = filepath.Join(c.dir, p.label+".json")
		data := encode(object{"label": p.label, "site": p.site, "bind": p.bind, "peer_bind": p.peerBind, "seeds": seeds,
			"services": object{"cloud": cloudAddr, "state": p.stateAddr}, "settings": c.settings})
		if err := os.WriteFile(p.config, data, 0o600); err != nil {
			c.unable("settings file: %v", err)
		}
	}
}

func (c *cluster) listen(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.unable("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

// start starts a controller.
func (c *cluster) start(p *controllerProcess) {
	deploy, err := os.ReadFile(filepath.Join(c.root, "deploy/service.toml"))
	match := runPattern.FindSubmatch(deploy)
	if err != nil || match == nil {
		c.unable("deploy file: no run command")
	}
	command := append(strings.Fields(string(match[1])), p.config)
	log, err := os.OpenFile(p.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.unable("log: %v", err)
	}
	p.cmd = exec.Command(command[0], command[1:]...)
	p.cmd.Dir = c.root
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		c.unable("start: %v", err)
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(p.cmd, p.exited)
	c.note("%s: started, users and workers at %s", p.label, p.bind)
}

// startAll starts all controllers and waits until they are healthy.
func (c *cluster) startAll() {
	for _, p := range c.controllers {
		c.start(p)
	}
	for _, p := range c.controllers {
		if !waitFor(15*time.Second, p.healthy) {
			c.unable("%s did not become healthy", p.label)
		}
	}
}

// residentMB returns the memory of a controller's process in MiB.
func (p *controllerProcess) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

func (p *controllerProcess) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *controllerProcess) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

func (p *controllerProcess) signal(s syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *controllerProcess) healthy() bool {
	status, _ := call("GET", "http://"+p.bind+"/healthz", nil, time.Second)
	return status == 200
}

// waitFor waits until the condition holds.
func waitFor(limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return true
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func readBody(r *http.Request) []byte {
	body, _ := io.ReadAll(r.Body)
	return body
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	data := encode(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
