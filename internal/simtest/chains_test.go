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

// pipelinePlay is a play of random pipelines.
type pipelinePlay struct {
	failer
	w         *World
	seed      uint64
	open      []string // accepted jobs
	all       []string // those too whose answer nobody waited for
	next      int      // number of the next job
	announced bool     // the state service will lower its limits
	lowered   bool
}

// pipelines goes on with jobs that were accepted, and with new ones.
func pipelines(t failer, w *World, seed uint64, announced bool, open []string) {
	p := &pipelinePlay{failer: t, w: w, seed: seed, open: open, all: append([]string(nil), open...), announced: announced}
	for range 5 {
		p.onePipeline()
	}
	p.lower()
	w.endFaults()
	w.settled(2 * userRetry)
	w.state.lagged = 0
	p.untilOver()
	p.checkEnds()
	w.Run(150 * time.Second)
	for _, prefix := range []string{"j/", "r/", "u/"} {
		if keys := w.Keys(prefix); len(keys) > 0 {
			p.Errorf("seed %d: left behind: %.300s", seed, strings.Join(keys, "\n"))
		}
	}
	if v := w.Verdict(); v != "kept" {
		p.Errorf("seed %d: %s", seed, v)
	}
}

// lower lowers the state service's limits if that was announced.
func (p *pipelinePlay) lower() {
	if p.announced && !p.lowered {
		p.lowered = true
		p.w.state.lower(Args{"value": "2", "ops": "4", "writes": "20"})
	}
}

// randomJob draws a job that needs others.
func (p *pipelinePlay) randomJob(awaits []string) Args {
	rng := p.w.rng
	a := Args{"id": jobID(p.next), "shape": []string{"array", "array", "gang"}[rng.IntN(3)], "tasks": fmt.Sprint(1 + rng.IntN(4)),
		"run": fmt.Sprintf("%ds", 1+rng.IntN(12)), "team": []string{"red", "blue"}[rng.IntN(2)],
		"priority": []string{"idle", "normal", "high", "production"}[rng.IntN(4)]}
	p.next++
	if rng.IntN(2) == 0 {
		a["spot"] = ""
	}
	if rng.IntN(12) == 0 {
		a["tasks"], a["cpus"], a["memory"] = "200", "0.02", "0.02"
	}
	if len(awaits) > 0 && rng.IntN(8) == 0 {
		awaits = append(awaits, "req-005000*400") // several values and transactions
	}
	if len(awaits) > 0 {
		a["awaits"] = strings.Join(awaits, "+")
	}
	p.all = append(p.all, a["id"])
	return a
}

// submit submits a random job that needs others.
func (p *pipelinePlay) submit(awaits []string) (id string, taken bool) {
	a := p.randomJob(awaits)
	status, _ := p.w.Submit(a)
	switch status {
	case 200, 201:
		p.open = append(p.open, a["id"])
		return a["id"], true
	case 503, 429, 0:
	default:
		p.Errorf("seed %d: %s gets %d", p.seed, a["id"], status)
	}
	return a["id"], false
}

// onePipeline submits a pipeline under random faults.
func (p *pipelinePlay) onePipeline() {
	w := p.w
	stages := p.submitStages()
	if w.rng.IntN(3) != 0 {
		w.twoFaults()
	}
	if w.rng.IntN(6) == 0 {
		// The limits fall in an outage.
		w.state.outage(true)
		p.lower()
		w.after(seconds(1+w.rng.Float64()*10), func() { w.state.outage(false) })
	} else if w.rng.IntN(6) == 0 {
		p.lower()
	}
	if w.rng.IntN(3) == 0 {
		w.state.lagKey, w.state.lagFor, w.state.lagged = []string{"f/", "j/", "u/"}[w.rng.IntN(3)], seconds(2+w.rng.Float64()*10), 1+w.rng.IntN(2)
	}
	if len(stages) > 0 && w.rng.IntN(4) == 0 {
		// A submission that meets the cancellation of what it needs.
		up := stages[w.rng.IntN(len(stages))]
		down := p.randomJob([]string{up})
		w.after(seconds(w.rng.Float64()/2), func() { w.submitOn(down) })
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

// submitStages submits a pipeline: each job needs one or two before it, some an
// older one.
func (p *pipelinePlay) submitStages() (stages []string) {
	rng := p.w.rng
	for k := range 2 + rng.IntN(4) {
		var awaits []string
		if k > 0 && len(stages) > 0 {
			for range 1 + rng.IntN(2) {
				awaits = append(awaits, stages[len(stages)-1-rng.IntN(min(len(stages), 3))])
			}
		}
		if len(p.open) > 0 && rng.IntN(4) == 0 {
			awaits = append(awaits, p.open[rng.IntN(len(p.open))])
		}
		if id, ok := p.submit(awaits); ok {
			stages = append(stages, id)
		}
		if rng.IntN(5) == 0 {
			p.w.Run(seconds(rng.Float64() * 4)) // the next comes late
		}
	}
	return stages
}

// left lists the accepted jobs that are not over.
func (p *pipelinePlay) left() (ids []string) {
	for _, id := range p.all {
		if p.w.check.acknowledged[id] != "" && !p.w.check.isOver(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// untilOver polls all jobs until they are over.
func (p *pipelinePlay) untilOver() {
	for _, id := range p.all {
		if p.w.check.acknowledged[id] == "" {
			p.w.Poll(id) // its user gave up; it may be accepted all the same
		}
	}
	for range 150 {
		ids := p.left()
		if len(ids) == 0 {
			break
		}
		for _, id := range ids {
			p.w.Poll(id)
		}
		p.w.Run(seconds(2))
	}
}

// checkEnds checks that all jobs are over, and as their upstream jobs demand.
func (p *pipelinePlay) checkEnds() {
	w := p.w
	for _, id := range p.left() {
		p.Errorf("seed %d: %s is still %s, needs %v\n%s", p.seed, id, w.check.acknowledged[id], w.jobs[id].awaits,
			strings.Join(append(w.Keys("j/"+id), w.Keys("r/"+id)...), "\n"))
	}
	for _, id := range p.all {
		for _, up := range w.jobs[id].awaits {
			if acknowledged, above := w.check.acknowledged[id], w.check.acknowledged[up]; acknowledged == "done" && above != "done" || above == "cancelled" && acknowledged != "" && acknowledged != "cancelled" {
				p.Errorf("seed %d: %s is %s, needs %s, which is %s", p.seed, id, acknowledged, up, above)
			}
		}
	}
}
