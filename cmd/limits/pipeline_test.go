package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// chains is small with a diamond: 50 s, then 20 and 30 beside each other, then
// 10; and a tail that is shorter. 90 s is the longest path. Two a hundred
// seconds come for half of the day.
const chains = small + `
[[jobs]]
name = "quick"
cpus = 1.0
memory_gb = 1.0
tasks = { sizes = [1], weights = [1.0] }
run_s = { median = 20.0, p95 = 20.0 }
images = { gb = { median = 2.0, p95 = 2.0 } }
[[jobs]]
name = "slow"
cpus = 1.0
memory_gb = 1.0
tasks = { sizes = [1], weights = [1.0] }
run_s = { median = 30.0, p95 = 30.0 }
images = { gb = { median = 2.0, p95 = 2.0 } }
[[jobs]]
name = "last"
cpus = 1.0
memory_gb = 1.0
tasks = { sizes = [1], weights = [1.0] }
run_s = { median = 10.0, p95 = 10.0 }
images = { gb = { median = 2.0, p95 = 2.0 } }
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

func output(t *testing.T, text string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	err := run([]string{path}, &out)
	return out.String(), err
}

func TestChain(t *testing.T) {
	out, err := output(t, chains)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"pipeline p: done after 90.0 s at least, on average (c 50.0 + slow 30.0 + last 10.0); its deadline is 1.50 times what its owner expects plus 60 s\n",
		"slow: 0.8 tasks run on average",                     // 2.5 jobs of 30 s in 100 s
		"wait 9 s: at most 1.000 of 2 jobs (quickest",        // none are there at the start
		"c: 1.5 tasks run on average", "last: 0.2 tasks run", // two at the start and one chained; twice one
	} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in:\n%s", want, out)
		}
	}
}

func TestChainRefused(t *testing.T) {
	for from, to := range map[string]string{
		"needs = [2, 1]":  "needs = [2, 3]",
		`{ class = "c" }`: `{ class = "none" }`,
		"jobs = [2, 3]":   "jobs = [2]",
	} {
		if out, err := output(t, strings.Replace(chains, from, to, 1)); err == nil {
			t.Errorf("%s taken:\n%s", to, out)
		}
	}
}

// A class without jobs has no share that is late.
func TestNoJobs(t *testing.T) {
	out, err := output(t, strings.Replace(small, "initial = 2", "initial = 0", 1))
	if err != nil || strings.Contains(out, "wait 5 s: at most NaN") {
		t.Errorf("%v\n%s", err, out)
	}
}

func TestLeast(t *testing.T) {
	s := spread{Median: 15, P95: 35, Max: 50}
	// The mean of the log-normal below 50, integrated by steps.
	sigma := math.Log(s.P95/s.Median) / 1.6449
	sum, weight := 0.0, 0.0
	for x := 0.005; x < s.Max; x += 0.01 {
		z := math.Log(x/s.Median) / sigma
		d := math.Exp(-z*z/2) / x
		sum, weight = sum+x*d, weight+d
	}
	if got := s.least(); math.Abs(got-sum/weight) > 0.01 || got >= s.mean() {
		t.Errorf("got %.3f, integrated %.3f, mean %.3f", got, sum/weight, s.mean())
	}
}
