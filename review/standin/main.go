// Command standin plays one case of the review: it starts the controllers of lugward as
// separate processes, together with stand-ins of the state service, the cloud, the workers
// and the users, on loopback addresses and the real clock.
//
//	standin CASE RECORD
//
// It runs in the root of the repository, takes the command of the controllers from
// deploy/service.toml and writes what was sent, answered and run to the file RECORD. With
// TROUBLE=0 in the environment it does the same without the disruption. It exits with 1 if
// the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// scenario is a case. run plays it once in a new cluster.
type scenario struct {
	rule     string
	settings settings
	attempts int // how often it is played at most, as its order of events depends on the time
	run      func(c *cluster, trouble bool) error
}

// timeLimit ends a run, whatever it is doing.
const timeLimit = 115 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNotRun
	}
	command, err := deployCommand("deploy/service.toml")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	out := &recorder{w: bufio.NewWriter(file), start: time.Now()}
	defer out.flush()
	return play(s, command, out, os.Getenv("TROUBLE") != "0")
}

// play plays a scenario until its rule is broken, and ends its processes.
func play(s scenario, command []string, out *recorder, trouble bool) int {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go runStarts()
	parent, err := os.MkdirTemp("", "lugward-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(parent)
	} else {
		fmt.Fprintln(os.Stderr, "keeping", parent)
	}
	go func() {
		<-interrupted
		// The controllers end with this process.
		out.line("test", "interrupted")
		out.flush()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(parent)
		}
		os.Exit(exitNotRun)
	}()
	deadline := time.After(timeLimit)
	for attempt := 1; attempt <= s.attempts; attempt++ {
		out.line("test", "attempt %d, trouble %t", attempt, trouble)
		c, err := newCluster(s.settings, 3, command, parent, out)
		if c == nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		done := make(chan error, 1)
		if err != nil {
			done <- err
		} else {
			go func() { done <- s.run(c, trouble) }()
		}
		ended := false
		select {
		case err = <-done:
		case <-deadline:
			err, ended = errors.New("time limit"), true
		}
		c.close()
		if broken := c.checker.broken(s.rule); len(broken) > 0 {
			for _, text := range broken {
				fmt.Println("RULE BROKEN", text)
			}
			return exitBroken
		}
		if err != nil {
			out.line("test", "couldn't run: %v", err)
			fmt.Fprintln(os.Stderr, "couldn't run:", err)
			return exitNotRun
		}
		if ended || !trouble {
			break
		}
	}
	out.line("test", "the rule held")
	fmt.Println("the rule held:", s.rule)
	return exitHeld
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// deployCommand returns the command that starts a controller, without its last argument.
func deployCommand(file string) ([]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(data)
	if match == nil {
		return nil, fmt.Errorf("%s: found no run command", file)
	}
	command := strings.Fields(string(match[1]))
	if _, err := os.Stat(command[0]); err != nil {
		return nil, fmt.Errorf("%w: build lugward first", err)
	}
	return command, nil
}

// smallDeployment returns the settings of kit/sites/rostalap-szeged.toml that matter here.
func smallDeployment() settings {
	return settings{
		report: 3 * time.Second,
		lease:  32 * time.Second,
		cancel: 62 * time.Second,
		state:  stateLimits{rps: 60, writeRPS: 20, valueBytes: 4096, txnOps: 12, latency: 5 * time.Millisecond},

		cloudRPS:       2,
		listLag:        10 * time.Second,
		coreShare:      0.12,
		ramMB:          98,
		maxConnections: 800,
		zones:          []string{"szeged-a", "szeged-b", "budapest-r"},
		teams:          []map[string]any{{"name": "beosztas", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}},
		flavors: []flavor{
			{Name: "kis", Cores: 16, RAM: 64, Local: 50, Fetch: 0.2, Price: 1.03, LowPrice: 0.49, Ready: 50, Yards: []string{"szeged-a", "szeged-b", "budapest-r"}},
			{Name: "kozep", Cores: 32, RAM: 256, Local: 40, Fetch: 1, Price: 2.61, LowPrice: 1.21, Ready: 25, Yards: []string{"szeged-a", "szeged-b", "budapest-r"}},
			{Name: "nagy", Cores: 64, RAM: 256, Local: 60, Fetch: 0.3, Price: 4.23, LowPrice: 1.82, Ready: 20, Yards: []string{"szeged-a", "budapest-r"}},
			{Name: "tisza", Cores: 96, Cards: 8, RAM: 576, Local: 120, Fetch: 0.5, Price: 28.11, LowPrice: 12.45, Ready: 60, Yards: []string{"szeged-a", "szeged-b", "budapest-r"}},
		},
	}
}
