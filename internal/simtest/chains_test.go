package simtest

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestRandomChains plays random pipelines under random faults, while the state
// service lowers its limits: the rules must hold, every job must end, as those
// that it needs do, and nothing but final marks may be left behind.
func TestRandomChains(t *testing.T) {
	first, plays := drawn("SIM_FROM", 1), drawn("SIM_PLAYS", 60)
	for seed := first; seed < first+plays; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playChains(t, seed)
		})
	}
}

func playChains(t failer, seed uint64) {
	next := Args{}
	if seed%3 != 0 {
		next = Args{"nextvalue": "2", "nextops": "4", "nextwrites": "20"}
	}
	w := NewWith(Announce(Settings, next), 3, seed, logOut())
	w.watchRules()
	w.loss, w.late = 0.01, 0.05
	w.copies, w.copyLate = 0.05, 30*time.Second
	for range 3 {
		w.cloud.add("small", []string{"a", "b"}[w.rng.IntN(2)], false, 0)
	}
	w.addFinishedJobs(Args{"from": "5000", "count": "400"})
	pipelines(t, w, seed, len(next) > 0, nil)
}

// pipelines goes on with jobs that were accepted, and with new ones.
func pipelines(t failer, w *World, seed uint64, announced bool, open []string) {
	all := append([]string(nil), open...) // those too whose answer nobody waited for
	lowered := false
	lower := func() {
		if announced && !lowered {
			lowered = true
			w.state.lower(Args{"value": "2", "ops": "4", "writes": "20"})
		}
	}
	next := 0
	// one adds a job that needs others, at once or without waiting for it.
	one := func(awaits []string, apart bool) (id string, accepted bool) {
		a := Args{"id": fmt.Sprintf("req-%06d", next), "shape": []string{"array", "array", "gang"}[w.rng.IntN(3)], "tasks": fmt.Sprint(1 + w.rng.IntN(4)),
			"run": fmt.Sprintf("%ds", 1+w.rng.IntN(12)), "team": []string{"red", "blue"}[w.rng.IntN(2)],
			"priority": []string{"idle", "normal", "high", "production"}[w.rng.IntN(4)]}
		next++
		if w.rng.IntN(2) == 0 {
			a["spot"] = ""
		}
		if w.rng.IntN(12) == 0 {
			a["tasks"], a["cpus"], a["memory"] = "200", "0.02", "0.02"
		}
		if len(awaits) > 0 && w.rng.IntN(8) == 0 {
			awaits = append(awaits, "req-005000*400") // several values and transactions
		}
		if len(awaits) > 0 {
			a["awaits"] = strings.Join(awaits, "+")
		}
		all = append(all, a["id"])
		if apart {
			w.after(seconds(w.rng.Float64()/2), func() { w.submitOn(a) })
			return a["id"], false
		}
		status, _ := w.Submit(a)
		switch status {
		case 200, 201:
			open = append(open, a["id"])
			return a["id"], true
		case 503, 429, 0:
		default:
			t.Errorf("seed %d: %s gets %d", seed, a["id"], status)
		}
		return a["id"], false
	}
	for range 5 {
		// A pipeline: each job needs one or two before it, some an older one.
		var stages []string
		for k := range 2 + w.rng.IntN(4) {
			var awaits []string
			if k > 0 && len(stages) > 0 {
				for range 1 + w.rng.IntN(2) {
					awaits = append(awaits, stages[len(stages)-1-w.rng.IntN(min(len(stages), 3))])
				}
			}
			if len(open) > 0 && w.rng.IntN(4) == 0 {
				awaits = append(awaits, open[w.rng.IntN(len(open))])
			}
			if id, ok := one(awaits, false); ok {
				stages = append(stages, id)
			}
			if w.rng.IntN(5) == 0 {
				w.Run(seconds(w.rng.Float64() * 4)) // the next comes late
			}
		}
		if w.rng.IntN(3) != 0 {
			w.twoFaults()
		}
		if w.rng.IntN(6) == 0 {
			// The limits fall in an outage.
			w.state.outage(true)
			lower()
			w.after(seconds(1+w.rng.Float64()*10), func() { w.state.outage(false) })
		} else if w.rng.IntN(6) == 0 {
			lower()
		}
		if w.rng.IntN(3) == 0 {
			w.state.lagKey, w.state.lagFor, w.state.lagged = []string{"f/", "j/", "u/"}[w.rng.IntN(3)], seconds(2+w.rng.Float64()*10), 1+w.rng.IntN(2)
		}
		if len(stages) > 0 && w.rng.IntN(4) == 0 {
			// A submission that meets the cancellation of what it needs.
			up := stages[w.rng.IntN(len(stages))]
			one([]string{up}, true)
			w.after(seconds(w.rng.Float64()/2), func() { w.cancelOn(up) })
		}
		w.Run(seconds(w.rng.Float64() * 8))
		if len(stages) > 0 && w.rng.IntN(2) == 0 {
			w.Poll(stages[w.rng.IntN(len(stages))])
		}
		if len(stages) > 0 && w.rng.IntN(4) == 0 {
			w.Cancel(stages[w.rng.IntN(len(stages))])
		}
		for _, id := range stages {
			if w.rng.IntN(3) == 0 {
				w.Poll(id)
			}
		}
	}
	lower()
	w.endFaults()
	w.settled(2 * userRetry)
	w.state.lagged = 0
	for _, id := range all {
		if w.check.acknowledged[id] == "" {
			w.Poll(id) // its user gave up; it may be accepted all the same
		}
	}
	left := func() (ids []string) {
		for _, id := range all {
			if acknowledged := w.check.acknowledged[id]; acknowledged != "" && acknowledged != "done" && acknowledged != "cancelled" {
				ids = append(ids, id)
			}
		}
		return ids
	}
	for range 150 {
		ids := left()
		if len(ids) == 0 {
			break
		}
		for _, id := range ids {
			w.Poll(id)
		}
		w.Run(seconds(2))
	}
	for _, id := range left() {
		t.Errorf("seed %d: %s is still %s, needs %v\n%s", seed, id, w.check.acknowledged[id], w.jobs[id].awaits,
			strings.Join(append(w.Keys("j/"+id), w.Keys("r/"+id)...), "\n"))
	}
	for _, id := range all {
		for _, up := range w.jobs[id].awaits {
			if acknowledged, above := w.check.acknowledged[id], w.check.acknowledged[up]; acknowledged == "done" && above != "done" || above == "cancelled" && acknowledged != "" && acknowledged != "cancelled" {
				t.Errorf("seed %d: %s is %s, needs %s, which is %s", seed, id, acknowledged, up, above)
			}
		}
	}
	w.Run(150 * time.Second)
	for _, prefix := range []string{"j/", "r/", "u/"} {
		if keys := w.Keys(prefix); len(keys) > 0 {
			t.Errorf("seed %d: left behind: %.300s", seed, strings.Join(keys, "\n"))
		}
	}
	if v := w.Verdict(); v != "kept" {
		t.Errorf("seed %d: %s", seed, v)
	}
}
