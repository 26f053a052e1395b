package pipeline

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"slices"
)

// runRecord is a chunk's stored form. Active lists the tasks that may be on a
// machine: as [task, attempt, machine] each, or as one text (see compact).
type runRecord struct {
	Attempt uint64 `json:"t"`
	Done    string `json:"d,omitempty"` // little-endian bitmap in base64, without zeros at its end
	Active  any    `json:"a,omitempty"`
}

// runFormat is how a run record lists the active tasks.
type runFormat bool

const (
	plainFormat   runFormat = false // a list, which every version reads
	compactFormat runFormat = true  // a text, which takes less space
)

// bytesPerWord is the number of bytes in one word of a bitmap.
const bytesPerWord = 8

// encodeRun returns the stored form of a chunk. It sorts active by task.
func encodeRun(n *Names, attempt uint64, done []uint64, active []*Assignment, format runFormat) []byte {
	r := runRecord{Attempt: attempt, Done: encodeBitmap(done)}
	slices.SortFunc(active, func(a, b *Assignment) int { return cmp.Compare(a.Task, b.Task) })
	switch {
	case len(active) == 0:
	case format == compactFormat:
		r.Active = compact(n, active)
	default:
		list := make([][3]any, len(active))
		for i, e := range active {
			list[i] = [3]any{e.Task, e.Attempt, n.Machines.Name(e.Machine)}
		}
		r.Active = list
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // numbers and texts
	}
	return data
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

func decodeBitmap(text string, words int) (done []uint64, ok bool) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(raw) > words*bytesPerWord {
		return nil, false
	}
	done = make([]uint64, words)
	for i, b := range raw {
		done[i/bytesPerWord] |= uint64(b) << (i % bytesPerWord * 8)
	}
	return done, true
}

// runAssignment is an active task as a run record lists it.
type runAssignment struct {
	task    int
	attempt uint64
	machine string
}

// storedRun is what a chunk's stored form says.
type storedRun struct {
	attempt   uint64
	done      []uint64
	active    []runAssignment
	compacted bool         // in the compact format, also if it could not be read
	unknown   recordFields // of a later version
}

// decodeRun reads a chunk's stored form, whose bitmap has so many words. A record
// that is not ok is damaged or of a later version and must be ignored.
func decodeRun(data []byte, words int) (run storedRun, ok bool) {
	var fields recordFields
	if json.Unmarshal(data, &fields) != nil {
		return run, false
	}
	var bitmap string
	if !fields.read("t", &run.attempt) || !fields.read("d", &bitmap) {
		return run, false
	}
	run.done, ok = decodeBitmap(bitmap, words)
	if !ok {
		return run, false
	}
	run.unknown = fields.without(runFields)
	run.active, run.compacted, ok = decodeActive(fields["a"])
	return run, ok
}

func decodeActive(data json.RawMessage) (active []runAssignment, small, ok bool) {
	if len(data) == 0 {
		return nil, false, true
	}
	if data[0] == '"' {
		var text string
		if json.Unmarshal(data, &text) != nil {
			return nil, false, false
		}
		active, ok = expand(text)
		return active, true, ok
	}
	var list [][3]json.RawMessage
	if json.Unmarshal(data, &list) != nil {
		return nil, false, false
	}
	for _, fields := range list {
		e, ok := decodeRunAssignment(fields)
		if !ok {
			return nil, false, false
		}
		active = append(active, e)
	}
	return active, false, true
}

func decodeRunAssignment(fields [3]json.RawMessage) (e runAssignment, ok bool) {
	ok = json.Unmarshal(fields[0], &e.task) == nil &&
		json.Unmarshal(fields[1], &e.attempt) == nil &&
		json.Unmarshal(fields[2], &e.machine) == nil
	return e, ok
}
