package simtest

import (
	"io"
	"strings"
	"testing"
	"time"
)

// TestCheckerCatches shows that the checker sees each kind of violation.
func TestCheckerCatches(t *testing.T) {
	// place puts a task on a machine as a service that breaks rules would.
	place := func(w *World, j *job, index int, machineType, zone string, spot bool) *task {
		name := "i-" + string(rune('a'+len(w.workers)))
		k := &worker{w: w, name: name, addr: name, machineType: machineType, zone: zone, spot: spot, up: true, tasks: map[string]*task{}}
		w.workers[name] = k
		x := &task{on: k, job: j, name: j.id + "/" + string(rune('0'+index)), index: index, attempt: 1, phase: "running"}
		k.tasks[x.name] = x
		w.check.started(x)
		return x
	}
	cases := map[string]func(w *World, j *job){
		"ran_twice": func(w *World, j *job) { place(w, j, 0, "small", "a", false); place(w, j, 0, "small", "b", false) },
		"quota": func(w *World, j *job) {
			j.gpus = 5
			place(w, j, 0, "gpu", "a", false)
			place(w, j, 1, "gpu", "a", false)
		},
		"wrong_place: req-000001/0 attempt 1 on i-a (small": func(w *World, j *job) {
			j.machineTypes = []string{"big"}
			place(w, j, 0, "small", "a", false)
		},
		"spot true": func(w *World, j *job) { place(w, j, 0, "small", "a", true) },
		"zones map[a:1 b:1]": func(w *World, j *job) {
			j.sameZone = true
			place(w, j, 0, "small", "a", false)
			place(w, j, 1, "small", "b", false)
		},
		"scatter true": func(w *World, j *job) {
			j.scatter = true
			place(w, j, 0, "small", "a", false)
			place(w, j, 1, "small", "a", false)
		},
		"ran_cancelled": func(w *World, j *job) {
			w.check.asked[j.id] = true
			w.check.answered(w.now, j.id, 200, "cancelled")
			place(w, j, 0, "small", "a", false)
			w.now += 26 * time.Second
			w.check.moment()
		},
		"ran_cancelled: req-000001/0 goes on on i-a": func(w *World, j *job) {
			w.check.asked[j.id] = true
			w.check.answered(w.now, j.id, 200, "cancelled")
			k := place(w, j, 0, "small", "a", false).on
			w.now += 20 * time.Second
			k.leaseFrom = w.now
			k.hang(6 * time.Second)
			w.Run(6 * time.Second)
		},
		"ran_cancelled: req-000001/0 starts": func(w *World, j *job) {
			w.check.asked[j.id] = true
			w.check.answered(w.now, j.id, 200, "cancelled")
			w.now += 26 * time.Second
			place(w, j, 0, "small", "a", false)
		},
		"left waiting: req-000001 beside room for it for 1m30.5s": func(w *World, j *job) {
			w.check.answered(w.now, j.id, 201, "queued")
			place(w, j, 0, "small", "a", false)
			w.check.faultsOverAt = 1
			for range 2 * 96 {
				w.now += watchEvery
				w.check.moment()
			}
		},
		"accepted: req-000001 answered 201, to be refused with 422": func(w *World, j *job) {
			j.mustRefuse = 422
			w.check.answered(w.now, j.id, 201, "queued")
		},
		"refused wrongly: req-000001 answered 400 for 422": func(w *World, j *job) { w.check.refusedWith(j.id, 422, 400) },
		"refused wrongly: req-000001 answered 503 for 400": func(w *World, j *job) { w.check.refusedWith(j.id, 400, 503) },
		"forgotten": func(w *World, j *job) {
			w.check.answered(w.now, j.id, 201, "queued")
			w.check.answered(w.now, j.id, 404, "")
		},
		"invented":  func(w *World, _ *job) { w.check.answered(w.now, "req-000009", 200, "queued") },
		"not_done":  func(w *World, j *job) { w.check.answered(w.now, j.id, 200, "done") },
		"went_back": func(w *World, j *job) { w.check.answered(w.now, j.id, 200, "cancelled") },
		"without an answer for 1m16s": func(w *World, j *job) {
			w.check.answered(w.now, j.id, 201, "queued")
			w.check.faultsOverAt = w.now + 1
			w.check.polled(j.id, 200)
			w.now += 76*time.Second + 1
			w.check.polled(j.id, 503)
		},
		"not served: class c: 0 of 1, largest of c: 0 of 1, team red: 0 of 1": func(w *World, j *job) {
			w.check.answered(w.now, j.id, 201, "queued")
			w.check.served()
		},
		"not served: largest of c: 0 of 1": func(w *World, j *job) {
			w.check.answered(w.now, j.id, 201, "queued")
			j.began = 5 * time.Minute
			w.check.served()
		},
		"was done": func(w *World, j *job) {
			j.complete = map[int]bool{0: true, 1: true}
			w.check.answered(w.now, j.id, 200, "done")
			w.check.answered(w.now, j.id, 200, "queued")
		},
	}
	for want, breakIt := range cases {
		w := New(1, 1, io.Discard)
		j := &job{id: "req-000001", team: "red", class: "c", taskCount: 2, submitted: true, complete: map[int]bool{}}
		w.jobs[j.id] = j
		breakIt(w, j)
		if got := w.Verdict(); !strings.Contains(got, want) {
			t.Errorf("%s: checker said %q", want, got)
		}
	}
}

// TestCheckerAllows shows what is no violation.
func TestCheckerAllows(t *testing.T) {
	cases := map[string]func(w *World, j *job){
		"an answer on its way when a newer one came": func(w *World, j *job) {
			asked := w.now
			w.now += time.Second
			w.check.asked[j.id] = true
			w.check.answered(w.now, j.id, 200, "cancelled")
			w.check.answered(asked, j.id, 200, "running")
			w.check.answered(asked, j.id, 404, "")
		},
		"a machine that hangs for longer than its lease": func(w *World, j *job) {
			w.check.asked[j.id] = true
			w.check.answered(w.now, j.id, 200, "cancelled")
			k := newWorker(w, "i-a", "i-a", "small", "a", false)
			k.tasks["req-000001/0"] = &task{on: k, job: j, name: "req-000001/0", attempt: 1, phase: "running"}
			k.hang(26 * time.Second)
			w.Run(25500 * time.Millisecond)
			w.check.moment()
			w.Run(time.Second)
		},
		"a job that waits where its team is at its limit": func(w *World, j *job) {
			j.team, j.cpus = "blue", 17
			w.check.answered(w.now, j.id, 201, "queued")
			w.check.faultsOverAt = 1
			for range 2 * 100 {
				w.now += watchEvery
				w.check.moment()
			}
		},
		"an invalid request that cannot be decided": func(w *World, j *job) { w.check.refusedWith(j.id, 422, 503) },
	}
	for name, do := range cases {
		w := New(1, 1, io.Discard)
		j := &job{id: "req-000001", team: "red", class: "c", taskCount: 2, submitted: true, complete: map[int]bool{}}
		w.jobs[j.id] = j
		do(w, j)
		if got := w.Verdict(); got != "kept" {
			t.Errorf("%s: checker said %q", name, got)
		}
	}
}

// TestCheckerCounts shows that starts after a confirmed cancellation count.
func TestCheckerCounts(t *testing.T) {
	w := New(1, 1, io.Discard)
	j := &job{id: "req-000001", team: "red", class: "c", taskCount: 2, submitted: true, complete: map[int]bool{}}
	w.jobs[j.id] = j
	k := newWorker(w, "i-a", "i-a", "small", "a", false)
	start := func(shard string) { w.check.started(&task{on: k, job: j, name: shard, attempt: 1, phase: "running"}) }
	start("req-000001/0")
	w.check.asked[j.id] = true
	w.check.answered(w.now, j.id, 200, "cancelled")
	start("req-000001/1")
	if got := w.check.after; got != 1 || w.Verdict() != "kept" {
		t.Errorf("%d starts after the cancellation, %s", got, w.Verdict())
	}
}
