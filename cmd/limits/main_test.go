package main

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// small is a site small enough to work out by hand: two machines hold one task each,
// one at 1 an hour (up), one at 3; two jobs at the start, none later, each
// running for half of the time: one task on average.
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

// output runs the command on a site file with the given text.
func output(t *testing.T, text string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	err := run(arguments{site: path}, &out)
	return out.String(), err
}

// expectOutput checks that the output for a site has all of the given parts.
func expectOutput(t *testing.T, text string, parts ...string) {
	t.Helper()
	out, err := output(t, text)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range parts {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in:\n%s", want, out)
		}
	}
}

// expectRefused checks that a site is refused by one line that names the file
// and has the given part.
func expectRefused(t *testing.T, text, want string) {
	t.Helper()
	out, err := output(t, text)
	if err == nil || !strings.Contains(err.Error(), "site.toml") || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v, want %q; output:\n%s", err, want, out)
	}
}

// TestBounds: the bounds of the small site, worked out by hand.
func TestBounds(t *testing.T) {
	expectOutput(t, small,
		"c: 1.0 tasks run on average, 1.00 an hour at least (1.00",
		"wait 5 s: at most 0.500 of 2 jobs (quickest machine after 8 s, 1 tasks",
		"makespan: at least 90 s (50 s of every core",
		"price: at least 1.00",
		"useful: at most 1.00",
	)
}

// TestSiteRefused: a site file that bounds can't be computed from is refused by
// the key that is at fault.
func TestSiteRefused(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"duration is text", "duration_s = 80.0", `duration_s = "x"`, "duration_s"},
		{"negative duration", "duration_s = 80.0", "duration_s = -20.0", "duration_s and warmup_s"},
		{"no weights", "weights = [2.0]", "weights = []", `jobs "c": tasks: as many weights as sizes`},
		{"weights without a sum", "weights = [2.0]", "weights = [0.0]", `jobs "c": tasks: weights`},
		{"no run time", "median = 50.0", "median = 0.0", `jobs "c": run_s: `},
		{"no class", "[[jobs]]", "[[others]]", "jobs: at least one class"},
		{"task fits no machine", "cpus = 1.0\nmemory_gb = 1.0\ntasks", "cpus = 9.0\nmemory_gb = 1.0\ntasks", `jobs "c": a task fits no machine type`},
	} {
		t.Run(c.name, func(t *testing.T) {
			expectRefused(t, strings.Replace(small, c.from, c.to, 1), c.want)
		})
	}
}

// TestFileErrors: the file that can't be read is named.
func TestFileErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(small), 0o600); err != nil {
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
				t.Errorf("%v, want %s", err, c.want)
			}
		})
	}
}

// TestReport: what a run reached follows the bounds.
func TestReport(t *testing.T) {
	dir := t.TempDir()
	paths := arguments{site: filepath.Join(dir, "site.toml"), report: filepath.Join(dir, "report.json")}
	for path, text := range map[string]string{
		paths.site:   small,
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
		t.Errorf("no %q at the end of:\n%s", want, out.String())
	}
}

// TestArguments: a site file, and a report if one is wanted.
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
				t.Errorf("%+v, %v; want %+v, %s", got, err, c.want, c.err)
			}
		})
	}
}
