package api

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
)

const (
	// submissionTimeout bounds how long a list of upstream jobs is being stored.
	// The user has long been answered 503 by then; what an attempt leaves behind
	// is dropped by the leader.
	submissionTimeout = 20 * time.Second
	// maxWriteRetries bounds the repeats of writes without an answer, for all
	// writes of one attempt together.
	maxWriteRetries = 5
)

// pendingSubmission is a submission whose list of upstream jobs is stored in
// parts. Part 0 stands for the attempt: every other part and, at the end, the
// job's record are written on condition that part 0 has this attempt's version.
// So a late write, or a rival attempt's, fails, and only the last write makes
// the job accepted.
type pendingSubmission struct {
	id    string
	job   *pipeline.Job
	conn  uint64 // whom to answer
	began event.Time
	// answered means that the user has got 503 already.
	answered bool

	parts   [][]byte
	version uint64 // of part 0
	next    int    // the part to be written next
	// inFlight is the number of writes under way behind part 0.
	inFlight int
	retries  int
}

// beginPartsWrite begins an attempt by writing part 0, unless another attempt
// for the same job is under way, here or, as part 0 shows, elsewhere.
func (s *Server) beginPartsWrite(now event.Time, conn uint64, j *pipeline.Job, parts [][]byte, out *event.Effects) {
	version, seenFor := s.jobs.SubmissionAttempt(j.ID, now)
	if s.pending[j.ID] != nil || (version != 0 && seenFor < pipeline.SubmissionAttemptTimeout) {
		out.ReplyUnavailable(conn, retryAfter)
		return
	}
	p := &pendingSubmission{id: j.ID, job: j, conn: conn, began: now, parts: parts, next: 1}
	s.pending[j.ID] = p
	part0 := pipeline.UpstreamPageKeyOf(j.ID, 0)
	s.submitPart(now, kv.Write{Key: part0, Data: parts[0]}, kv.Compare{Key: part0, ModRevision: version}, p,
		func(r kv.Result) { s.partZeroWritten(p, r) })
}

func (s *Server) partZeroWritten(p *pendingSubmission, r kv.Result) {
	switch r.Outcome {
	case kv.Committed:
		p.version = r.Revision
		p.job.SubmissionRevision = r.Revision
		s.writeNextParts(r.Now, p)
	case kv.Aborted, kv.Rejected:
		s.abandon(p, r)
	default:
		// The part 0 that is stored may be ours or a rival's: its value does not
		// tell them apart.
		s.concede(p)
	}
}

// submitPart submits one write of an attempt. Besides its own condition it
// requires that the job has not been accepted.
func (s *Server) submitPart(now event.Time, write kv.Write, condition kv.Compare, p *pendingSubmission, done func(kv.Result)) {
	s.store.Submit(&kv.Txn{
		Priority: kv.PrioritySubmission,
		Compares: []kv.Compare{condition, {Key: pipeline.JobKeyOf(p.id)}, {Key: pipeline.TerminalKeyOf(p.id)}},
		Writes:   []kv.Write{write},
		Done:     done,
	}, now+submissionTimeout)
}

// writeNextParts sends as many parts as one transaction takes, so that other
// submissions have their turn in between, and the job's record after the last.
func (s *Server) writeNextParts(now event.Time, p *pendingSubmission) {
	for p.next < len(p.parts) && p.inFlight < s.cfg.TxnOps {
		part := p.next
		p.next++
		p.inFlight++
		s.writePart(now, p, kv.Write{Key: pipeline.UpstreamPageKeyOf(p.id, part), Data: p.parts[part]}, func(r kv.Result) {
			p.inFlight--
			s.writeNextParts(r.Now, p)
		})
	}
	if p.next == len(p.parts) && p.inFlight == 0 {
		p.inFlight++
		s.writePart(now, p, kv.Write{Key: pipeline.JobKeyOf(p.id), Data: pipeline.Encode(s.names, p.job)}, func(r kv.Result) {
			delete(s.pending, p.id)
			if !p.answered {
				r.Out.Reply(p.conn, httpwire.StatusCreated, s.stateOfNew(p.id))
			}
		})
	}
}

// writePart writes a value on condition of part 0, and again if no answer comes:
// carried out twice, the write changes nothing. written is called on success.
func (s *Server) writePart(now event.Time, p *pendingSubmission, write kv.Write, written func(kv.Result)) {
	if !s.current(p) {
		return
	}
	condition := kv.Compare{Key: pipeline.UpstreamPageKeyOf(p.id, 0), ModRevision: p.version}
	s.submitPart(now, write, condition, p, func(r kv.Result) {
		switch {
		case !s.current(p):
		case r.Outcome == kv.Committed:
			written(r)
		case r.Outcome == kv.Unknown && p.retries < maxWriteRetries:
			p.retries++
			s.writePart(r.Now, p, write, written)
		case r.Outcome == kv.Aborted || r.Outcome == kv.Rejected:
			s.abandon(p, r)
		default:
			s.concede(p)
		}
	})
}

// current reports whether the attempt has not ended.
func (s *Server) current(p *pendingSubmission) bool { return s.pending[p.id] == p }

// abandon ends an attempt whose write was not executed.
func (s *Server) abandon(p *pendingSubmission, r kv.Result) {
	delete(s.pending, p.id)
	if !p.answered {
		s.refuseForBacklog(p.conn, r.Out)
	}
}

// concede ends an attempt that lost to another, or whose outcome is unknown:
// what is stored decides the answer.
func (s *Server) concede(p *pendingSubmission) {
	delete(s.pending, p.id)
	if !p.answered {
		s.answerFromStore(p.conn, p.id)
	}
}

// Tick answers 503 to users whose lists take long to store (their retry finds
// the job) and ends attempts that have lasted too long.
func (s *Server) Tick(now event.Time, out *event.Effects) {
	for _, id := range slices.Sorted(maps.Keys(s.pending)) {
		p := s.pending[id]
		age := now - p.began
		if !p.answered && age > s.cfg.Answer {
			out.ReplyUnavailable(p.conn, retryAfter)
			p.answered = true
		}
		if age > submissionTimeout {
			delete(s.pending, id)
		}
	}
}
