package api

import (
	"encoding/json"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

var phaseNames = [...]string{pipeline.Queued: "queued", pipeline.Running: "running", pipeline.Done: "done", pipeline.Cancelled: "cancelled"}

type answer struct {
	ID      string `json:"name_id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

func (in *Server) final(id string, f pipeline.Final) []byte {
	a := answer{ID: id, Phase: phaseNames[f.Phase]}
	if f.Phase == pipeline.Done {
		a.Done = f.N
	}
	b, _ := json.Marshal(a)
	return b
}

// over answers from memory if the job is over, since that never changes: its
// own mark is there, or that of a cancelled job which it needs. Else nil.
func (in *Server) over(id string) []byte {
	if f, ok := in.jobs.Finals[id]; ok {
		return in.final(id, f)
	}
	if j := in.jobs.Job(id); j != nil && j.Version != 0 && j.UpstreamCancelled() {
		return in.final(id, pipeline.Final{Phase: pipeline.Cancelled})
	}
	return nil
}

// state answers from the replica; nil if the job is not known.
func (in *Server) state(id string) []byte {
	if b := in.over(id); b != nil {
		return b
	}
	j := in.jobs.Job(id)
	if j == nil || j.Version == 0 {
		return nil
	}
	a := answer{ID: id, Phase: phaseNames[j.Phase()], Done: j.DoneCount(), Running: j.Active()}
	b, _ := json.Marshal(a)
	return b
}

func (in *Server) unavailable(now event.Time) bool {
	return !in.store.Synced() || (in.store.Outage() && now-in.store.Contact() > outageAfter)
}

// poll answers a final state from memory, since it never changes. Anything
// else waits for a read barrier: no answer may be older than one that any
// node has given.
func (in *Server) poll(now event.Time, conn uint64, id string, out *event.Effects) {
	if b := in.over(id); b != nil {
		out.Reply(conn, 200, b)
		return
	}
	if in.unavailable(now) {
		out.Busy(conn, retryAfter)
		return
	}
	in.store.Barrier(func(_ event.Time, ok bool, out *event.Effects) {
		if !ok {
			out.Busy(conn, retryAfter)
		} else if s := in.state(id); s != nil {
			out.Reply(conn, 200, s)
		} else {
			out.Reply(conn, 404, nil)
		}
	})
}
