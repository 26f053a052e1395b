package main

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// classTOML returns the TOML text of a class whose jobs have one task each, which runs for
// the given number of seconds.
func classTOML(name string, seconds int) string {
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

// siteWithPipeline is the small site with a pipeline: a diamond with a stage of 50 s, two
// parallel stages of 20 s and 30 s, and a stage of 10 s, plus a shorter branch. The longest
// path takes 90 s. Pipelines arrive at two per 100 s during the second half of the
// simulation.
var siteWithPipeline = smallSite + classTOML("quick", 20) + classTOML("slow", 30) + classTOML("last", 10) + `
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

// TestPipeline checks the longest path of the diamond and the jobs that the pipeline adds
// to each class.
func TestPipeline(t *testing.T) {
	expectOutput(t, siteWithPipeline,
		"pipeline p: at least 90.0 s on average (c 50.0 + slow 30.0 + last 10.0); deadline: 1.50 times the owner's expected duration plus 60 s\n",
		"slow: 0.8 tasks run on average",               // 2.5 jobs of 30 s in 100 s
		"wait 9 s: at most 1.000 of 2 jobs (first new", // no jobs of the class are queued at the start
		"c: 1.5 tasks run on average",                  // two jobs at the start and one from a pipeline
		"last: 0.2 tasks run",                          // two jobs of 10 s in 100 s
	)
}

// TestPipelineRefused checks that an invalid pipeline is rejected with an error that names
// its stage.
func TestPipelineRefused(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"needs a later stage", "needs = [2, 1]", "needs = [2, 3]", `pipelines "p": stage 3: needs`},
		{"unknown class", `{ class = "c" }`, `{ class = "none" }`, `pipelines "p": stage 0: the site has no jobs of class "none"`},
		{"one number of jobs", "jobs = [2, 3]", "jobs = [2]", `pipelines "p": stage 1: jobs`},
	} {
		t.Run(c.name, func(t *testing.T) {
			expectRejected(t, strings.Replace(siteWithPipeline, c.from, c.to, 1), c.want)
		})
	}
}

// TestNoJobs checks that the wait bound of a class without jobs is a number.
func TestNoJobs(t *testing.T) {
	out, err := runSite(t, strings.Replace(smallSite, "initial = 2", "initial = 0", 1))
	if err != nil || strings.Contains(out, "wait 5 s: at most NaN") {
		t.Errorf("run returned error %v, want nil and no wait bound of NaN; output:\n%s", err, out)
	}
}

// TestTruncatedMean checks the closed form of the mean against a numerical integral.
func TestTruncatedMean(t *testing.T) {
	d := distribution{Median: 15, P95: 35, Max: 50}
	// The mean of the log-normal below Max, integrated numerically.
	sigma := math.Log(d.P95/d.Median) / z95
	sum, weight := 0.0, 0.0
	for x := 0.005; x < d.Max; x += 0.01 {
		z := math.Log(x/d.Median) / sigma
		density := math.Exp(-z*z/2) / x
		sum, weight = sum+x*density, weight+density
	}
	if got := d.truncatedMean(); math.Abs(got-sum/weight) > 0.01 || got >= d.mean() {
		t.Errorf("truncatedMean() = %.3f, want %.3f and less than the mean %.3f", got, sum/weight, d.mean())
	}
}
