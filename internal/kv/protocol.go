package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// The HTTP protocol of the store. Its words appear in this file only:
//
//	epoch     revision of the store
//	stamp     mod revision of a key
//	follow    watch
//	drop      delete
//	tether    ID of a lease
//	life_ms   time to live of a lease
//	extend    renew a lease
const (
	keysPath   = "/keys"
	watchPath  = "/follow"
	commitPath = "/commit"
	leasesPath = "/leases"

	methodGet    = "GET"
	methodPost   = "POST"
	methodDelete = "DELETE"
)

const (
	// pageLimit is the number of keys asked for in one page of a scan.
	pageLimit = 500
	// pageTimeout is longer than callTimeout, as pages are large.
	pageTimeout = 4 * time.Second
	// watchWait is how long the store holds a watch open while nothing changes.
	watchWait = 10 * time.Second
	// watchSlack is the time beyond watchWait after which a watch counts as lost.
	watchSlack = 4 * time.Second
)

// A DecodeError reports that the body of a response does not follow the protocol.
type DecodeError struct {
	Message string // kind of the response
	Err     error
}

// Error returns the kind of the response and what is wrong with it.
func (e *DecodeError) Error() string { return "decode " + e.Message + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the response.
func (e *DecodeError) Unwrap() error { return e.Err }

// errMissing means that a message lacks what its sense rests on.
var errMissing = errors.New("a required field is missing")

// decode decodes the body of a response.
func decode(message string, body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return &DecodeError{Message: message, Err: err}
	}
	return nil
}

// encode encodes the body of a request. Its values are structures of this file
// and JSON of our own encoders, so a failure is a fault of the program.
func encode(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return body
}

// keyValue is a key in a page of all keys.
type keyValue struct {
	Key         string          `json:"key"`
	Data        json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
}

// keysPage is a page of all keys.
type keysPage struct {
	Items    []keyValue `json:"items"`
	HasNext  bool       `json:"has_next"`
	Revision uint64     `json:"epoch"`
}

// lastKey returns the last key of a page that is not empty, as every page with a
// next one is.
func (p *keysPage) lastKey() string { return p.Items[len(p.Items)-1].Key }

// pageRequest asks for a page of the keys after the given one; "" asks for the
// first page.
func pageRequest(after string) request {
	path := keysPath + "?starts=&limit=" + strconv.Itoa(pageLimit)
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	return request{method: methodGet, path: path, timeout: pageTimeout}
}

func decodeKeysPage(body []byte) (keysPage, error) {
	const message = "page of keys"
	var page keysPage
	if err := decode(message, body, &page); err != nil {
		return keysPage{}, err
	}
	if page.HasNext && len(page.Items) == 0 {
		return keysPage{}, &DecodeError{Message: message, Err: errMissing}
	}
	return page, nil
}

// logRecord is one change in the store's log: either Write or Drop is the key.
type logRecord struct {
	Write       string          `json:"write"`
	Drop        string          `json:"drop"`
	Data        json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
}

// change returns the key that the record is about and its new value, nil if the
// key was deleted. The key is "" if the record is about none.
func (r *logRecord) change() (key string, data []byte) {
	if r.Drop != "" {
		return r.Drop, nil
	}
	return r.Write, r.Data
}

// changes are the records of the store's log after a revision.
type changes struct {
	Revision uint64      `json:"epoch"`
	Log      []logRecord `json:"log"`
}

// watchRequest asks for the changes after a revision. The store answers at the
// first one, or with none after watchWait.
func watchRequest(revision uint64) request {
	return request{
		method:  methodGet,
		path:    changesPath(revision, watchWait),
		timeout: watchWait + watchSlack,
	}
}

// barrierRequest asks for the changes after a revision up to now.
func barrierRequest(revision uint64) request {
	return request{method: methodGet, path: changesPath(revision, 0), timeout: callTimeout}
}

func changesPath(revision uint64, wait time.Duration) string {
	return fmt.Sprintf("%s?starts=&from=%d&wait_ms=%d", watchPath, revision, wait.Milliseconds())
}

func decodeChanges(body []byte) (changes, error) {
	var c changes
	if err := decode("changes", body, &c); err != nil {
		return changes{}, err
	}
	return c, nil
}

// wireCompare and wireWrite are the parts of a request with transactions.
type wireCompare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

type wireWrite struct {
	Write   string          `json:"write,omitempty"`
	Drop    string          `json:"drop,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	LeaseID uint64          `json:"tether,omitempty"`
}

type wireCommit struct {
	If   []wireCompare `json:"if"`
	Then []wireWrite   `json:"then"`
}

// commitRequest asks for the execution of transactions, of all or of none.
// Compares that several of them share appear once.
func commitRequest(txns []*Txn) request {
	var commit wireCommit
	seen := map[Compare]bool{}
	for _, txn := range txns {
		for _, compare := range txn.Compares {
			if !seen[compare] {
				seen[compare] = true
				commit.If = append(commit.If, wireCompare(compare))
			}
		}
		for _, write := range txn.Writes {
			commit.Then = append(commit.Then, newWireWrite(write))
		}
	}
	return request{method: methodPost, path: commitPath, body: encode(commit), timeout: callTimeout}
}

func newWireWrite(w Write) wireWrite {
	if w.Data == nil {
		return wireWrite{Drop: w.Key}
	}
	return wireWrite{Write: w.Key, Data: w.Data, LeaseID: w.LeaseID}
}

// commitResponse is the response to a request with transactions.
type commitResponse struct {
	Revision uint64   `json:"epoch"`
	Failed   []string `json:"failed"` // keys whose compares did not hold
}

func decodeCommit(body []byte) (commitResponse, error) {
	var r commitResponse
	if err := decode("commit", body, &r); err != nil {
		return commitResponse{}, err
	}
	return r, nil
}

// failedKeys returns the set of the keys whose compares did not hold.
func (r *commitResponse) failedKeys() map[string]bool {
	keys := map[string]bool{}
	for _, key := range r.Failed {
		keys[key] = true
	}
	return keys
}

// grantRequest asks for a new lease.
func grantRequest(ttl time.Duration) request {
	lease := struct {
		TTLMilliseconds int64 `json:"life_ms"`
	}{ttl.Milliseconds()}
	return request{method: methodPost, path: leasesPath, body: encode(lease), timeout: callTimeout}
}

// decodeGrant returns the ID of a granted lease, which is never 0.
func decodeGrant(body []byte) (leaseID uint64, err error) {
	const message = "lease"
	var granted struct {
		LeaseID uint64 `json:"tether"`
	}
	if err := decode(message, body, &granted); err != nil {
		return 0, err
	}
	if granted.LeaseID == 0 {
		return 0, &DecodeError{Message: message, Err: errMissing}
	}
	return granted.LeaseID, nil
}

func renewRequest(leaseID uint64, timeout time.Duration) request {
	return request{method: methodPost, path: leasePath(leaseID) + "/extend", timeout: timeout}
}

func revokeRequest(leaseID uint64) request {
	return request{method: methodDelete, path: leasePath(leaseID), timeout: callTimeout}
}

func leasePath(leaseID uint64) string {
	return leasesPath + "/" + strconv.FormatUint(leaseID, 10)
}
