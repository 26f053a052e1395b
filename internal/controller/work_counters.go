package controller

// WorkCounters counts the work done since the process started. The work should grow with
// the number of changes, not with the number of machines and tasks.
type WorkCounters struct {
	WorkerHeartbeats     int // heartbeats that workers sent to this controller, without relayed ones
	BytesDecoded         int // bytes of worker heartbeats that were decoded
	BytesUnchanged       int // bytes of worker heartbeats that were compared and found unchanged
	Rounds               int // scheduling rounds
	CapacitiesRecomputed int // recomputations of a machine's free capacity
	JobBytes             int // estimated memory of all jobs
	MachineIndices       int // machine indices allocated; those of machines that are gone are reused
}

// WorkCounters returns the counters since the process started.
func (c *Controller) WorkCounters() WorkCounters {
	return WorkCounters{
		WorkerHeartbeats:     c.heartbeats.received,
		BytesDecoded:         c.heartbeats.parser.DecodedBytes,
		BytesUnchanged:       c.heartbeats.parser.UnchangedBytes,
		Rounds:               c.leadership.roundCount,
		CapacitiesRecomputed: c.scheduler.CapacitiesRecomputed(),
		JobBytes:             c.jobs.EstimatedBytes(),
		MachineIndices:       c.names.Machines.Len(),
	}
}
