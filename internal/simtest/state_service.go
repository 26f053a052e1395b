package simtest

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
)

// fakeStateService is a stand-in of the state service, written from its published
// protocol.
type fakeStateService struct {
	world     *World
	keys      map[string]storedValue
	revision  uint64
	leases    map[uint64]*grantedLease
	lastLease uint64
	down      bool
	pageLimit int // keys in a page
	changeLog
	rateLimits
	limitOverride
	writeDelays
	writtenKeys int // keys put and dropped
}

// storedValue is the value of a key.
type storedValue struct {
	data        json.RawMessage
	modRevision uint64
	leaseID     uint64
}

func newStateService(world *World) *fakeStateService {
	return &fakeStateService{world: world, pageLimit: maxPage, keys: map[string]storedValue{}, leases: map[uint64]*grantedLease{}}
}

// serve answers a request, at once or (for a watch) later.
func (service *fakeStateService) serve(method, target string, body []byte, answer answerFunc) {
	if service.down {
		answer(http.StatusServiceUnavailable, unavailable)
		return
	}
	service.expireLeases()
	if !service.requests.take(service.world.now, service.currentLimits().requestsPerSecond, stateBurst, 1) {
		service.refusedForRate++
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

// maxPage is the largest number of keys in a page.
const maxPage = 1000

// listKeys answers with a page of the keys below a prefix.
func (service *fakeStateService) listKeys(query url.Values) keyPage {
	var keys []string
	for key := range service.keys {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	limit = min(limit, service.pageLimit)
	page := keys[:min(limit, len(keys))]
	items := make([]keyEntry, 0, len(page))
	for _, key := range page {
		items = append(items, keyEntry{service.keys[key].data, key, service.keys[key].modRevision})
	}
	return keyPage{service.revision, len(keys) > limit, items}
}

// maxTransaction is the largest size of a transaction in bytes.
const maxTransaction = 64 << 10

// commit carries out a transaction if all its conditions hold.
func (service *fakeStateService) commit(body []byte) (int, any) {
	var txn transaction
	limits := service.currentLimits()
	if len(body) > maxTransaction || json.Unmarshal(body, &txn) != nil || len(txn.Then) > limits.txnOps || len(txn.If) > 4*limits.txnOps {
		return service.refuseTooLarge("a transaction", "a transaction over its limits: %d ops, %d conditions, %d bytes", len(txn.Then), len(txn.If), len(body))
	}
	if !service.writes.take(service.world.now, limits.writesPerSecond, stateBurst, float64(len(txn.Then))) {
		service.refusedForRate++
		return http.StatusTooManyRequests, nil
	}
	for _, operation := range txn.Then {
		if operation.LeaseID != 0 && service.leases[operation.LeaseID] == nil {
			return http.StatusBadRequest, errorResponse{"no such lease"}
		}
		if float64(len(operation.Data)) > limits.valueKB*1024 {
			return service.refuseTooLarge(operation.Write, "a value of %s of %d bytes", operation.Write, len(operation.Data))
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
		service.keys[operation.Write] = storedValue{operation.Data, service.revision, operation.LeaseID}
		service.log = append(service.log, changeEvent{Write: operation.Write, Data: operation.Data, ModRevision: service.revision})
	}
	service.notifyWatchers()
	return http.StatusOK, committedResponse{service.revision}
}

// setOutage starts or ends an outage; after it every lease has its full time.
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

// putValue stores a record as it is.
func (service *fakeStateService) putValue(key, data string) {
	service.revision++
	service.keys[key] = storedValue{data: json.RawMessage(data), modRevision: service.revision}
	service.log = append(service.log, changeEvent{Write: key, Data: json.RawMessage(data), ModRevision: service.revision})
}

// putTerminalRecord stores what is kept of a job of one task that is over.
func (service *fakeStateService) putTerminalRecord(id, phase string) {
	record, _ := json.Marshal(terminalRecord{Phase: phase, TaskCount: 1})
	service.putValue(terminalKeyPrefix+id, string(record))
}
