package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// siteConfig holds the settings of a deployment.
type siteConfig struct {
	controllers   int
	labels        []string
	zones         []string
	teams         []map[string]any
	reportS       float64
	leaseS        float64
	cancelS       float64
	stateRPS      float64
	stateWriteRPS float64
	stateValueKB  float64
	stateTxnOps   int
	stateLatency  time.Duration
	cloudRPS      float64
	listLagS      float64
	ramMB         float64
	connections   int
	types         []machineType
}

// rostalap returns the settings of the first deployment of the brief.
func rostalap() *siteConfig {
	return &siteConfig{
		controllers:   3,
		labels:        []string{"hearth-0", "hearth-1", "hearth-2"},
		zones:         []string{"szeged-a", "szeged-b", "budapest-r"},
		teams:         []map[string]any{{"name": "beosztas", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0}},
		reportS:       3,
		leaseS:        32,
		cancelS:       62,
		stateRPS:      60,
		stateWriteRPS: 20,
		stateValueKB:  4,
		stateTxnOps:   12,
		stateLatency:  3 * time.Millisecond,
		cloudRPS:      2,
		listLagS:      10,
		ramMB:         98,
		connections:   800,
		types: []machineType{
			{"kis", 16, 0, 64, 50, 0.2, 1.03, 0.49, 50, nil},
			{"kozep", 32, 0, 256, 40, 1, 2.61, 1.21, 25, nil},
		},
	}
}

// dispensa returns the settings of the second deployment of the brief.
func dispensa() *siteConfig {
	cfg := rostalap()
	cfg.zones = []string{"arequipa", "lima-norte"}
	cfg.teams = []map[string]any{
		{"name": "flota", "cpus": 0, "cpus_max": 0, "gpus": 8, "gpus_max": 50},
		{"name": "datos", "cpus": 0, "cpus_max": 0, "gpus": 8, "gpus_max": 70},
	}
	cfg.leaseS, cfg.cancelS = 31, 61
	cfg.stateRPS, cfg.stateWriteRPS, cfg.stateValueKB, cfg.stateTxnOps = 100, 25, 8, 20
	cfg.cloudRPS, cfg.listLagS = 4, 4
	cfg.ramMB, cfg.connections = 125, 1500
	cfg.types = []machineType{
		{"chico", 4, 0, 32, 50, 0.5, 0.23, 0.11, 15, nil},
		{"grande", 32, 0, 128, 50, 0.5, 1.65, 0.69, 25, nil},
	}
	return cfg
}

// controller is a process of the program under test.
type controller struct {
	label, bind, peerBind string
	config                string
	cmd                   *exec.Cmd
	ended                 chan struct{}
	log                   *os.File
}

// cluster holds the controllers and the stand-ins of one run.
type cluster struct {
	cfg     *siteConfig
	rec     *recorder
	dir     string
	program string
	state   *stateService
	cloud   *cloud
	nodes   []*controller
}

// freeAddr returns a free address for a controller. The stand-ins and the sources of connections use
// 127.0.0.1, so that none of them can take the port of a controller that is not running.
func freeAddr(i int) (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.9.%d:0", i+1))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// newCluster prepares the stand-ins and the settings files. It starts no controller.
func newCluster(cfg *siteConfig, rec *recorder, dir, program string) (*cluster, error) {
	c := &cluster{cfg: cfg, rec: rec, dir: dir, program: program, state: newStateService(cfg, rec)}
	for i := range cfg.controllers {
		bind, err := freeAddr(i)
		if err != nil {
			return nil, err
		}
		peer, err := freeAddr(i)
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, &controller{label: cfg.labels[i], bind: bind, peerBind: peer})
	}
	var err error
	if c.cloud, err = newCloud(c); err != nil {
		return nil, err
	}
	for i := range c.nodes {
		if err := c.writeConfig(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) writeConfig(i int) error {
	node := c.nodes[i]
	state, err := c.state.listen(i)
	if err != nil {
		return err
	}
	var seeds []map[string]string
	for _, other := range c.nodes {
		if other != node {
			seeds = append(seeds, map[string]string{"label": other.label, "site": c.cfg.zones[0], "endpoint": other.peerBind})
		}
	}
	settings := map[string]any{
		"label": node.label, "site": c.cfg.zones[i%len(c.cfg.zones)], "bind": node.bind, "peer_bind": node.peerBind,
		"seeds":    seeds,
		"services": map[string]string{"cloud": c.cloud.addr, "state": state},
		"settings": map[string]any{
			"count": c.cfg.controllers, "zones": c.cfg.zones, "teams": c.cfg.teams,
			"workers":   map[string]any{"report_s": c.cfg.reportS, "lease_s": c.cfg.leaseS, "gang_wait_s": 40, "gang_peer_s": 4, "cancel_s": c.cfg.cancelS},
			"state":     map[string]any{"rps": c.cfg.stateRPS, "write_rps": c.cfg.stateWriteRPS, "value_kb": c.cfg.stateValueKB, "txn_ops": c.cfg.stateTxnOps},
			"cloud":     map[string]any{"rps": c.cfg.cloudRPS, "list_lag_s": c.cfg.listLagS},
			"resources": map[string]any{"core_share": 0.12, "ram_mb": c.cfg.ramMB, "max_connections": c.cfg.connections},
			"skew_ms":   100,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	node.config = filepath.Join(c.dir, node.label+".json")
	return os.WriteFile(node.config, data, 0o600)
}

// start starts a controller as the platform does.
func (c *cluster) start(i int) error {
	node := c.nodes[i]
	log, err := os.OpenFile(filepath.Join(c.dir, node.label+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	node.log = log
	node.cmd = exec.Command(c.program, "--config", node.config)
	node.cmd.Stderr = log
	node.cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	node.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := node.cmd.Start(); err != nil {
		return err
	}
	node.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		c.rec.log("controller %s ended: %v", node.label, err)
		close(ended)
	}(node.cmd, node.ended)
	c.rec.log("started controller %s, process %d", node.label, node.cmd.Process.Pid)
	return nil
}

func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "error"
}

// kill ends a controller without a warning.
func (c *cluster) kill(i int) {
	node := c.nodes[i]
	if node.cmd == nil {
		return
	}
	c.rec.log("kill controller %s", node.label)
	_ = node.cmd.Process.Signal(syscall.SIGKILL)
	<-node.ended
	_ = node.log.Close()
	node.cmd = nil
}

// alive reports whether the process of a controller runs.
func (c *cluster) alive(i int) bool {
	select {
	case <-c.nodes[i].ended:
		return false
	default:
		return true
	}
}

// memoryMB returns the resident memory of a controller.
func (c *cluster) memoryMB(i int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", c.nodes[i].cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return float64(resident) * float64(os.Getpagesize()) / (1 << 20)
}

func (c *cluster) signal(i int, s syscall.Signal) {
	c.rec.log("signal %v to controller %s", s, c.nodes[i].label)
	_ = c.nodes[i].cmd.Process.Signal(s)
}

// stop ends everything that the run has started.
func (c *cluster) stop() {
	for i := range c.nodes {
		c.kill(i)
	}
}

// waitHealthy waits until a controller answers health probes with 200.
func (c *cluster) waitHealthy(i int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := c.request(i, "GET", "/healthz", nil, time.Second); status == 200 {
			return true
		}
	}
	return false
}

// startAll starts all controllers and waits until they are healthy.
func (c *cluster) startAll() bool {
	for i := range c.nodes {
		if err := c.start(i); err != nil {
			c.rec.say("could not run: %v", err)
			return false
		}
	}
	for i := range c.nodes {
		if !c.waitHealthy(i, 15*time.Second) {
			c.rec.say("could not run: %s is not healthy", c.nodes[i].label)
			return false
		}
	}
	return true
}
