package simtest

import (
	"io"
	"strings"
	"testing"
	"time"
)

// chain adds a job of one task that needs others, accepted.
func chain(w *World, id string, awaits ...string) *job {
	j := &job{id: id, team: "red", class: "c", taskCount: 1, submitted: true, complete: map[int]bool{}, awaits: awaits}
	w.jobs[id] = j
	w.check.answered(w.now, id, 201, "queued")
	return j
}

// finish lets all tasks of a job complete and, marked, stores its done mark.
func finish(w *World, j *job, marked bool) {
	for i := range j.taskCount {
		j.complete[i] = true
	}
	if marked {
		w.store("f/"+j.id, `{"p":"done","n":1}`)
	}
}

// TestCheckerCatchesChains shows that the checker sees what breaks the rules
// of chained jobs, and nothing where they are kept.
func TestCheckerCatchesChains(t *testing.T) {
	start := func(w *World, j *job) {
		k := &worker{w: w, name: "i-a", addr: "i-a", machineType: "small", zone: "a", up: true, tasks: map[string]*task{}}
		w.workers[k.name] = k
		x := &task{on: k, job: j, name: j.id + "/0", attempt: 1, phase: "running"}
		k.tasks[x.name] = x
		w.check.started(x)
	}
	cancel := func(w *World, id string) {
		w.check.asked[id] = true
		w.check.answered(w.now, id, 200, "cancelled")
	}
	cases := []struct {
		name, want string
		do         func(w *World, first, second, third *job)
	}{
		{"start before the tasks end", "too_early: req-000003/0 starts on i-a, needs req-000001, before all its tasks are complete", func(w *World, first, second, third *job) {
			finish(w, second, true)
			start(w, third)
		}},
		{"start before the mark", "too_early: req-000002/0 starts on i-a, needs req-000001, before it is marked done", func(w *World, first, second, third *job) {
			finish(w, first, false)
			start(w, second)
		}},
		{"start in turn", "kept", func(w *World, first, second, third *job) {
			finish(w, first, true)
			finish(w, second, true)
			start(w, third)
		}},
		{"start below a cancelled one", "too_early: req-000002/0", func(w *World, first, second, third *job) {
			finish(w, first, false)
			cancel(w, first.id)
			w.store("f/"+first.id, `{"p":"cancelled","n":1}`)
			start(w, second)
		}},
		{"called queued for long", "orphaned: req-000003 called queued 26s after req-000001 was cancelled", func(w *World, first, second, third *job) {
			cancel(w, first.id)
			w.now += 26 * time.Second
			w.check.answered(w.now, third.id, 200, "queued")
		}},
		{"called running for long", "orphaned: req-000003 called running", func(w *World, first, second, third *job) {
			cancel(w, second.id)
			w.now += 26 * time.Second
			w.check.answered(w.now, third.id, 200, "running")
		}},
		{"called queued for a while", "kept", func(w *World, first, second, third *job) {
			cancel(w, first.id)
			w.now += 24 * time.Second
			w.check.answered(w.now, third.id, 200, "queued")
			w.check.answered(w.now, third.id, 200, "cancelled")
		}},
		{"accepted below a cancelled one", "kept", func(w *World, first, second, third *job) {
			cancel(w, first.id)
			w.now += time.Minute
			chain(w, "req-000004", first.id)
			w.check.answered(w.now, "req-000004", 200, "cancelled")
		}},
		{"runs below a cancelled one", "ran_cancelled: req-000002/0 on i-a", func(w *World, first, second, third *job) {
			finish(w, first, true)
			start(w, second)
			cancel(w, first.id)
			w.now += 26 * time.Second
			w.check.moment()
		}},
		{"cancelled from below", "went_back: req-000001 cancelled by nobody", func(w *World, first, second, third *job) {
			cancel(w, second.id)
			w.check.answered(w.now, first.id, 200, "cancelled")
		}},
		{"cancelled though it lost", "went_back: req-000002 cancelled by nobody", func(w *World, first, second, third *job) {
			finish(w, first, true)
			w.check.asked[first.id] = true
			w.check.answered(w.now, first.id, 200, "done")
			w.check.answered(w.now, second.id, 200, "cancelled")
		}},
		{"cancelled before it lost", "went_back: req-000002 cancelled by nobody, as req-000001 is done", func(w *World, first, second, third *job) {
			finish(w, first, true)
			w.check.asked[first.id] = true
			w.check.answered(w.now, second.id, 200, "cancelled")
			w.check.answered(w.now, first.id, 200, "done")
		}},
		{"done then queued again", "went_back: req-000002 was cancelled, is queued", func(w *World, first, second, third *job) {
			cancel(w, first.id)
			w.check.answered(w.now, second.id, 200, "cancelled")
			w.check.answered(w.now, second.id, 200, "queued")
		}},
		{"accepted with an unknown one", "taken: req-000004 is accepted though it awaits req-000009", func(w *World, first, second, third *job) {
			chain(w, "req-000004", "req-000009")
		}},
		{"accepted with itself", "taken: req-000004 is accepted though it awaits req-000004", func(w *World, first, second, third *job) {
			chain(w, "req-000004", "req-000004")
		}},
		{"accepted with a service", "taken: req-000004 is accepted though it awaits req-000001", func(w *World, first, second, third *job) {
			first.shape = "daemon"
			chain(w, "req-000004", first.id)
		}},
		{"held is not unserved", "kept", func(w *World, first, second, third *job) {
			first.began = 1
			w.check.served()
		}},
		{"largest late after it was freed", "not served: largest of c: 1 of 3", func(w *World, first, second, third *job) {
			first.began = time.Second
			finish(w, first, true)
			finish(w, second, true)
			w.now = time.Minute
			w.check.moment()
			second.began, third.began = 6*time.Minute, 6*time.Minute
			w.check.served()
		}},
		{"largest in time after it was freed", "kept", func(w *World, first, second, third *job) {
			first.began = time.Second
			finish(w, first, true)
			finish(w, second, true)
			w.now = 10 * time.Minute
			w.check.moment()
			second.began, third.began = 12*time.Minute, 12*time.Minute
			w.check.served()
		}},
	}
	for _, c := range cases {
		w := New(1, 1, io.Discard)
		first := chain(w, "req-000001")
		second := chain(w, "req-000002", "req-000001")
		third := chain(w, "req-000003", "req-000002")
		c.do(w, first, second, third)
		if got := w.Verdict(); !strings.Contains(got, c.want) {
			t.Errorf("%s: checker said %q, not %q", c.name, got, c.want)
		}
	}
}

// TestLowering shows that the state service's stand-in keeps what it holds,
// refuses what is new and too large, and whose fault that is.
func TestLowering(t *testing.T) {
	value := func(n int) string { return `"` + strings.Repeat("x", n-2) + `"` }
	commit := func(w *World, ops ...string) int {
		for i, v := range ops {
			ops[i] = `{"write":"k/` + string(rune('a'+i)) + `","data":` + v + `}`
		}
		status, _ := w.state.commit([]byte(`{"then":[` + strings.Join(ops, ",") + `]}`))
		return status
	}
	for _, announced := range []bool{false, true} {
		a := Args{}
		if announced {
			a = Args{"nextvalue": "2", "nextops": "4", "nextwrites": "15"}
		}
		w := NewWith(Announce(Settings, a), 1, 1, io.Discard)
		large := value(3000)
		if got := commit(w, large, "1", "2", "3", "4"); got != 200 {
			t.Fatalf("before: %d", got)
		}
		do(t, w, "limits", Args{"value": "2", "ops": "4", "writes": "15"})
		w.Run(10 * time.Second)
		if got := string(w.state.keys["k/a"].data); got != large {
			t.Errorf("what was stored is %d bytes", len(got))
		}
		if got := commit(w, value(2048), "1"); got != 200 {
			t.Errorf("within the limits: %d", got)
		}
		if a, b := commit(w, value(2049)), commit(w, "1", "2", "3", "4", "5"); a != 400 || b != 400 || w.state.tooLarge != 2 {
			t.Errorf("beyond: %d, %d", a, b)
		}
		if got := w.Verdict() != "kept"; got != announced {
			t.Errorf("announced %v: %s", announced, w.Verdict())
		}
		w.Run(10 * time.Second)
		ok := 0
		for range 10 {
			if commit(w, "1", "2", "3") == 200 {
				ok++
			}
		}
		if ok != 5 || w.state.refused != 5 {
			t.Errorf("%d of 10 writes of three were taken at 15 a second", ok)
		}
		for range 3 * maxRepeats {
			w.Run(100 * time.Millisecond)
			commit(w, large)
		}
		if !strings.Contains(w.Verdict(), "k/a is tried again and again") {
			t.Errorf("endless tries: %s", w.Verdict())
		}
	}
}
