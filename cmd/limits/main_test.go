package main

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// smallSite is a site whose bounds can be computed by hand. Two machines hold one task
// each: one costs 1 per hour and is up at the start, the other costs 3 per hour. Two jobs
// are queued at the start and none arrive later. Each runs for half of the time, so one
// task runs on average.
const smallSite = `
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

// runSite writes text to a site file, runs the command on it and returns the output.
func runSite(t *testing.T, text string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	err := run(arguments{site: path}, &out)
	return out.String(), err
}

// expectOutput checks that the output for a site contains each of the given parts.
func expectOutput(t *testing.T, text string, parts ...string) {
	t.Helper()
	out, err := runSite(t, text)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range parts {
		if !strings.Contains(out, want) {
			t.Errorf("output does not contain %q, got:\n%s", want, out)
		}
	}
}

// expectRejected checks that run rejects a site with a one-line error that names the file
// and contains want.
func expectRejected(t *testing.T, text, want string) {
	t.Helper()
	out, err := runSite(t, text)
	if err == nil || !strings.Contains(err.Error(), "site.toml") || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
		t.Errorf("run returned error %v, want one line with site.toml and %q; output:\n%s", err, want, out)
	}
}

// TestBounds checks the bounds of the small site, which were computed by hand.
func TestBounds(t *testing.T) {
	expectOutput(t, smallSite,
		"c: 1.0 tasks run on average, at least 1.00 per hour (1.00",
		"wait 5 s: at most 0.500 of 2 jobs (first new machine ready after 8 s, 1 tasks",
		"makespan: at least 90 s (50 s of work per CPU",
		"price: at least 1.00",
		"useful: at most 1.00",
	)
}

// TestSiteRefused checks that a site file from which no bounds can be computed is rejected
// with an error that names the invalid key.
func TestSiteRefused(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"duration is text", "duration_s = 80.0", `duration_s = "x"`, "duration_s"},
		{"negative duration", "duration_s = 80.0", "duration_s = -20.0", "duration_s and warmup_s"},
		{"no weights", "weights = [2.0]", "weights = []", `jobs "c": tasks: expected as many weights as sizes`},
		{"weights with a zero sum", "weights = [2.0]", "weights = [0.0]", `jobs "c": tasks: expected weights`},
		{"no run time", "median = 50.0", "median = 0.0", `jobs "c": run_s: `},
		{"no class", "[[jobs]]", "[[others]]", "jobs: expected at least one class"},
		{"task fits no machine", "cpus = 1.0\nmemory_gb = 1.0\ntasks", "cpus = 9.0\nmemory_gb = 1.0\ntasks", `jobs "c": a task fits on no allowed machine type`},
	} {
		t.Run(c.name, func(t *testing.T) {
			expectRejected(t, strings.Replace(smallSite, c.from, c.to, 1), c.want)
		})
	}
}

// TestFileErrors checks that the error names the file that cannot be read.
func TestFileErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(smallSite), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, c := range []struct {
		name  string
		paths arguments
		want  string
	}{
		{"no site file", arguments{site: "none.toml"}, "site file none.toml: "},
		{"no report", arguments{site: path, report: "none.json"}, "report none.json: "},
		{"report that is not JSON", arguments{site: path, report: path}, "report " + path + ": "},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := run(c.paths, &out); err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("run returned error %v, want prefix %q", err, c.want)
			}
		})
	}
}

// TestReport checks that the results of a run are printed after the bounds.
func TestReport(t *testing.T) {
	dir := t.TempDir()
	paths := arguments{site: filepath.Join(dir, "site.toml"), report: filepath.Join(dir, "report.json")}
	for path, text := range map[string]string{
		paths.site:   smallSite,
		paths.report: `{"scenario":"s","targets":[{"kind":"wait","class":"c","within_s":5,"value":0.25},{"kind":"deadline","times":1.5,"value":1}]}`,
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	if err := run(paths, &out); err != nil {
		t.Fatal(err)
	}
	want := "useful: at most 1.00 (each rented machine boots once)\nsimulated, s: wait c 5 s: 0.250\nsimulated, s: deadline 1.5 times: 1.000\n"
	if !strings.HasSuffix(out.String(), want) {
		t.Errorf("output does not end with %q, got:\n%s", want, out.String())
	}
}

// TestArguments checks that the command accepts one site file and at most one report.
func TestArguments(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
		want arguments
		err  string
	}{
		{"site", []string{"a"}, arguments{site: "a"}, ""},
		{"site and report", []string{"a", "b"}, arguments{site: "a", report: "b"}, ""},
		{"none", nil, arguments{}, "usage: limits SITE.toml [REPORT.json]"},
		{"too many", []string{"a", "b", "c"}, arguments{}, "usage: limits SITE.toml [REPORT.json]"},
		{"empty report", []string{"a", ""}, arguments{}, "usage: limits SITE.toml [REPORT.json]"},
		{"help", []string{"--help"}, arguments{}, flag.ErrHelp.Error()},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseArguments(c.args)
			if got != c.want || (err == nil) != (c.err == "") || (err != nil && err.Error() != c.err) {
				t.Errorf("parseArguments(%q) = %+v, error %v, want %+v, error %q", c.args, got, err, c.want, c.err)
			}
		})
	}
}
