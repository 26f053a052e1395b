package record

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
)

// Run is the run record of one segment of a job's tasks: which tasks may be on which
// machine, and which tasks are done.
type Run struct {
	MaxAttempt uint64       // highest attempt used
	Done       []uint64     // bitmap of done tasks
	Active     []Assignment // tasks that may be on a machine
	Format     Format       // encoding of Active
	Unknown    Fields       // added by a later version
}

// Assignment is an attempt of a task that may be on a machine.
type Assignment struct {
	Task    int
	Attempt uint64
	Machine string
}

// Format is the encoding of the active tasks in a run record.
type Format bool

// The formats.
const (
	Plain   Format = false // a JSON list, which every version can read
	Compact Format = true  // a string, which takes less space
)

// storedRun is the stored form of a run record. Active is a list with one [task, attempt,
// machine] per active task, or one string (see compact).
type storedRun struct {
	MaxAttempt uint64 `json:"t"`
	Done       string `json:"d,omitempty"` // little-endian bitmap in base64, without trailing zero bytes
	Active     any    `json:"a,omitempty"`
}

// Sizes of bitmap words.
const (
	BitsPerWord  = 64
	bitsPerByte  = 8
	bytesPerWord = BitsPerWord / bitsPerByte
)

// Encode returns the stored form of a run record. It sorts r.Active by task.
func (r *Run) Encode() []byte {
	stored := storedRun{MaxAttempt: r.MaxAttempt, Done: encodeBitmap(r.Done)}
	slices.SortFunc(r.Active, func(a, b Assignment) int { return cmp.Compare(a.Task, b.Task) })
	switch {
	case len(r.Active) == 0:
	case r.Format == Compact:
		stored.Active = compact(r.Active)
	default:
		list := make([][3]any, len(r.Active))
		for i, assignment := range r.Active {
			list[i] = [3]any{assignment.Task, assignment.Attempt, assignment.Machine}
		}
		stored.Active = list
	}
	return r.Unknown.appendTo(marshal(stored))
}

func encodeBitmap(words []uint64) string {
	raw := make([]byte, 0, len(words)*bytesPerWord)
	for _, word := range words {
		raw = binary.LittleEndian.AppendUint64(raw, word)
	}
	for len(raw) > 0 && raw[len(raw)-1] == 0 {
		raw = raw[:len(raw)-1]
	}
	return base64.RawStdEncoding.EncodeToString(raw)
}

// DecodeRun decodes a run record whose bitmap has the given number of words. An error is a
// *DecodeError. The caller must then ignore the returned Run, except for its Format.
func DecodeRun(data []byte, words int) (run Run, err error) {
	var fields Fields
	if err := unmarshal(KindRun, "", data, &fields); err != nil {
		return run, err
	}
	if err := fields.decode(KindRun, "t", &run.MaxAttempt); err != nil {
		return run, err
	}
	var bitmap string
	if err := fields.decode(KindRun, "d", &bitmap); err != nil {
		return run, err
	}
	if run.Done, err = decodeBitmap(bitmap, words); err != nil {
		return run, &DecodeError{KindRun, "d", err}
	}
	run.Unknown = fields.without(runFields)
	run.Active, run.Format, err = decodeActive(fields["a"])
	return run, err
}

func decodeBitmap(text string, words int) ([]uint64, error) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(raw) > words*bytesPerWord {
		return nil, fmt.Errorf("%w: found %d bytes, expected at most %d", ErrLength, len(raw), words*bytesPerWord)
	}
	done := make([]uint64, words)
	for i, b := range raw {
		done[i/bytesPerWord] |= uint64(b) << (i % bytesPerWord * bitsPerByte)
	}
	return done, nil
}

func decodeActive(data json.RawMessage) ([]Assignment, Format, error) {
	switch {
	case len(data) == 0:
		return nil, Plain, nil
	case data[0] == '"':
		return decodeCompact(data)
	}
	active, err := decodePlain(data)
	return active, Plain, err
}

func decodeCompact(data json.RawMessage) ([]Assignment, Format, error) {
	var text string
	if err := unmarshal(KindRun, "a", data, &text); err != nil {
		return nil, Plain, err
	}
	active, err := expand(text)
	if err != nil {
		return nil, Compact, &DecodeError{KindRun, "a", err}
	}
	return active, Compact, nil
}

func decodePlain(data json.RawMessage) (active []Assignment, err error) {
	var list [][3]json.RawMessage
	if err := unmarshal(KindRun, "a", data, &list); err != nil {
		return nil, err
	}
	for _, elements := range list {
		assignment, err := decodeAssignment(elements)
		if err != nil {
			return nil, err
		}
		active = append(active, assignment)
	}
	return active, nil
}

func decodeAssignment(elements [3]json.RawMessage) (assignment Assignment, err error) {
	if err := unmarshal(KindRun, "a", elements[0], &assignment.Task); err != nil {
		return assignment, err
	}
	if err := unmarshal(KindRun, "a", elements[1], &assignment.Attempt); err != nil {
		return assignment, err
	}
	return assignment, unmarshal(KindRun, "a", elements[2], &assignment.Machine)
}
