package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `{"label":"a","bind":"10.0.0.1:80","peer_bind":"10.0.0.1:81","seeds":[{"label":"b","endpoint":"10.0.0.2:81"}],"new":1,
"services":{"cloud":"10.0.1.1:1","state":"10.0.1.2:1"},"settings":{"teams":[{"name":"t"}],
"workers":{"report_s":1,"lease_s":30,"gang_wait_s":1,"gang_peer_s":1,"cancel_s":60},"state":{"rps":8,"write_rps":4,"value_kb":4,"txn_ops":8},
"cloud":{"rps":1,"list_lag_s":0},"resources":{"core_share":0.1,"ram_mb":50,"max_connections":40}}}`

// TestPlatformErrors: a bad value is refused by its key and what is expected there.
func TestPlatformErrors(t *testing.T) {
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, message, key, expected, found string }{
		{"no label", `"label":"a"`, `"label":""`, "label is missing", "label", "a name", ""},
		{"a name for an address", `10.0.0.1:80"`, `localhost:80"`, "bind", "bind", "an address and port", "localhost:80"},
		{"own label for a seed", `"label":"b"`, `"label":"a"`, "seeds", "seeds", "labels of other controllers", "a"},
		{"zero", `"txn_ops":8`, `"txn_ops":0`, "state.txn_ops", "settings.state.txn_ops", "a positive number", "0"},
		{"cancel_s too short", `"cancel_s":60`, `"cancel_s":20`, "cancel_s", "settings.workers.cancel_s", "more than 30", "20"},
		{"negative lag", `"list_lag_s":0`, `"list_lag_s":-1`, "settings.cloud.list_lag_s must not be negative", "settings.cloud.list_lag_s", "a number, not negative", "-1"},
		{"negative amount of a team", `{"name":"t"}`, `{"name":"t","gpus":-1}`, "team", "settings.teams", "names, and amounts that are not negative", "team t"},
		{"text for a number", `"rps":8`, `"rps":"x"`, "settings.state.rps: expected a number, found string", "settings.state.rps", "a number", "string"},
		{"number for a text", `"label":"a"`, `"label":5`, "label: expected a string", "label", "a string", "number"},
		{"fraction for an integer", `"txn_ops":8`, `"txn_ops":1.5`, "txn_ops: expected an integer", "settings.state.txn_ops", "an integer", "number 1.5"},
		{"number for a list", `"seeds":[`, `"seeds":5,"x":[`, "seeds: expected a list", "seeds", "a list", "number"},
		{"number for an object", `"services":{`, `"services":5,"x":{`, "services: expected an object", "services", "an object", "number"},
		{"list for the file", good, `[]`, "the file: expected an object, found array", "", "an object", "array"},
		{"not JSON", good, `{"label";`, "not JSON, at byte 9", "", "JSON", "other text at byte 9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.message) {
				t.Errorf("%v, want %s", err, c.message)
			}
			var wrong *Error
			if !errors.As(err, &wrong) || wrong.Key != c.key || wrong.Expected != c.expected || wrong.Found != c.found {
				t.Errorf("%+v, want key %q, expected %q, found %q", wrong, c.key, c.expected, c.found)
			}
		})
	}
}

// TestLeastLimits: limits with which no term could begin, or no record be
// stored, are refused at start with the key, its value and what is needed.
func TestLeastLimits(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"connections", `"max_connections":40`, `"max_connections":17`, "settings.resources.max_connections is 17: at least 18 are needed for 2 controllers, their services, workers and users"},
		{"requests", `"rps":8`, `"rps":1.5`, "settings.state.rps is 1.5: at least 2 are needed for one request a second of each of 2 controllers"},
		{"writes", `"write_rps":4`, `"write_rps":1.9`, "settings.state.write_rps is 1.9: at least 2 are needed for the writes that begin a term"},
		{"size of values", `"value_kb":4`, `"value_kb":0.5`, "settings.state.value_kb is 0.5: at least 1 are needed for one record"},
		{"size of transactions", `"txn_ops":8`, `"txn_ops":1`, "settings.state.txn_ops is 1: at least 2 are needed for the writes that begin a term"},
		{"announced size of transactions", `"txn_ops":8`, `"txn_ops":8,"next":{"txn_ops":1}`, "settings.state.next.txn_ops is 1: at least 2 are needed for the writes that begin a term"},
		{"announced size of values", `"value_kb":4`, `"value_kb":4,"next":{"value_kb":0.9}`, "settings.state.next.value_kb is 0.9: at least 1 are needed for one record"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1)))
			if err == nil || err.Error() != c.want {
				t.Errorf("%v, want %s", err, c.want)
			}
		})
	}
	if _, err := Parse([]byte(strings.Replace(good, `"max_connections":40`, `"max_connections":18`, 1))); err != nil {
		t.Errorf("just enough connections: %v", err)
	}
}

// TestStateNext: the smaller of both limits count; nonsense is refused by name.
func TestStateNext(t *testing.T) {
	with := func(next string) (*Platform, error) {
		return Parse([]byte(strings.Replace(good, `"txn_ops":8}`, `"txn_ops":12`+next+`}`, 1)))
	}
	for next, want := range map[string]StateLimits{
		``:                                   {RPS: 8, WriteRPS: 4, ValueKB: 4, TxnOps: 12},
		`,"next":null`:                       {RPS: 8, WriteRPS: 4, ValueKB: 4, TxnOps: 12},
		`,"next":{}`:                         {RPS: 8, WriteRPS: 4, ValueKB: 4, TxnOps: 12},
		`,"next":{"txn_ops":4,"rps":null}`:   {RPS: 8, WriteRPS: 4, ValueKB: 4, TxnOps: 4},
		`,"next":{"txn_ops":20,"rps":2.5}`:   {RPS: 2.5, WriteRPS: 4, ValueKB: 4, TxnOps: 12},
		`,"next":{"value_kb":1.5,"later":1}`: {RPS: 8, WriteRPS: 4, ValueKB: 1.5, TxnOps: 12},
		`,"next":{"write_rps":2.25}`:         {RPS: 8, WriteRPS: 2.25, ValueKB: 4, TxnOps: 12},
	} {
		p, err := with(next)
		if err != nil {
			t.Errorf("%s: %v", next, err)
		} else if got := p.Settings.State.Lasting(); got != want {
			t.Errorf("%s: %+v", next, got)
		}
	}
	for next, name := range map[string]string{
		`5`:                "next",
		`[]`:               "next",
		`"x"`:              "next",
		`{"rps":"x"}`:      "next.rps",
		`{"rps":0}`:        "state.next.rps",
		`{"write_rps":-1}`: "state.next.write_rps",
		`{"value_kb":0}`:   "state.next.value_kb",
		`{"value_kb":[2]}`: "next.value_kb",
		`{"txn_ops":0}`:    "state.next.txn_ops",
		`{"txn_ops":2.5}`:  "next.txn_ops",
	} {
		if _, err := with(`,"next":` + next); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", next, err)
		}
	}
}

// TestOperator: the same for the operators' TOML.
func TestOperator(t *testing.T) {
	o, err := ParseOperator("[term]\nlife = \"5s\"\n")
	if err != nil || o.Term.Life != 5e9 || o.Scheduler.Round != DefaultOperator().Scheduler.Round {
		t.Errorf("%+v, %v", o, err)
	}
	for _, c := range []struct{ name, text, message, key string }{
		{"unknown key of a table", "[term]\nlives = \"5s\"", "term.lives", "term.lives"},
		{"negative", "[term]\nlife = \"-5s\"", "positive", "term.life"},
		{"too short", "[term]\nlife = \"10ms\"", "at least", "term.life"},
		{"not TOML", "x", "line 1", ""},
		{"number", "[term]\nlife = 5", `"term.life"): expected a duration in quotes such as "1.5s", found 5`, "term.life"},
		{"no unit", "[term]\nlife = \"5\"", `"term.life"): expected a duration`, "term.life"},
		{"number for a table", "term = 3", `"term"): expected a table`, "term"},
		{"list", "[term]\nlife = [\"4s\"]", `"term.life"): expected a duration`, "term.life"},
		{"unknown key", "life = \"4s\"", "unknown key life", "life"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseOperator(c.text)
			if err == nil || !strings.Contains(err.Error(), c.message) {
				t.Errorf("%v, want %s", err, c.message)
			}
			var wrong *Error
			if !errors.As(err, &wrong) || wrong.Key != c.key {
				t.Errorf("%+v, want key %q", wrong, c.key)
			}
		})
	}
}

// TestLoad: errors name the file that is at fault.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings := write("settings.json", good)
	if _, err := Load(settings, write("good.toml", "")); err != nil {
		t.Error(err)
	}
	badPlatform, badOperator := write("bad.json", "{}"), write("bad.toml", "[place]\nlap = 1")
	for _, c := range []struct{ name, platform, operator, want, file string }{
		{"no platform's file", filepath.Join(dir, "none.json"), "", "none.json", ""},
		{"bad platform's file", badPlatform, "", "bad.json: label is missing", badPlatform},
		{"no operators' file", settings, filepath.Join(dir, "none.toml"), "none.toml", ""},
		{"bad operators' file", settings, badOperator, "bad.toml: unknown key place.lap", badOperator},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load(c.platform, c.operator)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want %s", err, c.want)
			}
			var wrong *Error
			if errors.As(err, &wrong) != (c.file != "") || (wrong != nil && wrong.File != c.file) {
				t.Errorf("%+v, want file %q", wrong, c.file)
			}
		})
	}
}

// TestSample: the documented sample is what the program does without one.
func TestSample(t *testing.T) {
	raw, err := os.ReadFile("../../docs/lugward.sample.toml")
	if err != nil {
		t.Fatal(err)
	}
	if o, err := ParseOperator(string(raw)); err != nil || o != DefaultOperator() {
		t.Errorf("%+v, %v", o, err)
	}
}
