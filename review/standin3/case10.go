package main

import (
	"sync"
	"time"
)

func init() { cases["10"] = playCase10 }

// waitWithoutMachine is how long the test waits for the start of the job after the trouble.
const waitWithoutMachine = 50 * time.Second

// playCase10 submits a job whose task fails on the first two machines that it gets, and on the one
// that may be rented out meanwhile. They then stop. The only other machine is full. The cloud has capacity, so the job must get another machine.
func playCase10(r *run) int {
	c, err := newCluster(dispensa(), r.rec, r.dir, r.program)
	if err != nil {
		r.rec.say("could not run: %v", err)
		return couldNot
	}
	defer c.stop()
	c.cloud.boot = 9 * time.Second
	for i := range c.nodes {
		if err := c.start(i); err != nil || !c.waitHealthy(i, 15*time.Second) {
			r.rec.say("could not run: controller %d is not healthy: %v", i, err)
			return couldNot
		}
	}
	service := newJob("req-000001")
	service.Owner, service.Shape, service.Cores, service.RAM = "flota", "daemon", 4, 16
	service.Flavors, service.Expect = []string{"chico"}, 0
	work := newJob("req-000002")
	work.Owner, work.Cores, work.RAM = "flota", 4, 16
	work.Flavors, work.runFor = []string{"chico"}, 5*time.Second
	faulty := &faultyMachines{c: c}
	if r.trouble {
		work.failsOnMachine = faulty.fails
	}
	if !c.submitAccepted(0, service) || !c.waitPhase(0, service.NameID, "running", 30*time.Second) {
		r.rec.say("could not run: the service does not run")
		return couldNot
	}
	time.Sleep(2 * time.Second)
	if !c.submitAccepted(1, work) {
		r.rec.say("could not run: the job was not accepted")
		return couldNot
	}
	if r.trouble {
		for end := time.Now().Add(50 * time.Second); !faulty.over(1); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				r.rec.say("could not run: the job has had only %d machines", faulty.count())
				return couldNot
			}
		}
		time.Sleep(2 * time.Second)
		r.rec.say("the faulty machines have stopped; machines of the cloud: %v", c.cloud.machineNames())
	}
	asked, failures := c.cloud.rentRequests(""), faulty.count()
	began := time.Now()
	if c.waitPhase(2, work.NameID, "done", waitWithoutMachine) {
		r.rec.say("the job is done %.0f s after the trouble", time.Since(began).Seconds())
		return held
	}
	if faulty.count() > failures || c.cloud.rentRequests("") > asked {
		r.rec.say("the job is not done, but a machine was asked for")
		return held
	}
	_, phase := c.poll(0, work.NameID)
	r.rec.say("broken: an accepted job does not run: %s is %s, and in %v no machine was asked for; machines: %v",
		work.NameID, phase, waitWithoutMachine, c.cloud.machineNames())
	return broken
}

// faultyMachines makes a job fail on the first two machines that it gets, and on those that the
// cloud has rented out by then. Each of them stops by itself a second later.
type faultyMachines struct {
	c     *cluster
	mu    sync.Mutex
	names []string
	last  string // the last machine that is faulty, empty before the second failure
}

func (f *faultyMachines) fails(machine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last != "" && machine > f.last {
		return false
	}
	f.names = append(f.names, machine)
	if len(f.names) == 2 {
		f.last = machineName(f.c.cloud.last.Load())
	}
	time.AfterFunc(time.Second, func() { f.c.cloud.fail(machine) })
	return true
}

// over reports whether all faulty machines have failed. other is the number of machines that
// are not faulty.
func (f *faultyMachines) over(other int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last != "" && machineName(int64(len(f.names)+other+firstMachine)) == f.last
}

func (f *faultyMachines) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.names)
}
