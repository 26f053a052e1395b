package pipeline

import (
	"strconv"
	"strings"

	"lugward/internal/record"
)

// TerminalRecord says how a job ended.
type TerminalRecord struct {
	Phase     Phase // Done or Cancelled
	TaskCount int   // number of tasks
	Daemon    bool  // false also if an earlier version wrote the record
}

// TerminalRecords holds the terminal records of all jobs that have ever ended. They are
// kept for ever, as users may ask about a job at any later time, so each takes little: its
// ID and its record as one number each.
type TerminalRecords struct {
	packed map[packedID]packedTerminal
	other  map[string]TerminalRecord // whose ID or size does not fit
}

// packedID is an ID as a number: how many digits it has, as those in front may be
// zeros, and their value.
type packedID uint64

// packedTerminal is a terminal record as a number: the phase, whether the job was a daemon,
// and the number of its tasks.
type packedTerminal uint32

const (
	idDigitsShift   = 59 // the value takes the bits below
	maxPackedDigits = 17 // of which the largest value is less than 1<<idDigitsShift

	terminalPhaseBits = 2
	terminalPhaseMask = 1<<terminalPhaseBits - 1
	terminalDaemonBit = 1 << terminalPhaseBits
	terminalSizeShift = terminalPhaseBits + 1
	maxPackedSize     = 1<<(32-terminalSizeShift) - 1
)

func newTerminalRecords() TerminalRecords {
	return TerminalRecords{packed: map[packedID]packedTerminal{}, other: map[string]TerminalRecord{}}
}

// Get returns the record of a job that has ended.
func (r *TerminalRecords) Get(id string) (terminal TerminalRecord, ok bool) {
	key, packable := packID(id)
	if !packable {
		terminal, ok = r.other[id]
		return terminal, ok
	}
	if packed, ok := r.packed[key]; ok {
		return packed.unpack(), true
	}
	terminal, ok = r.other[id]
	return terminal, ok
}

// Has reports whether a job has ended.
func (r *TerminalRecords) Has(id string) bool {
	_, ok := r.Get(id)
	return ok
}

// add adds the record of a job.
func (r *TerminalRecords) add(id string, terminal TerminalRecord) {
	key, packable := packID(id)
	if packable && terminal.TaskCount >= 0 && terminal.TaskCount <= maxPackedSize {
		r.packed[key] = packTerminal(terminal)
		return
	}
	r.other[id] = terminal
}

// packID returns an ID of the usual form as a number.
func packID(id string) (key packedID, ok bool) {
	digits, usual := strings.CutPrefix(id, record.JobIDPrefix)
	if !usual || len(digits) == 0 || len(digits) > maxPackedDigits {
		return 0, false
	}
	if first := digits[0]; first < '0' || first > '9' {
		return 0, false // a sign
	}
	value, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, false
	}
	return packedID(uint64(len(digits))<<idDigitsShift | value), true
}

func packTerminal(terminal TerminalRecord) packedTerminal {
	packed := packedTerminal(terminal.Phase) | packedTerminal(terminal.TaskCount)<<terminalSizeShift
	if terminal.Daemon {
		packed |= terminalDaemonBit
	}
	return packed
}

func (p packedTerminal) unpack() TerminalRecord {
	return TerminalRecord{
		Phase:     Phase(p & terminalPhaseMask),
		TaskCount: int(p >> terminalSizeShift),
		Daemon:    p&terminalDaemonBit != 0,
	}
}
