// Command limits computes, from a site file of the bench, bounds that no
// scheduler could pass, and sets beside them what a run's report shows.
//
//	go run ./cmd/limits SITE.toml [REPORT.json]
//
// Every bound relaxes the problem: classes do not compete for machines, tasks
// pack without waste, and the future is known. Classes may share a machine, so
// a task is charged by weighted shares of CPUs and GPUs; any weights give a
// valid bound, and the highest is taken. docs/limits.md explains the rest.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

type spread struct {
	Median  float64   `toml:"median"`
	P95     float64   `toml:"p95"`
	Max     float64   `toml:"max"`
	Sizes   []float64 `toml:"sizes"`
	Weights []float64 `toml:"weights"`
}

// mean is that of a log-normal with the given median and 95th percentile, or
// of the listed sizes.
func (s spread) mean() float64 {
	if len(s.Sizes) > 0 {
		sum, weight := 0.0, 0.0
		for i, v := range s.Sizes {
			sum += v * s.Weights[i]
			weight += s.Weights[i]
		}
		return sum / weight
	}
	const z95 = 1.6449
	sigma := math.Log(s.P95/s.Median) / z95
	return s.Median * math.Exp(sigma*sigma/2)
}

type site struct {
	Duration float64 `toml:"duration_s"`
	Warmup   float64 `toml:"warmup_s"`
	Types    []struct {
		Name   string  `toml:"name"`
		CPUs   float64 `toml:"cpus"`
		GPUs   float64 `toml:"gpus"`
		Memory float64 `toml:"memory_gb"`
		Price  float64 `toml:"price"`
		Spot   float64 `toml:"spot_price"`
		Fetch  float64 `toml:"fetch_gb_per_s"`
		Boot   float64 `toml:"boot_s"`
	} `toml:"machine_types"`
	Capacity []struct {
		Type  string  `toml:"type"`
		Count float64 `toml:"count"`
		Spot  float64 `toml:"spot"`
	} `toml:"capacity"`
	Machines []struct {
		Type  string  `toml:"type"`
		Count float64 `toml:"count"`
	} `toml:"machines"`
	Jobs []struct {
		Name     string   `toml:"name"`
		CPUs     float64  `toml:"cpus"`
		GPUs     float64  `toml:"gpus"`
		Memory   float64  `toml:"memory_gb"`
		Spot     bool     `toml:"spot"`
		Types    []string `toml:"types"`
		Tasks    spread   `toml:"tasks"`
		Run      spread   `toml:"run_s"`
		Initial  float64  `toml:"initial"`
		Arrivals struct {
			Rate float64 `toml:"rate"`
		} `toml:"arrivals"`
		Images struct {
			GB spread `toml:"gb"`
		} `toml:"images"`
	} `toml:"jobs"`
	Pipelines []pipeline `toml:"pipelines"`
	Targets   []struct {
		Kind   string  `toml:"kind"`
		Class  string  `toml:"class"`
		Within float64 `toml:"within_s"`
		Share  float64 `toml:"share"`
	} `toml:"targets"`
}

// option is a way to run a class: a type, spot or not.
type option struct {
	price            float64 // an hour per task, by weighted shares
	fullMachinePrice float64 // an hour per task on a machine full of them
	capacity, up     float64 // tasks that all machines hold, and those up at the start, by the same shares
	start            float64 // whole tasks that machines up at the start hold
	boot, fetch      float64
}

func main() {
	if len(os.Args) < 2 || len(os.Args) > 3 {
		fmt.Fprintln(os.Stderr, "usage: limits SITE.toml [REPORT.json]")
		os.Exit(2)
	}
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "limits:", err)
		os.Exit(1)
	}
}

func run(args []string, w io.Writer) error {
	var s site
	if _, err := toml.DecodeFile(args[0], &s); err != nil {
		return err
	}
	best, bestText := 0.0, ""
	for weight := 0.0; weight <= 1.0001; weight += 0.1 {
		cost, text, err := s.bounds(weight)
		if err != nil {
			return err
		}
		if cost > best || bestText == "" {
			best, bestText = cost, text
		}
	}
	fmt.Fprint(w, bestText)
	if len(args) == 2 {
		return report(args[1], w)
	}
	return nil
}

// bounds computes the bounds with so much of a machine's price laid on its
// CPUs, the rest on its GPUs.
func (s *site) bounds(weight float64) (float64, string, error) {
	var w strings.Builder
	horizon := s.Warmup + s.Duration
	chained, err := s.chained(horizon)
	if err != nil {
		return 0, "", err
	}
	cost, lowest, booted, work := 0.0, 0.0, 0.0, 0.0
	for j := range s.Jobs {
		job := &s.Jobs[j]
		opts := s.options(j, weight)
		if len(opts) == 0 {
			return 0, "", fmt.Errorf("class %s fits no type", job.Name)
		}
		jobs := job.Initial + job.Arrivals.Rate*horizon + chained[job.Name]
		load := jobs * job.Tasks.mean() * job.Run.mean() / horizon // tasks running, on average
		work += load * job.CPUs * horizon
		c, left, rented, cheapest := 0.0, load, 0.0, math.Inf(1)
		for _, o := range opts {
			n := math.Min(left, o.capacity)
			c += n * o.price
			rented += math.Max(0, n-o.up) * o.price * o.boot / horizon
			left -= n
			cheapest = math.Min(cheapest, o.fullMachinePrice)
		}
		cost, lowest, booted = cost+c, lowest+load*cheapest, booted+rented
		fmt.Fprintf(&w, "%s: %.1f tasks run on average, %.2f an hour at least (%.2f at the lowest price)", job.Name, load, c, load*cheapest)
		if left > 0 {
			fmt.Fprintf(&w, "; %.1f tasks more than all machines hold", left)
		}
		fmt.Fprintln(&w)
		for _, t := range s.Targets {
			if t.Kind != "wait" || t.Class != job.Name {
				continue
			}
			// Jobs there at the start that find no machine up wait for the
			// quickest boot and the fetch.
			up, soonest := 0.0, math.Inf(1)
			for _, o := range opts {
				up += o.start
				soonest = math.Min(soonest, 0.6*o.boot+job.Images.GB.Median/o.fetch)
			}
			late := 0.0
			if soonest > t.Within && jobs > 0 {
				late = math.Max(0, job.Initial-up/job.Tasks.mean())
			}
			fmt.Fprintf(&w, "  wait %.0f s: at most %.3f of %.0f jobs (quickest machine after %.0f s, %.0f tasks find one up)\n",
				t.Within, 1-late/math.Max(1, jobs), jobs, soonest, up)
		}
	}
	for i := range s.Pipelines {
		text, err := s.chain(&s.Pipelines[i])
		if err != nil {
			return 0, "", err
		}
		fmt.Fprintln(&w, text)
	}
	for _, t := range s.Targets {
		if t.Kind != "makespan" {
			continue
		}
		cpus := 0.0
		for _, c := range s.Capacity {
			for _, m := range s.Types {
				if m.Name == c.Type {
					cpus += m.CPUs * (c.Count + c.Spot)
				}
			}
		}
		// That share of the work comes no sooner, and all CPUs need their time for it.
		fmt.Fprintf(&w, "makespan: at least %.0f s (%.0f s of every core there is)\n", t.Share*math.Max(horizon, work/cpus), work/cpus)
	}
	fmt.Fprintf(&w, "price: at least %.2f\nuseful: at most %.2f (each rented machine boots once)\n", (cost+booted)/lowest, cost/(cost+booted))
	return cost + booted, w.String(), nil
}

// options lists the ways to run a class, the cheapest per task first.
func (s *site) options(j int, weight float64) (opts []option) {
	job := &s.Jobs[j]
	for _, t := range s.Types {
		allowed := len(job.Types) == 0
		for _, n := range job.Types {
			allowed = allowed || n == t.Name
		}
		fit := math.Inf(1)
		for _, p := range [][2]float64{{t.CPUs, job.CPUs}, {t.GPUs, job.GPUs}, {t.Memory, job.Memory}} {
			if p[1] > 0 {
				fit = math.Min(fit, math.Floor(p[0]/p[1]+1e-9))
			}
		}
		if !allowed || fit < 1 {
			continue
		}
		count, spot, up := 0.0, 0.0, 0.0
		for _, c := range s.Capacity {
			if c.Type == t.Name {
				count += c.Count
				spot += c.Spot
			}
		}
		for _, m := range s.Machines {
			if m.Type == t.Name {
				up += m.Count
			}
		}
		share := job.CPUs / t.CPUs
		if t.GPUs > 0 {
			share = weight*share + (1-weight)*job.GPUs/t.GPUs
		}
		capacity := func(n float64) float64 {
			if share == 0 {
				return math.Inf(1)
			}
			return n / share
		}
		opts = append(opts, option{t.Price * share, t.Price / fit, capacity(count), capacity(up), up * fit, t.Boot, t.Fetch})
		if job.Spot && spot > 0 {
			opts = append(opts, option{t.Spot * share, t.Spot / fit, capacity(spot), 0, 0, t.Boot, t.Fetch})
		}
	}
	sort.SliceStable(opts, func(a, b int) bool { return opts[a].price < opts[b].price })
	return opts
}

// report prints what a run reached.
func report(path string, w io.Writer) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var r struct {
		Scenario string `json:"scenario"`
		Targets  []struct {
			Kind   string  `json:"kind"`
			Class  string  `json:"class"`
			Within float64 `json:"within_s"`
			Times  float64 `json:"times"`
			Value  float64 `json:"value"`
		} `json:"targets"`
	}
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	for _, t := range r.Targets {
		name := t.Kind
		if t.Class != "" {
			name += " " + t.Class
		}
		if t.Within > 0 {
			name += fmt.Sprintf(" %.0f s", t.Within)
		}
		if t.Times > 0 {
			name += fmt.Sprintf(" %.1f times", t.Times)
		}
		fmt.Fprintf(w, "simulated, %s: %s: %.3f\n", r.Scenario, name, t.Value)
	}
	return nil
}
