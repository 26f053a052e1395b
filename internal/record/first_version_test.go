package record

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"reflect"
	"strconv"
	"testing"
)

// Stored records as defined by the first version, which is in production.
type (
	firstVersionJob struct {
		Class        string    `json:"c"`
		Team         string    `json:"t"`
		Shape        uint8     `json:"s"`
		Priority     uint8     `json:"k"`
		TaskCount    int       `json:"n"`
		Resources    []float64 `json:"u"`
		Image        string    `json:"b"`
		ImageGB      float64   `json:"g"`
		MachineTypes []string  `json:"f,omitempty"`
		Zone         string    `json:"z,omitempty"`
		Flags        int       `json:"x,omitempty"`
		Times        []float64 `json:"e"`
		Owner        string    `json:"o"`
		Upstream     []string  `json:"up,omitempty"`
		Ready        bool      `json:"r,omitempty"`
	}
	firstVersionTerminal struct {
		Phase     string `json:"p"`
		TaskCount int    `json:"n"`
	}
)

// decodeFirstVersionRun decodes a run record as the first version does.
func decodeFirstVersionRun(data []byte, words int) (attempt uint64, done []uint64, active []Assignment, ok bool) {
	var stored struct {
		Attempt uint64               `json:"t"`
		Done    string               `json:"d"`
		Active  [][3]json.RawMessage `json:"a"`
	}
	if json.Unmarshal(data, &stored) != nil {
		return
	}
	raw, err := base64.RawStdEncoding.DecodeString(stored.Done)
	if err != nil || len(raw) > words*8 {
		return
	}
	done = make([]uint64, words)
	for i, b := range raw {
		done[i/8] |= uint64(b) << (i % 8 * 8)
	}
	for _, elements := range stored.Active {
		var a Assignment
		if json.Unmarshal(elements[0], &a.Task) != nil || json.Unmarshal(elements[1], &a.Attempt) != nil || json.Unmarshal(elements[2], &a.Machine) != nil {
			return
		}
		active = append(active, a)
	}
	return stored.Attempt, done, active, true
}

// The first version reads all of its own fields from a job record that this version wrote
// and ignores the others. This version decodes the record to the same job.
func TestFirstVersionReadsJob(t *testing.T) {
	ready := Job{
		Class: "c", Team: "t", Shape: 1, Priority: 2, TaskCount: 7, CPUs: 1.5, GPUs: 2, Memory: 3, Image: "b",
		ImageGB: 4.5, MachineTypes: []string{"x", "y"}, Zone: "z", SameZone: true, AllowSpot: true,
		EstimatedRuntime: 10, CheckpointInterval: 20, CheckpointDuration: 30, Deadline: 40,
		Owner: "n2", Upstream: []string{"req-2", "req-3"}, Ready: true, SubmittedAt: 1_700_000_000_123, ReadyAt: 1_700_000_060_456,
	}
	held := ready
	held.Upstream, held.UpstreamPages, held.SubmissionRevision, held.Ready, held.ReadyAt = nil, 9, 1<<63, false, 0
	for _, test := range []struct {
		name string
		job  Job
	}{
		{"ready", ready},
		{"held, with upstream jobs in pages", held},
	} {
		t.Run(test.name, func(t *testing.T) {
			job := test.job
			want := firstVersionJob{"c", "t", 1, 2, 7, []float64{1.5, 2, 3}, "b", 4.5, []string{"x", "y"}, "z", 5, []float64{10, 20, 30, 40}, "n2", job.Upstream, job.Ready}
			data := job.Encode()
			var got firstVersionJob
			if err := json.Unmarshal(data, &got); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("first version decoded %s to %+v, %v, want %+v", data, got, err, want)
			}
			if decoded, err := DecodeJob(data); err != nil || !reflect.DeepEqual(decoded, job) {
				t.Errorf("DecodeJob(%s) = %+v, %v, want %+v", data, decoded, err, job)
			}
		})
	}
}

func TestFirstVersionReadsTerminal(t *testing.T) {
	for _, daemon := range []bool{false, true} {
		for cancelled, phase := range map[bool]string{false: "done", true: "cancelled"} {
			terminal := Terminal{Cancelled: cancelled, TaskCount: 3, Daemon: daemon}
			data := terminal.Encode()
			var got firstVersionTerminal
			if err := json.Unmarshal(data, &got); err != nil || got.TaskCount != 3 || got.Phase != phase {
				t.Errorf("first version decoded %s to %+v, %v, want phase %q and 3 tasks", data, got, err, phase)
			}
			if decoded, err := DecodeTerminal(data); err != nil || decoded != terminal {
				t.Errorf("DecodeTerminal(%s) = %+v, %v, want %+v", data, decoded, err, terminal)
			}
		}
	}
}

// The first version reads plain run records of this version. It rejects a compact record
// as corrupted and so keeps its last known state, instead of treating the tasks as gone.
func TestFirstVersionReadsRun(t *testing.T) {
	active := make([]Assignment, 0, 30)
	for task := range 30 {
		active = append(active, Assignment{task, uint64(1 + task%2), "i-00000" + strconv.Itoa(task/7)})
	}
	done := []uint64{5 << 40, 0}
	encode := func(active []Assignment, format Format) []byte {
		return (&Run{MaxAttempt: 9, Done: done, Active: active, Format: format}).Encode()
	}
	attempt, bits, list, ok := decodeFirstVersionRun(encode(active, Plain), 2)
	if !ok || attempt != 9 || !reflect.DeepEqual(bits, done) || len(list) != len(active) {
		t.Errorf("first version decoded plain record: ok %v, attempt %d, done %v, %d assignments; want ok, attempt 9, done %v, %d assignments", ok, attempt, bits, len(list), done, len(active))
	}
	data := encode(active, Compact)
	if _, _, _, ok = decodeFirstVersionRun(data, 2); ok {
		t.Error("first version decoded a compact record, want it rejected")
	}
	if run, err := DecodeRun(data, 2); err != nil || len(run.Active) != len(active) {
		t.Errorf("DecodeRun of compact record returned %d assignments, %v, want %d", len(run.Active), err, len(active))
	}
	// Without active tasks both formats encode to the same record.
	if !bytes.Equal(encode(nil, Compact), encode(nil, Plain)) {
		t.Error("compact record without active tasks differs from plain record")
	}
}

// A DecodeError has the kind of the record, the field and the reason.
func TestDecodeError(t *testing.T) {
	decodeJob := func(data string) error { _, err := DecodeJob([]byte(data)); return err }
	decodeRun := func(data string) error { _, err := DecodeRun([]byte(data), 1); return err }
	decodeTerminal := func(data string) error { _, err := DecodeTerminal([]byte(data)); return err }
	decodeRetry := func(data string) error { _, err := DecodeRetry([]byte(data)); return err }
	decodePage := func(data string) error { _, err := DecodeUpstreamPage([]byte(data)); return err }
	for _, test := range []struct {
		name   string
		decode func(string) error
		data   string
		kind   Kind
		field  string
		reason error
	}{
		{"job that is not JSON", decodeJob, `{"c":`, KindJob, "", ErrMalformed},
		{"job whose class is a number", decodeJob, `{"c":1}`, KindJob, "c", ErrMalformed},
		{"job with two resources", decodeJob, `{"n":1,"u":[1,2],"e":[1,2,3,4]}`, KindJob, "u", ErrLength},
		{"job with five times", decodeJob, `{"n":1,"u":[1,2,3],"e":[1,2,3,4,5]}`, KindJob, "e", ErrLength},
		{"job without tasks", decodeJob, `{"n":0,"u":[1,2,3],"e":[1,2,3,4]}`, KindJob, "n", ErrOutOfRange},
		{"run that is a list", decodeRun, `[]`, KindRun, "", ErrMalformed},
		{"run with a negative attempt", decodeRun, `{"t":-1}`, KindRun, "t", ErrMalformed},
		{"run whose bitmap is not base64", decodeRun, `{"d":"?"}`, KindRun, "d", ErrMalformed},
		{"run whose bitmap is too long", decodeRun, `{"d":"AAAAAAAAAAAB"}`, KindRun, "d", ErrLength},
		{"run with an assignment without a machine", decodeRun, `{"a":[[0,1]]}`, KindRun, "a", ErrMalformed},
		{"run with a corrupted compact list", decodeRun, `{"a":"@1 i- 0"}`, KindRun, "a", ErrCompactText},
		{"terminal record whose phase is a number", decodeTerminal, `{"p":0}`, KindTerminal, "p", ErrMalformed},
		{"retry state that is a string", decodeRetry, `"1"`, KindRetry, "", ErrMalformed},
		{"page that is a list", decodePage, `["1"]`, KindUpstreamPage, "", ErrMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.decode(test.data)
			var decodeError *DecodeError
			if !errors.As(err, &decodeError) || !errors.Is(err, test.reason) {
				t.Fatalf("decoding %s returned error %v, want a DecodeError that wraps %q", test.data, err, test.reason)
			}
			if decodeError.Kind != test.kind || decodeError.Field != test.field || err.Error() == "" {
				t.Errorf("decoding %s: error %q has kind %q, field %q, want kind %q, field %q", test.data, err, decodeError.Kind, decodeError.Field, test.kind, test.field)
			}
		})
	}
}
