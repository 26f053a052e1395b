package pipeline

import (
	"strconv"
	"strings"

	"lugward/internal/record"
)

// TerminalRecords holds the final marks of all jobs that have ever ended. They are kept for
// ever, as users may ask about a job at any later time, so each takes little: its ID
// and its mark as one number each.
type TerminalRecords struct {
	packed map[packedID]packedTerminal
	other  map[string]TerminalRecord // whose ID or size does not fit
}

// packedID is an ID as a number: how many digits it has, as those in front may be
// zeros, and their value.
type packedID uint64

// packedTerminal is a mark as a number: the phase, whether the job was a service, and the
// number of its tasks.
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

// Get returns the mark of a job that has ended.
func (f *TerminalRecords) Get(id string) (final TerminalRecord, ok bool) {
	key, packable := packID(id)
	if !packable {
		final, ok = f.other[id]
		return final, ok
	}
	if mark, ok := f.packed[key]; ok {
		return mark.unpack(), true
	}
	final, ok = f.other[id]
	return final, ok
}

// Has tells whether a job has ended.
func (f *TerminalRecords) Has(id string) bool {
	_, ok := f.Get(id)
	return ok
}

// add adds the mark of a job.
func (f *TerminalRecords) add(id string, final TerminalRecord) {
	key, packable := packID(id)
	if packable && final.TaskCount >= 0 && final.TaskCount <= maxPackedSize {
		f.packed[key] = packTerminal(final)
		return
	}
	f.other[id] = final
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

func packTerminal(final TerminalRecord) packedTerminal {
	mark := packedTerminal(final.Phase) | packedTerminal(final.TaskCount)<<terminalSizeShift
	if final.Daemon {
		mark |= terminalDaemonBit
	}
	return mark
}

func (p packedTerminal) unpack() TerminalRecord {
	return TerminalRecord{
		Phase:     Phase(p & terminalPhaseMask),
		TaskCount: int(p >> terminalSizeShift),
		Daemon:    p&terminalDaemonBit != 0,
	}
}
