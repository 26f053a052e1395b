package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lugward/internal/jsonwire/jsonwiretest"
)

const validPlatform = `{"label":"a","bind":"10.0.0.1:80","peer_bind":"10.0.0.1:81","seeds":[{"label":"b","endpoint":"10.0.0.2:81"}],"new":1,
"services":{"cloud":"10.0.1.1:1","state":"10.0.1.2:1"},"settings":{"teams":[{"name":"t"}],
"workers":{"report_s":1,"lease_s":30,"gang_wait_s":1,"gang_peer_s":1,"cancel_s":60},"state":{"rps":8,"write_rps":4,"value_kb":4,"txn_ops":8},
"cloud":{"rps":1,"list_lag_s":0},"resources":{"core_share":0.1,"ram_mb":50,"max_connections":40}}}`

// TestPlatformErrors checks that an invalid value is rejected with its key, the
// expected value and the value found.
func TestPlatformErrors(t *testing.T) {
	if _, err := Parse([]byte(validPlatform)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, message, key, expected, found string }{
		{"no label", `"label":"a"`, `"label":""`, "label: expected a name, found an empty string", "label", "a name", ""},
		{"host name for an address", `10.0.0.1:80"`, `localhost:80"`, "bind", "bind", "an IP address and port", "localhost:80"},
		{"own label for a seed", `"label":"b"`, `"label":"a"`, "seeds", "seeds", "labels of other controllers", "a"},
		{"zero", `"txn_ops":8`, `"txn_ops":0`, "state.txn_ops", "settings.state.txn_ops", "a positive number", "0"},
		{"cancel_s too short", `"cancel_s":60`, `"cancel_s":20`, "cancel_s", "settings.workers.cancel_s", "more than 30", "20"},
		{"negative lag", `"list_lag_s":0`, `"list_lag_s":-1`, "settings.cloud.list_lag_s: expected a non-negative number, found -1", "settings.cloud.list_lag_s", "a non-negative number", "-1"},
		{"negative skew", `"list_lag_s":0}`, `"list_lag_s":0},"skew_ms":-1`, "settings.skew_ms: expected a non-negative number, found -1", "settings.skew_ms", "a non-negative number", "-1"},
		{"negative amount of a team", `{"name":"t"}`, `{"name":"t","gpus":-1}`, "team", "settings.teams", "names and non-negative amounts", "team t"},
		{"string for a number", `"rps":8`, `"rps":"x"`, "settings.state.rps: expected a number, found string", "settings.state.rps", "a number", "string"},
		{"number for a string", `"label":"a"`, `"label":5`, "label: expected a string", "label", "a string", "number"},
		{"fraction for an integer", `"txn_ops":8`, `"txn_ops":1.5`, "txn_ops: expected an integer", "settings.state.txn_ops", "an integer", "number 1.5"},
		{"number for a list", `"seeds":[`, `"seeds":5,"x":[`, "seeds: expected a list", "seeds", "a list", "number"},
		{"number for an object", `"services":{`, `"services":5,"x":{`, "services: expected an object", "services", "an object", "number"},
		{"list for the file", validPlatform, `[]`, "the file: expected an object, found array", "", "an object", "array"},
		{"not JSON", validPlatform, `{"label";`, "expected JSON, found invalid text at byte 9", "", "JSON", "invalid text at byte 9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validPlatform, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.message) {
				t.Errorf("Parse returned error %v, want one that contains %q", err, c.message)
			}
			var configError *Error
			if !errors.As(err, &configError) || configError.Key != c.key || configError.Expected != c.expected || configError.Found != c.found {
				t.Errorf("Parse returned error %+v, want one with Key %q, Expected %q, Found %q", configError, c.key, c.expected, c.found)
			}
		})
	}
}

// TestUnknownFieldsOfPlatform checks that fields whose names are similar to those of the
// settings do not change them (review case 7 shows the fault for submissions).
func TestUnknownFieldsOfPlatform(t *testing.T) {
	jsonwiretest.CheckUnknownFields(t, []byte(validPlatform), func(document []byte) (any, error) { return Parse(document) })
}

// TestLeastLimits checks that limits under which no term could begin, or no record
// could be stored, are rejected at start with the key, its value and the minimum.
func TestLeastLimits(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"connections", `"max_connections":40`, `"max_connections":17`, "settings.resources.max_connections: found 17, expected at least 18 for 2 controllers, their services, workers and users"},
		{"requests", `"rps":8`, `"rps":1.5`, "settings.state.rps: found 1.5, expected at least 2 for one request per second from each of 2 controllers"},
		{"writes", `"write_rps":4`, `"write_rps":1.9`, "settings.state.write_rps: found 1.9, expected at least 2 for the writes that begin a term"},
		{"size of values", `"value_kb":4`, `"value_kb":0.5`, "settings.state.value_kb: found 0.5, expected at least 1 for one record"},
		{"size of transactions", `"txn_ops":8`, `"txn_ops":1`, "settings.state.txn_ops: found 1, expected at least 2 for the writes that begin a term"},
		{"announced size of transactions", `"txn_ops":8`, `"txn_ops":8,"next":{"txn_ops":1}`, "settings.state.next.txn_ops: found 1, expected at least 2 for the writes that begin a term"},
		{"announced size of values", `"value_kb":4`, `"value_kb":4,"next":{"value_kb":0.9}`, "settings.state.next.value_kb: found 0.9, expected at least 1 for one record"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validPlatform, c.old, c.new, 1)))
			if err == nil || err.Error() != c.want {
				t.Errorf("Parse returned error %v, want %q", err, c.want)
			}
		})
	}
	if _, err := Parse([]byte(strings.Replace(validPlatform, `"max_connections":40`, `"max_connections":18`, 1))); err != nil {
		t.Errorf("Parse with the minimum of 18 connections returned error %v, want nil", err)
	}
}

// TestStateNext checks that the smaller of the current and the announced limit is used,
// and that an error about an invalid announced limit names its key.
func TestStateNext(t *testing.T) {
	with := func(next string) (*Platform, error) {
		return Parse([]byte(strings.Replace(validPlatform, `"txn_ops":8}`, `"txn_ops":12`+next+`}`, 1)))
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
			t.Errorf("Parse with %q returned error %v, want nil", next, err)
		} else if got := p.Settings.State.Strictest(); got != want {
			t.Errorf("Parse with %q: Strictest returned %+v, want %+v", next, got, want)
		}
	}
	for next, key := range map[string]string{
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
		if _, err := with(`,"next":` + next); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("Parse with next %s returned error %v, want one that contains %q", next, err, key)
		}
	}
}

// TestOperator checks the operators' TOML: a key that is set, the defaults of the
// others, and errors for invalid text.
func TestOperator(t *testing.T) {
	o, err := ParseOperator("[term]\nlife = \"5s\"\n")
	if err != nil || o.Term.LeaseDuration != 5e9 || o.Scheduler.RoundInterval != DefaultOperator().Scheduler.RoundInterval {
		t.Errorf("ParseOperator returned %+v, error %v, want term.life 5s, the other keys at their defaults and no error", o, err)
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
		{"key in other case", "[term]\nLife = \"5s\"", "unknown key term.Life", "term.Life"},
		{"table in other case", "[Term]\nlife = \"5s\"", "unknown key Term", "Term"},
		{"key that Unicode folds", "[place]\nround = \"1s\"\n[intake]\n\"an\u017fwer\" = \"5s\"", "unknown key", "intake.an\u017fwer"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseOperator(c.text)
			if err == nil || !strings.Contains(err.Error(), c.message) {
				t.Errorf("ParseOperator returned error %v, want one that contains %q", err, c.message)
			}
			var configError *Error
			if !errors.As(err, &configError) || configError.Key != c.key {
				t.Errorf("ParseOperator returned error %+v, want one with Key %q", configError, c.key)
			}
		})
	}
}

// TestLoad checks that errors name the file that is missing or invalid.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings := write("settings.json", validPlatform)
	if _, err := Load(settings, write("good.toml", "")); err != nil {
		t.Errorf("Load of valid files returned error %v, want nil", err)
	}
	badPlatform, badOperator := write("bad.json", "{}"), write("bad.toml", "[place]\nlap = 1")
	for _, c := range []struct{ name, platform, operator, want, file string }{
		{"no platform's file", filepath.Join(dir, "none.json"), "", "none.json", ""},
		{"bad platform's file", badPlatform, "", "bad.json: label: expected a name, found an empty string", badPlatform},
		{"no operators' file", settings, filepath.Join(dir, "none.toml"), "none.toml", ""},
		{"bad operators' file", settings, badOperator, "bad.toml: unknown key place.lap", badOperator},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load(c.platform, c.operator)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("Load returned error %v, want one line that contains %q", err, c.want)
			}
			var configError *Error
			if errors.As(err, &configError) != (c.file != "") || (configError != nil && configError.File != c.file) {
				t.Errorf("Load returned error %+v, want one with File %q", configError, c.file)
			}
		})
	}
}

// TestSample checks that the sample file in the documentation equals the defaults.
func TestSample(t *testing.T) {
	raw, err := os.ReadFile("../../docs/lugward.sample.toml")
	if err != nil {
		t.Fatal(err)
	}
	if o, err := ParseOperator(string(raw)); err != nil || o != DefaultOperator() {
		t.Errorf("ParseOperator of the sample returned %+v, error %v, want the defaults %+v", o, err, DefaultOperator())
	}
}
