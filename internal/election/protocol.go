package election

import "encoding/json"

// Keys of the election in the key-value store.
const (
	// KeyPrefix is the first segment of all keys of this package.
	KeyPrefix = "t"
	// termKey exists while a controller holds a term; it is bound to the lease of
	// that term.
	termKey = "t/lead"
	// tokenKey holds the fencing token of the latest term and outlives it.
	tokenKey = "t/count"
)

// termRecord is the value of both keys.
type termRecord struct {
	Label        string `json:"l"` // of the controller that leads
	FencingToken uint64 `json:"f"`
}

func (r termRecord) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // a string and a number can be encoded
	}
	return data
}

// decodeTermRecord decodes the value of a key; a deleted key, whose data is nil,
// gives an empty record.
func decodeTermRecord(data []byte) (termRecord, error) {
	var record termRecord
	if data == nil {
		return record, nil
	}
	err := json.Unmarshal(data, &record)
	return record, err
}
