package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A site small enough to work out by hand: two machines hold one task each,
// one at 1 an hour (up), one at 3; two jobs at the start, none later, each
// running for half of the day: one task on average.
const small = `
duration_s = 80.0
warmup_s = 20.0
machine_types = [
  { name = "s", cpus = 1.0, memory_gb = 1.0, price = 1.0, spot_price = 0.5, fetch_gb_per_s = 1.0, boot_s = 10.0 },
  { name = "l", cpus = 1.0, memory_gb = 1.0, price = 3.0, spot_price = 2.0, fetch_gb_per_s = 1.0, boot_s = 50.0 },
]
capacity = [{ type = "s", count = 1 }, { type = "l", count = 1 }]
machines = [{ type = "s", count = 1 }]
[[jobs]]
name = "c"
cpus = 1.0
memory_gb = 1.0
tasks = { sizes = [1], weights = [2.0] }
run_s = { median = 50.0, p95 = 50.0 }
initial = 2
images = { gb = { median = 2.0, p95 = 2.0 } }
[[targets]]
kind = "wait"
class = "c"
within_s = 5.0
[[targets]]
kind = "makespan"
share = 0.9
`

func TestBounds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(small), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := run([]string{path}, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"c: 1.0 tasks run on average, 1.00 an hour at least (1.00", "wait 5 s: at most 0.500 of 2 jobs (quickest machine after 8 s, 1 tasks", "makespan: at least 90 s (50 s of every core", "price: at least 1.00", "useful: at most 1.00"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in:\n%s", want, out.String())
		}
	}
}
