package main

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// classText is the text of a class whose jobs are one task each that runs for so
// many seconds.
func classText(name string, seconds int) string {
	return fmt.Sprintf(`
[[jobs]]
name = %q
cpus = 1.0
memory_gb = 1.0
tasks = { sizes = [1], weights = [1.0] }
run_s = { median = %d.0, p95 = %d.0 }
images = { gb = { median = 2.0, p95 = 2.0 } }
`, name, seconds, seconds)
}

// withPipeline is the small site with a pipeline: a diamond of 50 s, then 20 s and 30 s
// in parallel, then 10 s; and a shorter branch. The longest path takes 90 s. Two
// pipelines come in a hundred seconds, for half of the time.
var withPipeline = small + classText("quick", 20) + classText("slow", 30) + classText("last", 10) + `
[[targets]]
kind = "wait"
class = "slow"
within_s = 9.0
[[pipelines]]
name = "p"
arrivals = { rate = 0.02, start_s = 50.0 }
stages = [
  { class = "c" },
  { class = "slow", jobs = [2, 3], needs = [0] },
  { class = "quick", needs = [0] },
  { class = "last", needs = [2, 1] },
  { class = "last", needs = [0] },
]
deadline = { factor = 1.5, plus_s = 60.0 }
`

// TestPipeline: the longest path of the diamond, and the jobs that it adds to each class.
func TestPipeline(t *testing.T) {
	expectOutput(t, withPipeline,
		"pipeline p: done after 90.0 s at least, on average (c 50.0 + slow 30.0 + last 10.0); its deadline is 1.50 times what its owner expects plus 60 s\n",
		"slow: 0.8 tasks run on average",              // 2.5 jobs of 30 s in 100 s
		"wait 9 s: at most 1.000 of 2 jobs (quickest", // none are there at the start
		"c: 1.5 tasks run on average",                 // two at the start and one of a pipeline
		"last: 0.2 tasks run",                         // twice one
	)
}

// TestPipelineRefused: a pipeline that can't be followed is refused by its stage.
func TestPipelineRefused(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"needs a later stage", "needs = [2, 1]", "needs = [2, 3]", `pipelines "p": stage 3: needs`},
		{"unknown class", `{ class = "c" }`, `{ class = "none" }`, `pipelines "p": stage 0: no jobs of class "none"`},
		{"one number of jobs", "jobs = [2, 3]", "jobs = [2]", `pipelines "p": stage 1: jobs`},
	} {
		t.Run(c.name, func(t *testing.T) {
			expectRefused(t, strings.Replace(withPipeline, c.from, c.to, 1), c.want)
		})
	}
}

// TestNoJobs: a class without jobs has no share that is late.
func TestNoJobs(t *testing.T) {
	out, err := output(t, strings.Replace(small, "initial = 2", "initial = 0", 1))
	if err != nil || strings.Contains(out, "wait 5 s: at most NaN") {
		t.Errorf("%v\n%s", err, out)
	}
}

// TestLeastMean: the closed form agrees with an integral by steps.
func TestLeastMean(t *testing.T) {
	d := distribution{Median: 15, P95: 35, Max: 50}
	// The mean of the log-normal below 50, integrated by steps.
	sigma := math.Log(d.P95/d.Median) / z95
	sum, weight := 0.0, 0.0
	for x := 0.005; x < d.Max; x += 0.01 {
		z := math.Log(x/d.Median) / sigma
		density := math.Exp(-z*z/2) / x
		sum, weight = sum+x*density, weight+density
	}
	if got := d.leastMean(); math.Abs(got-sum/weight) > 0.01 || got >= d.mean() {
		t.Errorf("got %.3f, integrated %.3f, mean %.3f", got, sum/weight, d.mean())
	}
}
