package api

import (
	"encoding/json"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/pipeline"
)

// phaseNames are the phases as the protocol spells them.
var phaseNames = [...]string{
	pipeline.Queued:    "queued",
	pipeline.Running:   "running",
	pipeline.Done:      "done",
	pipeline.Cancelled: "cancelled",
}

// answer is the state of a job as users read it.
type answer struct {
	ID      string `json:"name_id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`    // tasks
	Running int    `json:"running"` // tasks
}

func (a answer) encode() []byte {
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	return b
}

// poll answers with a job's state. A final state is answered from memory, as it
// never changes; any other waits for a read barrier.
func (s *Server) poll(now event.Time, conn uint64, id string, out *event.Effects) {
	if b := s.finalState(id); b != nil {
		out.Reply(conn, httpwire.StatusOK, b)
		return
	}
	if s.unavailable(now) {
		out.ReplyUnavailable(conn, retryAfter)
		return
	}
	s.answerAfterBarrier(conn, id, func(_ event.Time, out *event.Effects) {
		out.Reply(conn, httpwire.StatusNotFound, nil)
	})
}

// answerAfterBarrier answers with a job's state as of now or later, and with 503
// if the state service does not answer. If no such job has been accepted it
// calls unknown, which has to answer.
func (s *Server) answerAfterBarrier(conn uint64, id string, unknown func(now event.Time, out *event.Effects)) {
	s.store.Barrier(func(now event.Time, ok bool, out *event.Effects) {
		if !ok {
			out.ReplyUnavailable(conn, retryAfter)
		} else if b := s.state(id); b != nil {
			out.Reply(conn, httpwire.StatusOK, b)
		} else {
			unknown(now, out)
		}
	})
}

// accepted returns a job that has been stored, or nil. A record that the
// replica does not show yet does not count.
func (s *Server) accepted(id string) *pipeline.Job {
	if j := s.jobs.Job(id); j != nil && j.ModRevision != 0 {
		return j
	}
	return nil
}

// finalState returns the encoded state of a job that has ended, nil for any
// other: the job has a final mark, or needs a cancelled job.
func (s *Server) finalState(id string) []byte {
	if final, ok := s.jobs.Terminal.Get(id); ok {
		a := answer{ID: id, Phase: phaseNames[final.Phase]}
		if final.Phase == pipeline.Done {
			a.Done = final.TaskCount
		}
		return a.encode()
	}
	if j := s.accepted(id); j != nil && j.UpstreamCancelled() {
		return answer{ID: id, Phase: phaseNames[pipeline.Cancelled]}.encode()
	}
	return nil
}

// state returns the encoded state of a job as the replica has it, nil if it
// shows no such job.
func (s *Server) state(id string) []byte {
	if b := s.finalState(id); b != nil {
		return b
	}
	j := s.accepted(id)
	if j == nil {
		return nil
	}
	return answer{ID: id, Phase: phaseNames[j.Phase()], Done: j.DoneCount(), Running: j.ActiveCount()}.encode()
}
