// Command standin3 runs the cases 9 to 13 of the review: it starts the controllers as separate
// processes, with stand-ins of the state service, the cloud, the workers and the users in its own
// process, which follow PROTOCOL-lugward.md.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxDuration leaves time to build the stand-in within the 120 s of a script.
const maxDuration = 112 * time.Second

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases holds the cases by name.
var cases = map[string]func(*run) int{}

// run is one run of a case.
type run struct {
	trouble bool
	rec     *recorder
	dir     string
	program string
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func runCase(play func(*run) int, program, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin3:", err)
		return couldNot
	}
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin3:", err)
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("kept:", dir)
	}
	if _, err := os.Stat(program); err != nil {
		rec.say("could not run: %v", err)
		return couldNot
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
			rec.say("could not run: interrupted")
		case <-time.After(maxDuration):
			rec.say("could not run: it took longer than %v", maxDuration)
		}
		_ = os.RemoveAll(dir)
		os.Exit(couldNot) // the controllers end with this process
	}()
	return play(&run{trouble: os.Getenv("TROUBLE") != "0", rec: rec, dir: dir, program: program})
}
