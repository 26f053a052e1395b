package main

import (
	"fmt"
	"sync"
	"time"
)

// checker observes what runs on the machines.
type checker struct {
	c *cluster

	mu       sync.Mutex
	on       map[string]map[*worker]uint64 // by task, the machines that it is on and its attempt there
	done     map[string]bool               // tasks that have completed; the result is kept
	starts   map[string]int                // starts by task
	usage    map[string]float64            // CPUs in use by team
	commands int
	breaches []string
}

func newChecker(c *cluster) *checker {
	return &checker{c: c, on: map[string]map[*worker]uint64{}, done: map[string]bool{}, starts: map[string]int{}, usage: map[string]float64{}}
}

// command is called for each start command that a worker executes.
func (k *checker) command(_ *worker, _ *task) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.commands++
}

// start is called when a task has its image and begins.
func (k *checker) start(w *worker, t *task) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.on[t.shard] == nil {
		k.on[t.shard] = map[*worker]uint64{}
	}
	for other, try := range k.on[t.shard] {
		if other != w {
			k.breach("ran_twice: %s try %d starts on %s while try %d is on %s", t.shard, t.try, w.name, try, other.name)
		}
	}
	k.on[t.shard][w] = t.try
	k.starts[t.shard]++
	k.usage[t.job.Owner] += t.job.Cores
	for _, team := range k.c.settings.Teams {
		if team.Name == t.job.Owner && team.CPUsMax > 0 && k.usage[team.Name] > team.CPUsMax+1e-6 {
			k.breach("quota: team %s uses %.2f CPUs, its limit is %.2f", team.Name, k.usage[team.Name], team.CPUsMax)
		}
	}
}

// stop is called when a task that has begun is no longer on its machine.
func (k *checker) stop(w *worker, t *task) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.on[t.shard][w]; ok {
		delete(k.on[t.shard], w)
		k.usage[t.job.Owner] -= t.job.Cores
	}
}

func (k *checker) complete(shard string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.done[shard] = true
}

func (k *checker) completed(shard string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.done[shard]
}

// progress returns the number of tasks that have completed, that are on machines, and of starts.
func (k *checker) progress() (done, on, starts int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, machines := range k.on {
		if len(machines) > 0 {
			on++
		}
	}
	for _, n := range k.starts {
		starts += n
	}
	return len(k.done), on, starts
}

func (k *checker) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(k.breaches) < 100 {
		k.breaches = append(k.breaches, text)
	}
	go k.c.note("checker: %s", text)
}

func (k *checker) found() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.breaches...)
}

// every calls f at the given interval until the returned function is called.
func every(interval time.Duration, f func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
				f()
			}
		}
	}()
	return func() { close(done) }
}
