package worker

import (
	"strconv"
	"strings"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// ParseTaskName splits a task's name into its job and number.
func ParseTaskName(s string) (job string, task int, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(s[i+1:])
	return s[:i], n, err == nil && n >= 0
}

// taskName is a task's name.
func taskName(e *pipeline.Entry) string { return e.Job.ID + "/" + strconv.Itoa(e.Task) }

var phases = map[string]pipeline.TaskPhase{"pulling": pipeline.Pulling, "waiting": pipeline.Waiting,

	"running": pipeline.RunningTask, "saving": pipeline.Saving, "exited": pipeline.Exited}

// TakeReport takes a report in. ok is false for a report that is older than one we
// have seen.
func (f *Registry) TakeReport(r *Report, now event.Time, term Term) (ok bool) {
	h := f.Machine(r.Machine, now)
	if r.Session < h.Session || (r.Session == h.Session && r.Sequence <= h.Sequence) {
		// Held back by the network, or a copy: its task list is as old as it
		// is, and whoever sent it waits for no answer.
		return false
	}
	if r.Session == h.Session && h.LastAnswer > 0 && now >= term.TasksExpireAt(max(h.LastAnswer, h.LastReport)) {
		// Its session has ended since we answered it last: this was held back
		// since before, by a machine that may be gone.
		return false
	}
	term.ObserveToken(r.FencingToken)
	f.updateMachine(h, r, now)
	for _, s := range r.Tasks {
		if j, e, task := f.find(h, s); e != nil {
			f.progress(h, e, s, now)
		} else if s.Phase == "exited" && s.Cause == "done" && j != nil && j.Final == pipeline.Queued && !j.IsDone(task) {
			// The result counts, whichever attempt it came from; it is
			// reaped once it is stored.
			f.Jobs.MarkDone(j, task)
		}
	}
	// The list came before the question whether the machine hears us: what it
	// shows is there, whatever a copy that we took before did not show.
	f.checkReachable(h, r, now, term)
	return true
}

// find returns the job and the entry that a reported task belongs to, nil
// where there is none.
func (f *Registry) find(h *Machine, s TaskReport) (j *pipeline.Job, e *pipeline.Entry, task int) {
	id, task, good := ParseTaskName(s.Task)
	if !good {
		return nil, nil, 0
	}
	if j = f.Jobs.Job(id); j == nil || task >= j.TaskCount {
		return nil, nil, task
	}
	if e = j.Entry(task); e != nil && (e.Machine != h.Index || e.Attempt != s.Attempt) {
		e = nil
	}
	return j, e, task
}

func (f *Registry) updateMachine(h *Machine, r *Report, now event.Time) {
	if r.Session != h.Session && h.Session != 0 {
		h.Images = map[int]bool{}
		f.log.Info("worker lost its lease", "machine", r.Machine, "session", r.Session)
	}
	if h.LastReport != 0 && now-h.LastReport > f.SilentAfter {
		h.ReconnectedAt = now
	}
	if h.LastReport == 0 {
		// A machine is not idle while it boots.
		h.IdleFrom, h.firstReport = now, now
		f.Jobs.Changed = true
	}
	h.Addr, h.Spot, h.Session, h.Sequence, h.LastReport = r.Addr, r.Spot, r.Session, r.Sequence, now
	h.MachineType, h.Zone, h.Known = f.Names.MachineTypes.Index(r.MachineType), f.Names.Zones.Index(r.Zone), true
	if r.ReclaimIn != nil && h.ReclaimAt == 0 {
		h.ReclaimAt = now + time.Duration(*r.ReclaimIn*float64(time.Second))
		f.Jobs.Changed = true
	} else if r.ReclaimIn == nil && h.ReclaimAt != 0 {
		h.ReclaimAt = 0
	}
}

// progress takes in what a report says of a task that we know of.
func (f *Registry) progress(h *Machine, e *pipeline.Entry, s TaskReport, now event.Time) {
	j := e.Job
	ph := phases[s.Phase]
	if ph >= pipeline.Waiting && ph < pipeline.Exited && e.StartedAt == 0 {
		e.StartedAt = int64(now)
		f.log.Debug("started", "job", j.ID, "class", f.Names.Classes.Name(j.Class), "task", e.Task, "attempt", e.Attempt, "machine", h.Name, "since_placed", now-time.Duration(e.PlacedAt), "since_ready", now-time.Duration(j.ReadySince))
	}
	e.Phase = ph
	if ph >= pipeline.Waiting {
		h.Images[j.Image] = true
	}
	if ph != pipeline.Exited {
		return
	}
	f.Jobs.Changed = true
	f.Jobs.MarkMachineChanged(h.Index) // what the task took is free again
	if j.Final == pipeline.Cancelled {
		f.Jobs.Clear(e)
		return
	}
	switch s.Cause {
	case "done":
		f.taskSucceeded(h, j)
		if e.Pending == pipeline.NoPendingWrite {
			f.recordRuntime(h, e, now)
		}
		if j.Shape == pipeline.Gang {
			// They complete together: when one task is done, all are.
			for t := 0; t < j.TaskCount; t++ {
				f.Jobs.MarkDone(j, t)
			}
			return
		}
		f.Jobs.MarkDone(j, e.Task)
		return
	case "error":
		if e.Pending == pipeline.NoPendingWrite {
			f.taskFailed(h, e, now)
		}
	case "full", "in_use":
		h.RefusedUntil = now + refusedPause
	case "unknown":
		// Its user has not uploaded it: another attempt comes to the same so soon.
		if !j.BackingOff(int64(now)) {
			f.Jobs.BackOff(j, now)
		}
	}
	if j.Shape == pipeline.Gang && j.TaskCount > 1 {
		f.stopGang(j)
	}
	f.Jobs.Clear(e)
}
