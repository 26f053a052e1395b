package record

// Terminal is a job's terminal record: how the job ended.
type Terminal struct {
	Cancelled bool // false means done
	TaskCount int
	Daemon    bool // the job cannot be an upstream job; also false if the first version wrote the record
}

// storedTerminal is the stored form of a terminal record.
type storedTerminal struct {
	Phase     string `json:"p"`
	TaskCount int    `json:"n"`
	Daemon    bool   `json:"s,omitempty"`
}

// Phases in a stored terminal record.
const (
	phaseDone      = "done"
	phaseCancelled = "cancelled"
)

// Encode returns the stored form of a terminal record.
func (t Terminal) Encode() []byte {
	stored := storedTerminal{Phase: phaseDone, TaskCount: t.TaskCount, Daemon: t.Daemon}
	if t.Cancelled {
		stored.Phase = phaseCancelled
	}
	return marshal(stored)
}

// DecodeTerminal decodes a terminal record. An error is a *DecodeError.
func DecodeTerminal(data []byte) (Terminal, error) {
	var stored storedTerminal
	if err := unmarshal(KindTerminal, "", data, &stored); err != nil {
		return Terminal{}, err
	}
	return Terminal{
		Cancelled: stored.Phase == phaseCancelled,
		TaskCount: stored.TaskCount,
		Daemon:    stored.Daemon,
	}, nil
}
