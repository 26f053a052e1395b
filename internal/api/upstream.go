package api

import (
	"lugward/internal/pipeline"
)

// layOutUpstream puts a list of upstream jobs into the record if it still fits there
// once the record tells when the job became ready; else it returns the values
// of the keys that hold it. A job that is ready needs no list.
func (in *Server) layOutUpstream(j *pipeline.Job, up []string) [][]byte {
	if len(up) == 0 {
		return nil
	}
	j.Upstream = up
	full := *j
	full.Ready, full.ReadyAt = true, j.Submitted+1 // as long as any later time
	if len(pipeline.Encode(in.names, &full)) <= in.cfg.ValueBytes {
		return nil
	}
	if j.Upstream = nil; j.Ready {
		return nil
	}
	lists := pipeline.EncodeParts(up, in.cfg.ValueBytes)
	j.UpstreamParts = len(lists)
	return lists
}

// versionSize is what the version of a list takes in a record at most.
const versionSize = 32
