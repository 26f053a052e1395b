package record

import (
	"reflect"
	"testing"
)

// A record without unknown fields is encoded with its own fields only.
func TestNoUnknownFields(t *testing.T) {
	var none Fields
	if got := string(none.appendTo([]byte(`{"t":1}`))); got != `{"t":1}` {
		t.Errorf("appendTo returned %s, want %s", got, `{"t":1}`)
	}
	if got := unknownFields([]byte(`{"t":1,"d":"","a":[]}`), runFields); got != nil {
		t.Errorf("unknownFields returned %v, want none", got)
	}
	if want := map[string]bool{"t": true, "d": true, "a": true}; !reflect.DeepEqual(runFields, want) {
		t.Errorf("runFields = %v, want %v", runFields, want)
	}
}

// Fields that a later version has added survive decoding and encoding.
func TestUnknownFieldsAreKept(t *testing.T) {
	const unknown = `,"y y":"\"x","zz":{"a":[1,2]}}`
	for _, test := range []struct {
		name, data string
		reencode   func([]byte) ([]byte, error)
	}{
		{
			name: "job",
			data: `{"c":"c","t":"t","s":1,"k":2,"n":3,"u":[1,0,0],"b":"b","g":1.5,"e":[1,2,3,4],"o":"n0"`,
			reencode: func(data []byte) ([]byte, error) {
				job, err := DecodeJob(data)
				return job.Encode(), err
			},
		},
		{
			name: "run",
			data: `{"t":1,"d":"AQ","a":[[1,1,"i-1"]]`,
			reencode: func(data []byte) ([]byte, error) {
				run, err := DecodeRun(data, 2)
				return run.Encode(), err
			},
		},
		{
			name: "retry",
			data: `{"n":1,"u":5`,
			reencode: func(data []byte) ([]byte, error) {
				retry, err := DecodeRetry(data)
				return retry.Encode(), err
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			stored := test.data + unknown
			if got, err := test.reencode([]byte(stored)); err != nil || string(got) != stored {
				t.Errorf("decoding and encoding returned %s, %v, want %s", got, err, stored)
			}
		})
	}
}
