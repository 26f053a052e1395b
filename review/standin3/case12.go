package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["12"] = playCase12 }

const (
	// waitBesideStream is how long the test waits for the start of the gang.
	waitBesideStream = 75 * time.Second
	// The arrays of the class come 3 a minute, and with the trouble 12 a minute.
	usualInterval   = 20 * time.Second
	troubleInterval = 5 * time.Second
	arrayTasks      = 7
	// The gang needs 24 GPUs.
	gangTasks, gangCards = 12, 2
)

// playCase12 submits a gang that needs three quarters of its team's limit while a part of the limit is
// in use, and then arrays of the same team, several times as often as usual. The gang became ready
// before them, so it must start once the tasks that ran before it have ended.
func playCase12(r *run) int {
	cfg := dispensa()
	cfg.teams = append(cfg.teams, map[string]any{"name": "comercial", "cpus": 0, "cpus_max": 0, "gpus": 8, "gpus_max": 32})
	cfg.types = []machineType{{"condor", 32, 4, 192, 50, 0.5, 12.37, 5.24, 45, nil}}
	c, err := newCluster(cfg, r.rec, r.dir, r.program)
	if err != nil {
		r.rec.say("could not run: %v", err)
		return couldNot
	}
	defer c.stop()
	c.cloud.boot = 2 * time.Second
	array := func(id string, tasks int) *job {
		j := newJob(id)
		j.JobClass, j.Owner, j.Shards, j.Expect, j.runFor = "demanda", "comercial", tasks, 70, 20*time.Second
		j.Cores, j.Cards, j.RAM = 6, 1, 36
		return j
	}
	first, gang := array("req-000001", 12), array("req-000002", gangTasks)
	gang.JobClass, gang.Shape, gang.Cores, gang.Cards, gang.RAM = "rutas", "gang", 12, gangCards, 60
	gang.runFor = 5 * time.Second
	var streamStarts, gangStarts atomic.Int64
	c.cloud.onTask = func(event, _, task string, _ uint64) {
		switch {
		case event != "start" || strings.HasPrefix(task, first.NameID):
		case strings.HasPrefix(task, gang.NameID):
			gangStarts.Add(1)
		default:
			streamStarts.Add(1)
		}
	}
	if !c.startAll() {
		return couldNot
	}
	if !c.submitAccepted(0, first) || !c.waitStarted(first, 30*time.Second) {
		r.rec.say("could not run: the first job does not run")
		return couldNot
	}
	if !c.submitAccepted(1, gang) {
		r.rec.say("could not run: the gang was not accepted")
		return couldNot
	}
	ended := make(chan struct{})
	defer close(ended)
	interval := usualInterval
	if r.trouble {
		interval = troubleInterval
	}
	go func() {
		for i := 0; ; i++ {
			c.submit(i%len(c.nodes), array(fmt.Sprintf("req-%06d", 100+i), arrayTasks))
			select {
			case <-ended:
				return
			case <-time.After(interval):
			}
		}
	}()
	if !c.waitPhase(0, first.NameID, "done", 30*time.Second) {
		r.rec.say("could not run: the first job is not done")
		return couldNot
	}
	before := streamStarts.Load()
	began := time.Now()
	for time.Since(began) < waitBesideStream && gangStarts.Load() == 0 {
		time.Sleep(100 * time.Millisecond)
	}
	later := streamStarts.Load() - before
	r.rec.say("%.0f s after the first job was done: %d tasks of the gang have started, and %d tasks of later jobs in that time",
		time.Since(began).Seconds(), gangStarts.Load(), later)
	switch {
	case gangStarts.Load() > 0:
		return held
	case later < gangTasks*gangCards:
		r.rec.say("could not run: only %d tasks of later jobs have started", later)
		return couldNot
	}
	r.rec.say("broken: an accepted job does not run: the tasks of jobs that became ready later start in its place")
	return broken
}
