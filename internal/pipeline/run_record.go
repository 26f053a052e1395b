package pipeline

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"sort"
)

// runRecord is a chunk's stored form. An active task is [task, try, machine] in a
// list, or part of a text (compact) that holds many in less capacity.
type runRecord struct {
	Attempt uint64 `json:"t"`
	Done    string `json:"d,omitempty"` // little-endian bitmap, base64, zero tail cut
	Active  any    `json:"a,omitempty"`
}

// runFormat is how a run record lists the active tasks.
type runFormat bool

const (
	plainFormat   runFormat = false // a list, which every version reads
	compactFormat runFormat = true  // a text, which takes less space
)

// encodeRun returns the stored form of a chunk.
func encodeRun(n *Names, attempt uint64, done []uint64, active []*Entry, format runFormat) []byte {
	r := runRecord{Attempt: attempt}
	last := len(done)
	for last > 0 && done[last-1] == 0 {
		last--
	}
	if last > 0 {
		var raw []byte
		for _, w := range done[:last] {
			raw = binary.LittleEndian.AppendUint64(raw, w)
		}
		for len(raw) > 0 && raw[len(raw)-1] == 0 {
			raw = raw[:len(raw)-1]
		}
		r.Done = base64.RawStdEncoding.EncodeToString(raw)
	}
	sort.Slice(active, func(a, b int) bool { return active[a].Task < active[b].Task })
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
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

type runEntry struct {
	task    int
	attempt uint64
	machine string
}

func decodeRun(data []byte, words int) (attempt uint64, done []uint64, active []runEntry, small, ok bool) {
	var r struct {
		Attempt uint64          `json:"t"`
		Done    string          `json:"d"`
		Active  json.RawMessage `json:"a"`
	}
	if json.Unmarshal(data, &r) != nil {
		return
	}
	raw, err := base64.RawStdEncoding.DecodeString(r.Done)
	if err != nil || len(raw) > words*8 {
		return
	}
	done = make([]uint64, words)
	for i, b := range raw {
		done[i/8] |= uint64(b) << (i % 8 * 8)
	}
	if len(r.Active) > 0 && r.Active[0] == '"' {
		var text string
		if json.Unmarshal(r.Active, &text) != nil {
			return
		}
		active, ok = expand(text)
		return r.Attempt, done, active, true, ok
	}
	var list [][3]json.RawMessage
	if len(r.Active) > 0 && json.Unmarshal(r.Active, &list) != nil {
		return
	}
	for _, a := range list {
		var e runEntry
		if json.Unmarshal(a[0], &e.task) != nil || json.Unmarshal(a[1], &e.attempt) != nil || json.Unmarshal(a[2], &e.machine) != nil {
			return
		}
		active = append(active, e)
	}
	return r.Attempt, done, active, false, true
}
