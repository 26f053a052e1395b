package controller

// WorkCounters counts what was done for the inputs since the process began. It is to
// grow with what changes, not with the number of machines and tasks.
type WorkCounters struct {
	WorkerHeartbeats     int // that workers sent to this controller
	BytesDecoded         int // of workers' heartbeats that were decoded
	BytesUnchanged       int // of workers' heartbeats that were only compared
	Rounds               int // of the scheduler
	CapacitiesRecomputed int // machines whose capacity was computed anew
	MachineIndices       int // that are or were in use; those of machines that are gone serve others
}

// WorkCounters returns the counts since the process began.
func (c *Controller) WorkCounters() WorkCounters {
	return WorkCounters{
		WorkerHeartbeats:     c.heartbeats.received,
		BytesDecoded:         c.heartbeats.parser.DecodedBytes,
		BytesUnchanged:       c.heartbeats.parser.UnchangedBytes,
		Rounds:               c.leadership.rounds,
		CapacitiesRecomputed: c.scheduler.CapacitiesRecomputed(),
		MachineIndices:       c.names.Machines.Len(),
	}
}
