package simtest

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"

	"lugward/internal/jsonwire"
)

// fakeStateService is a fake of the state service, written from its published protocol.
type fakeStateService struct {
	world     *World
	keys      map[string]storedValue
	revision  uint64
	leases    map[uint64]*grantedLease
	lastLease uint64
	down      bool
	pageLimit int // maximum number of keys in a page
	changeLog
	rateLimits
	limitOverride
	writeDelays
	writtenKeys int // number of writes and deletions of keys
}

// storedValue is the value of a key with its mod revision and its lease.
type storedValue struct {
	data        json.RawMessage
	modRevision uint64
	leaseID     uint64
}

func newStateService(world *World) *fakeStateService {
	return &fakeStateService{world: world, pageLimit: maxPageKeys, keys: map[string]storedValue{}, leases: map[uint64]*grantedLease{}}
}

// serve handles a request. It answers a watch when there are changes or its wait time is
// over, and a delayed write never; all other requests are answered immediately.
func (service *fakeStateService) serve(method, target string, body []byte, answer answerFunc) {
	if service.down {
		answer(http.StatusServiceUnavailable, unavailable)
		return
	}
	service.expireLeases()
	if !service.requests.acquire(service.world.now, service.currentLimits().requestsPerSecond, stateBurstSeconds, 1) {
		service.rateLimitedCount++
		answer(http.StatusTooManyRequests, nil)
		return
	}
	parsed, err := url.Parse(target)
	if err != nil {
		answer(http.StatusBadRequest, nil)
		return
	}
	switch {
	case parsed.Path == keysPath && method == "GET":
		answer(http.StatusOK, service.listKeys(parsed.Query()))
	case parsed.Path == transactionPath && method == "POST":
		if !service.delayMatchingWrite(body) {
			answer(service.commit(body))
		}
	case parsed.Path == leasesPath && method == "POST":
		answer(service.grantLease(body))
	case strings.HasPrefix(parsed.Path, leasesPath+"/"):
		answer(service.changeLease(method, strings.TrimPrefix(parsed.Path, leasesPath+"/")), nil)
	case parsed.Path == watchPath:
		service.watch(parsed.Query(), answer)
	default:
		answer(http.StatusNotFound, nil)
	}
}

// maxPageKeys is the maximum number of keys in a page.
const maxPageKeys = 1000

// listKeys returns a page of the keys with a prefix, sorted by key.
func (service *fakeStateService) listKeys(query url.Values) keyPage {
	var keys []string
	for key := range service.keys {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxPageKeys {
		limit = maxPageKeys
	}
	limit = min(limit, service.pageLimit)
	page := keys[:min(limit, len(keys))]
	items := make([]keyEntry, 0, len(page))
	for _, key := range page {
		items = append(items, keyEntry{service.keys[key].data, key, service.keys[key].modRevision})
	}
	return keyPage{service.revision, len(keys) > limit, items}
}

// maxTransactionBytes is the maximum size of a transaction in bytes.
const maxTransactionBytes = 64 << 10

// commit executes a transaction if all its preconditions hold.
func (service *fakeStateService) commit(body []byte) (int, any) {
	var txn transaction
	limits := service.currentLimits()
	if len(body) > maxTransactionBytes || jsonwire.Unmarshal(body, &txn) != nil || len(txn.Then) > limits.txnOps || len(txn.If) > 4*limits.txnOps {
		return service.rejectTooLarge("a transaction", "a transaction that is invalid or over the limits: %d operations, %d preconditions, %d bytes", len(txn.Then), len(txn.If), len(body))
	}
	if !service.writes.acquire(service.world.now, limits.writesPerSecond, stateBurstSeconds, float64(len(txn.Then))) {
		service.rateLimitedCount++
		return http.StatusTooManyRequests, nil
	}
	for _, operation := range txn.Then {
		if operation.LeaseID != 0 && service.leases[operation.LeaseID] == nil {
			return http.StatusBadRequest, errorResponse{"no such lease"}
		}
		if float64(len(operation.Data)) > limits.valueKB*1024 {
			return service.rejectTooLarge(operation.Write, "a value over the limit for key %s: %d bytes", operation.Write, len(operation.Data))
		}
	}
	failed := []string{}
	for _, precondition := range txn.If {
		if service.keys[precondition.Key].modRevision != precondition.ModRevision {
			failed = append(failed, precondition.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, conflictResponse{service.revision, failed}
	}
	if len(txn.Then) > 0 {
		service.revision++
	}
	service.writtenKeys += len(txn.Then)
	for _, operation := range txn.Then {
		if operation.Drop != "" {
			delete(service.keys, operation.Drop)
			service.log = append(service.log, changeEvent{Drop: operation.Drop, ModRevision: service.revision})
			continue
		}
		service.setValue(operation.Write, storedValue{operation.Data, service.revision, operation.LeaseID})
		service.log = append(service.log, changeEvent{Write: operation.Write, Data: operation.Data, ModRevision: service.revision})
	}
	service.notifyWatchers()
	return http.StatusOK, committedResponse{service.revision}
}

// setOutage starts or ends an outage. When an outage ends, all leases are renewed for their
// full duration.
func (service *fakeStateService) setOutage(down bool) {
	service.expireLeases()
	service.down = down
	if !down {
		for _, lease := range service.leases {
			lease.expiresAt = service.world.now + lease.duration
		}
		service.notifyWatchers()
	}
}

// setValue sets the value of a key. It neither logs the change nor notifies watchers.
func (service *fakeStateService) setValue(key string, value storedValue) {
	service.keys[key] = value
	service.world.checker.recordAssignments(key, value.data)
}

// putValue writes a raw value without preconditions. It does not notify watchers.
func (service *fakeStateService) putValue(key, data string) {
	service.revision++
	service.setValue(key, storedValue{data: json.RawMessage(data), modRevision: service.revision})
	service.log = append(service.log, changeEvent{Write: key, Data: json.RawMessage(data), ModRevision: service.revision})
}

// putTerminalRecord writes the terminal record of a job with one task.
func (service *fakeStateService) putTerminalRecord(id, phase string) {
	record, _ := json.Marshal(terminalRecord{Phase: phase, TaskCount: 1})
	service.putValue(terminalKeyPrefix+id, string(record))
}
