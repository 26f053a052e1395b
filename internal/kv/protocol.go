package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"lugward/internal/jsonwire"
)

// The HTTP protocol of the store. Its own terms appear only in this file:
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
	// pageLimit is the maximum number of keys requested in one page of a scan.
	pageLimit = 500
	// pageTimeout is longer than callTimeout because pages are large.
	pageTimeout = 4 * time.Second
	// watchMaxWait is how long the store holds a watch open while nothing changes.
	watchMaxWait = 10 * time.Second
	// watchTimeoutMargin is the time that a watch may take beyond watchMaxWait before
	// it times out.
	watchTimeoutMargin = 4 * time.Second
)

// A DecodeError reports that the body of a response does not follow the protocol.
type DecodeError struct {
	Response string // kind of response
	Err      error
}

// Error returns the kind of response and the cause.
func (e *DecodeError) Error() string { return "decode " + e.Response + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// errMissingField means that a response lacks a field without which it cannot be
// used, or that the field is empty.
var errMissingField = errors.New("required field is missing or empty")

// decode decodes the body of a response.
func decode(response string, body []byte, into any) error {
	if err := jsonwire.Unmarshal(body, into); err != nil {
		return &DecodeError{Response: response, Err: err}
	}
	return nil
}

// encode encodes the body of a request. It panics on failure: its values are
// structs of this file and JSON from the program's own encoders, so a failure is a
// bug.
func encode(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return body
}

// keyValue is a key in a keyPage.
type keyValue struct {
	Key         string          `json:"key"`
	Data        json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
}

// keyPage is one page of the list of all keys.
type keyPage struct {
	Items    []keyValue `json:"items"`
	HasNext  bool       `json:"has_next"`
	Revision uint64     `json:"epoch"`
}

// lastKey returns the last key of the page, which must not be empty. A page that
// has a next page is never empty.
func (p *keyPage) lastKey() string { return p.Items[len(p.Items)-1].Key }

// pageRequest returns the request for the page of keys that follow the given key.
// An empty key selects the first page.
func pageRequest(after string) request {
	path := keysPath + "?starts=&limit=" + strconv.Itoa(pageLimit)
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	return request{method: methodGet, path: path, timeout: pageTimeout}
}

func decodeKeyPage(body []byte) (keyPage, error) {
	const response = "page of keys"
	var page keyPage
	if err := decode(response, body, &page); err != nil {
		return keyPage{}, err
	}
	if page.HasNext && len(page.Items) == 0 {
		return keyPage{}, &DecodeError{Response: response, Err: errMissingField}
	}
	return page, nil
}

// logRecord is one change in the store's log. The key is either in Write or in Drop.
type logRecord struct {
	Write       string          `json:"write"`
	Drop        string          `json:"drop"`
	Data        json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
}

// change returns the key of the record and its new value, which is nil if the key
// was deleted. The key is empty if the record has none.
func (r *logRecord) change() (key string, data []byte) {
	if r.Drop != "" {
		return r.Drop, nil
	}
	return r.Write, r.Data
}

// changes holds the records of the store's log after a revision.
type changes struct {
	Revision uint64      `json:"epoch"`
	Log      []logRecord `json:"log"`
}

// watchRequest returns the request for the changes after a revision. The store
// responds at the first change, or without any after watchMaxWait.
func watchRequest(revision uint64) request {
	return request{
		method:  methodGet,
		path:    changesPath(revision, watchMaxWait),
		timeout: watchMaxWait + watchTimeoutMargin,
	}
}

// barrierRequest returns the request for the changes after a revision up to now; the
// store responds at once.
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

// wireCompare, wireWrite and wireCommit form the body of a commit request.
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

// commitRequest returns the request to execute either all of the transactions or
// none. Compares that several transactions share are sent once.
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

// commitResponse is the response to a commit request.
type commitResponse struct {
	Revision uint64   `json:"epoch"`
	Failed   []string `json:"failed"` // keys whose compares failed
}

func decodeCommit(body []byte) (commitResponse, error) {
	var r commitResponse
	if err := decode("commit", body, &r); err != nil {
		return commitResponse{}, err
	}
	return r, nil
}

// failedKeys returns the set of keys whose compares failed.
func (r *commitResponse) failedKeys() map[string]bool {
	keys := map[string]bool{}
	for _, key := range r.Failed {
		keys[key] = true
	}
	return keys
}

// grantRequest returns the request for a new lease.
func grantRequest(ttl time.Duration) request {
	lease := struct {
		TTLMilliseconds int64 `json:"life_ms"`
	}{ttl.Milliseconds()}
	return request{method: methodPost, path: leasesPath, body: encode(lease), timeout: callTimeout}
}

// decodeGrant returns the ID of the granted lease. The ID is never 0.
func decodeGrant(body []byte) (leaseID uint64, err error) {
	const response = "lease"
	var granted struct {
		LeaseID uint64 `json:"tether"`
	}
	if err := decode(response, body, &granted); err != nil {
		return 0, err
	}
	if granted.LeaseID == 0 {
		return 0, &DecodeError{Response: response, Err: errMissingField}
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
