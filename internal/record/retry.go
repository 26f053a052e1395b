package record

// Retry is a job's retry state. A new leader resumes from it, so that a job that fails on
// every machine keeps its backoff when the leader changes.
type Retry struct {
	Failures  int   // consecutive failed attempts
	NotBefore int64 // Unix ms, earliest time of the next attempt

	Unknown Fields // added by a later version
}

// storedRetry is the stored form of a retry state.
type storedRetry struct {
	Failures  int   `json:"n"`
	NotBefore int64 `json:"u"`
}

// Encode returns the stored form of a retry state.
func (r *Retry) Encode() []byte {
	return r.Unknown.appendTo(marshal(storedRetry{Failures: r.Failures, NotBefore: r.NotBefore}))
}

// DecodeRetry decodes a retry state. An error is a *DecodeError.
func DecodeRetry(data []byte) (Retry, error) {
	var stored storedRetry
	if err := unmarshal(KindRetry, "", data, &stored); err != nil {
		return Retry{}, err
	}
	return Retry{
		Failures:  stored.Failures,
		NotBefore: stored.NotBefore,
		Unknown:   unknownFields(data, retryFields),
	}, nil
}
