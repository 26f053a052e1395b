package worker

// Exported for the tests. They are in the external package worker_test because package
// workertest, which they share with other packages, imports this package.
const (
	MinHealthyRuntime    = minHealthyRuntime
	DaemonHealthyRuntime = daemonHealthyRuntime
)

// ParseHeartbeat decodes a heartbeat without using the cache of a HeartbeatParser.
var ParseHeartbeat = parseHeartbeat

// Quarantined reports whether the machine is quarantined because it is at fault.
func (m *Machine) Quarantined() bool { return m.quarantined }
