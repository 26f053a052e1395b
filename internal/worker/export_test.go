package worker

// For the tests, which are a package of their own as they share package workertest
// with others.
const (
	MinWorkingTime     = minWorkingTime
	ServiceWorkingTime = serviceWorkingTime
)

// ParseHeartbeat decodes a heartbeat without looking at earlier ones.
var ParseHeartbeat = parseHeartbeat

// Quarantined reports whether the machine is taken out of use as it is at fault.
func (m *Machine) Quarantined() bool { return m.quarantined }
