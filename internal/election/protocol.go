package election

import (
	"encoding/json"

	"lugward/internal/jsonwire"
)

// Keys of the election in the state service.
const (
	// KeyPrefix is the first segment of all keys of this package.
	KeyPrefix = "t"
	// termKey exists while a controller holds a term. It is bound to the lease of
	// that term.
	termKey = "t/lead"
	// tokenKey holds the fencing token of the latest term. It is not bound to a lease
	// and remains after the term has ended.
	tokenKey = "t/count"
)

// termRecord is the value of both the term key and the token key.
type termRecord struct {
	Label        string `json:"l"` // label of the leader
	FencingToken uint64 `json:"f"`
	// MaxStartViewAgeMS is the greatest age of the leader's watch cache, in ms, at which it gives
	// start commands. Earlier versions have no such limit and omit it.
	MaxStartViewAgeMS int64 `json:"sv,omitempty"`
}

func (r termRecord) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // unreachable: a string and an integer can always be encoded
	}
	return data
}

// decodeTermRecord decodes the value of a key. It returns an empty record for a
// deleted key, whose data is nil.
func decodeTermRecord(data []byte) (termRecord, error) {
	var record termRecord
	if data == nil {
		return record, nil
	}
	err := jsonwire.Unmarshal(data, &record)
	return record, err
}
