package pipeline

import (
	"strconv"
	"strings"

	"lugward/internal/record"
)

// TerminalRecord describes how a job ended.
type TerminalRecord struct {
	Phase     Phase // Done or Cancelled
	TaskCount int
	Daemon    bool // also false if an earlier version wrote the record
}

// TerminalRecords holds the terminal records of all jobs that have ever ended. They are
// never deleted, because users may request the status of a job at any later time. To save
// memory, the ID and the record are each packed into an integer.
type TerminalRecords struct {
	packed map[packedID]packedTerminal
	other  map[string]TerminalRecord // records whose ID or task count cannot be packed
}

// packedID is a job ID packed into an integer: the number of its digits, since there may be
// leading zeros, and their value.
type packedID uint64

// packedTerminal is a terminal record packed into an integer: the phase, whether the job was
// a daemon, and its task count.
type packedTerminal uint32

const (
	idDigitsShift   = 59 // the bits below hold the value
	maxPackedDigits = 17 // the largest value of 17 digits is less than 1<<idDigitsShift

	terminalPhaseBits      = 2
	terminalPhaseMask      = 1<<terminalPhaseBits - 1
	terminalDaemonBit      = 1 << terminalPhaseBits
	terminalTaskCountShift = terminalPhaseBits + 1
	maxPackedTaskCount     = 1<<(32-terminalTaskCountShift) - 1
)

func newTerminalRecords() TerminalRecords {
	return TerminalRecords{packed: map[packedID]packedTerminal{}, other: map[string]TerminalRecord{}}
}

// Get returns the terminal record of a job. ok is false if the job has not ended.
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
	if packable && terminal.TaskCount >= 0 && terminal.TaskCount <= maxPackedTaskCount {
		r.packed[key] = packTerminal(terminal)
		return
	}
	r.other[id] = terminal
}

// packID packs an ID that consists of record.JobIDPrefix and at most maxPackedDigits digits.
// ok is false for any other ID.
func packID(id string) (key packedID, ok bool) {
	digits, hasPrefix := strings.CutPrefix(id, record.JobIDPrefix)
	if !hasPrefix || len(digits) == 0 || len(digits) > maxPackedDigits {
		return 0, false
	}
	if first := digits[0]; first < '0' || first > '9' {
		return 0, false // not a digit, such as a sign
	}
	value, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, false
	}
	return packedID(uint64(len(digits))<<idDigitsShift | value), true
}

func packTerminal(terminal TerminalRecord) packedTerminal {
	packed := packedTerminal(terminal.Phase) | packedTerminal(terminal.TaskCount)<<terminalTaskCountShift
	if terminal.Daemon {
		packed |= terminalDaemonBit
	}
	return packed
}

func (p packedTerminal) unpack() TerminalRecord {
	return TerminalRecord{
		Phase:     Phase(p & terminalPhaseMask),
		TaskCount: int(p >> terminalTaskCountShift),
		Daemon:    p&terminalDaemonBit != 0,
	}
}
