package record

// Retry is a job's retry state: a new leader goes on with it instead of beginning anew
// with a job that fails on every machine.
type Retry struct {
	Failures  int   // failed attempts in a row
	NotBefore int64 // Unix ms: no attempt before

	Unknown Fields // of a later version
}

// storedRetry is a retry state as it is stored.
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
