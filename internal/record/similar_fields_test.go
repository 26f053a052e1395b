package record

import (
	"reflect"
	"testing"

	"lugward/internal/jsonwire/jsonwiretest"
)

// TestSimilarFieldsOfLaterVersion checks that fields of a later version whose names are similar
// to those of this version do not change a record (review case 7 shows the fault for
// submissions), and that they are kept.
func TestSimilarFieldsOfLaterVersion(t *testing.T) {
	for _, c := range []struct {
		name, data string
		decode     func(data []byte) (record any, unknown Fields, err error)
	}{
		{"job", `{"c":"a","t":"b","s":1,"k":2,"n":3,"u":[1,0,2],"b":"img","g":1,"f":["m"],"z":"y","x":1,"e":[1,2,3,4],"o":"n0","up":["req-1"],"at":5}`,
			func(data []byte) (any, Fields, error) {
				job, err := DecodeJob(data)
				unknown := job.Unknown
				job.Unknown = nil
				return job, unknown, err
			}},
		{"run", `{"t":3,"d":"AQ","a":[[1,3,"i-1"]]}`,
			func(data []byte) (any, Fields, error) {
				run, err := DecodeRun(data, 1)
				unknown := run.Unknown
				run.Unknown = nil
				return run, unknown, err
			}},
		{"retry", `{"n":2,"u":7}`,
			func(data []byte) (any, Fields, error) {
				retry, err := DecodeRetry(data)
				unknown := retry.Unknown
				retry.Unknown = nil
				return retry, unknown, err
			}},
		{"terminal", `{"p":"cancelled","n":2,"s":true}`,
			func(data []byte) (any, Fields, error) {
				terminal, err := DecodeTerminal(data)
				return terminal, Fields{"T": nil}, err
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			want, _, err := c.decode([]byte(c.data))
			if err != nil {
				t.Fatal(err)
			}
			got, unknown, err := c.decode(jsonwiretest.AddUnknownFields([]byte(c.data)))
			if err != nil || !reflect.DeepEqual(got, want) || len(unknown) == 0 {
				t.Errorf("got %+v with unknown fields %v, %v; want %+v", got, unknown, err, want)
			}
		})
	}
}
