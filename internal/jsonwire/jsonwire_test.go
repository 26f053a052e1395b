package jsonwire_test

import (
	"encoding/json"
	"errors"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lugward/internal/jsonwire"
	"lugward/internal/jsonwire/jsonwiretest"
)

// message has the kinds of fields that the protocols use.
type message struct {
	embedded
	Count    *int            `json:"shards"`
	Amount   *float64        `json:"cores"`
	Flag     bool            `json:"stack"`
	Names    []*string       `json:"flavors"`
	Nested   []nested        `json:"tasks"`
	Raw      json.RawMessage `json:"data"`
	Revision uint64          `json:"stamp"`
	Phase    phase           `json:"phase"`
	Fields   map[string]any  `json:"fields"`
}

// phase is decoded from text, as the phases of tasks are.
type phase uint8

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *phase) UnmarshalText(text []byte) error {
	*p = phase(len(text))
	return nil
}

type embedded struct {
	Name string `json:"name_id"`
}

type nested struct {
	Task  string    `json:"task"`
	Value any       `json:"k"`
	Pair  [2]string `json:"pair"`
}

// TestNamesMatchExactly guards against the fault of review case 7: a field that differs from
// a known one in case, or in letters that Unicode folds, replaced it.
func TestNamesMatchExactly(t *testing.T) {
	for _, name := range []string{"Shards", "SHARDS", "\u017fhards"} {
		var got message
		if err := jsonwire.Unmarshal([]byte(`{"shards":3,"`+name+`":1}`), &got); err != nil || *got.Count != 3 {
			t.Errorf("with field %q: got %d tasks, %v; want 3", name, *got.Count, err)
		}
	}
}

// drawDocument draws a document with known, unknown and repeated fields, and with values of
// right and wrong types.
func drawDocument(t *rapid.T) string {
	names := []string{"name_id", "shards", "cores", "stack", "flavors", "tasks", "data", "stamp", "task", "k", "pair", "phase", "fields", "other", ""}
	values := []string{"null", "0", "-1", "3", "1.5", "1e400", "18446744073709551615", "true", `""`, `"a"`, `"\u00e9\ud800"`, "\"\xff\"",
		"[]", `["x",null]`, `["x","y","z"]`, "[1]", "{}", `{"task":"b","k":[1],"pair":["p"]}`, `[{"task":"b","k":{"k":1}},{"pair":["p","q","r"]}]`, "nul", "01"}
	count := rapid.IntRange(0, 8).Draw(t, "fields")
	fields := make([]string, 0, count)
	for range count {
		fields = append(fields, `"`+rapid.SampledFrom(names).Draw(t, "name")+`" :`+rapid.SampledFrom(values).Draw(t, "value"))
	}
	return "{" + strings.Join(fields, ",") + "}" + rapid.SampledFrom([]string{"", " \n", "x"}).Draw(t, "end")
}

// TestDecodesAsStandardLibrary checks that documents without similar names are accepted and
// decoded as by encoding/json, with repeated fields, nulls and invalid text.
func TestDecodesAsStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := []byte(drawDocument(t))
		var got, want message
		gotErr, wantErr := jsonwire.Unmarshal(document, &got), json.Unmarshal(document, &want)
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("%s: got error %v, want %v", document, gotErr, wantErr)
		}
		if wantErr == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: got %+v, want %+v", document, got, want)
		}
		var wrongType *json.UnmarshalTypeError
		if errors.As(wantErr, &wrongType) {
			checkWrongType(t, gotErr, wrongType)
		}
	})
}

// listIndex matches an index of a list in the path of a field, which encoding/json omits.
var listIndex = regexp.MustCompile(`\.[0-9]+`)

// checkWrongType checks that an error names the same field and value as that of encoding/json.
// The path of the field is compared without embedded structs, which are not in the document,
// and without indices.
func checkWrongType(t *rapid.T, err error, want *json.UnmarshalTypeError) {
	var got *jsonwire.UnmarshalTypeError
	if !errors.As(err, &got) || got.Value != want.Value || listIndex.ReplaceAllString(got.Field, "") != strings.ReplaceAll(want.Field, "embedded.", "") {
		t.Fatalf("got error %v, want %v", err, want)
	}
}

// TestUnknownFields checks that documents are decoded alike with and without added fields
// that no receiver knows.
func TestUnknownFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := []byte(drawDocument(t))
		var got, want message
		if jsonwire.Unmarshal(document, &want) != nil {
			return
		}
		extended := jsonwiretest.AddUnknownFields(document)
		if err := jsonwire.Unmarshal(extended, &got); err != nil {
			t.Fatalf("%s: %v", extended, err)
		}
		want.forgetRaw()
		got.forgetRaw()
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: got %+v, want %+v", extended, got, want)
		}
	})
}

// forgetRaw removes the values of which decoding keeps unknown fields.
func (m *message) forgetRaw() {
	m.Raw = nil
	m.Fields = nil
	for i := range m.Nested {
		m.Nested[i].Value = nil
	}
}

// BenchmarkUnmarshal measures the decoding of a heartbeat-like document of 200 tasks.
func BenchmarkUnmarshal(b *testing.B) {
	document := []byte(`{"name_id":"i-000001","shards":7,"stamp":41,"tasks":[` + strings.TrimSuffix(strings.Repeat(`{"task":"req-000412/3","k":"running"},`, 200), ",") + `]}`)
	for name, unmarshal := range map[string]func([]byte, any) error{"jsonwire": jsonwire.Unmarshal, "standard": json.Unmarshal} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var got message
				if err := unmarshal(document, &got); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
