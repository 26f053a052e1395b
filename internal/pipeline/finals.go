package pipeline

import (
	"strconv"
	"strings"
)

// Finals holds the final marks of all jobs that have ever ended. They are kept for
// ever, as users may ask about a job at any later time, so each takes little: its ID
// and its mark as one number each.
type Finals struct {
	packed map[packedID]packedFinal
	other  map[string]Final // whose ID or size does not fit
}

// packedID is an ID as a number: how many digits it has, as those in front may be
// zeros, and their value.
type packedID uint64

// packedFinal is a mark as a number: the phase, whether the job was a service, and the
// number of its tasks.
type packedFinal uint32

const (
	idDigitsShift   = 59 // the value takes the bits below
	maxPackedDigits = 17 // of which the largest value is less than 1<<idDigitsShift

	finalPhaseBits = 2
	finalPhaseMask = 1<<finalPhaseBits - 1
	finalDaemonBit = 1 << finalPhaseBits
	finalSizeShift = finalPhaseBits + 1
	maxPackedSize  = 1<<(32-finalSizeShift) - 1
)

func newFinals() Finals {
	return Finals{packed: map[packedID]packedFinal{}, other: map[string]Final{}}
}

// Get returns the mark of a job that has ended.
func (f *Finals) Get(id string) (final Final, ok bool) {
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
func (f *Finals) Has(id string) bool {
	_, ok := f.Get(id)
	return ok
}

// add adds the mark of a job.
func (f *Finals) add(id string, final Final) {
	key, packable := packID(id)
	if packable && final.N >= 0 && final.N <= maxPackedSize {
		f.packed[key] = packFinal(final)
		return
	}
	f.other[id] = final
}

// packID returns an ID of the usual form as a number.
func packID(id string) (key packedID, ok bool) {
	digits, usual := strings.CutPrefix(id, idPrefix)
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

func packFinal(final Final) packedFinal {
	mark := packedFinal(final.Phase) | packedFinal(final.N)<<finalSizeShift
	if final.Daemon {
		mark |= finalDaemonBit
	}
	return mark
}

func (p packedFinal) unpack() Final {
	return Final{
		Phase:  Phase(p & finalPhaseMask),
		N:      int(p >> finalSizeShift),
		Daemon: p&finalDaemonBit != 0,
	}
}
