package simtest

import (
	"encoding/json"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"
)

// fakeStateService is a stand-in of the state service, written from its published
// protocol.
type fakeStateService struct {
	world     *World
	keys      map[string]storedValue
	revision  uint64
	oldest    uint64 // changes from before are not kept
	log       []changeEvent
	leases    map[uint64]*grantedLease
	lastLease uint64
	watchers  []*watcher
	down      bool
	pageLimit int // keys in a page

	requests, writes leakyBucket
	refusedForRate   int // for exceeding them
	writtenKeys      int // keys put and dropped
	limitOverride
}

// stateBurst is how many seconds' worth of requests or writes may come at once.
const stateBurst = 1

// leakyBucket is a rate with bursts.
type leakyBucket struct {
	used      float64
	updatedAt time.Duration
}

// take tells whether n more are allowed now; a burst is as many as come in that many
// seconds at the rate.
func (bucket *leakyBucket) take(now time.Duration, rate, burstSeconds, count float64) bool {
	bucket.used = max(0, bucket.used-rate*(now-bucket.updatedAt).Seconds())
	bucket.updatedAt = now
	if bucket.used+count > rate*burstSeconds {
		return false
	}
	bucket.used += count
	return true
}

type storedValue struct {
	data        json.RawMessage
	modRevision uint64
	leaseID     uint64
}

type changeEvent struct {
	Write       string          `json:"write,omitempty"`
	Drop        string          `json:"drop,omitempty"`
	Data        json.RawMessage `json:"data,omitempty"`
	ModRevision uint64          `json:"stamp"`
}

type grantedLease struct {
	duration  time.Duration
	expiresAt time.Duration
}

type watcher struct {
	from     uint64
	answer   answerFunc
	answered bool
}

const logKept = 10000

func newStateService(world *World) *fakeStateService {
	return &fakeStateService{world: world, pageLimit: maxPage, keys: map[string]storedValue{}, leases: map[uint64]*grantedLease{}}
}

// serve answers a request, at once or (for a watch) later.
func (service *fakeStateService) serve(method, target string, body []byte, answer func(status int, response any)) {
	if service.down {
		answer(503, unavailable)
		return
	}
	service.expireLeases()
	if !service.requests.take(service.world.now, service.currentLimits().requestsPerSecond, stateBurst, 1) {
		service.refusedForRate++
		answer(429, nil)
		return
	}
	parsed, err := url.Parse(target)
	if err != nil {
		answer(400, nil)
		return
	}
	switch {
	case parsed.Path == "/keys" && method == "GET":
		answer(200, service.listKeys(parsed.Query()))
	case parsed.Path == transactionPath && method == "POST":
		if !service.delayMatchingWrite(body) {
			answer(service.commit(body))
		}
	case parsed.Path == "/leases" && method == "POST":
		answer(service.grantLease(body))
	case strings.HasPrefix(parsed.Path, "/leases/"):
		answer(service.changeLease(method, strings.TrimPrefix(parsed.Path, "/leases/")), nil)
	case parsed.Path == watchPath:
		service.watch(parsed.Query(), answer)
	default:
		answer(404, nil)
	}
}

// Limits of a lease's duration in milliseconds.
const (
	minLeaseMS = 100
	maxLeaseMS = 600_000
)

func (service *fakeStateService) grantLease(body []byte) (int, any) {
	var v struct {
		Life int `json:"life_ms"`
	}
	if json.Unmarshal(body, &v) != nil || v.Life < minLeaseMS || v.Life > maxLeaseMS {
		return 400, nil
	}
	service.lastLease++
	life := time.Duration(v.Life) * time.Millisecond
	service.leases[service.lastLease] = &grantedLease{life, service.world.now + life}
	return 200, leaseResponse{service.lastLease}
}

// changeLease extends or ends the lease that a path names.
func (service *fakeStateService) changeLease(method, path string) int {
	name, action, _ := strings.Cut(path, "/")
	id, _ := strconv.ParseUint(name, 10, 64)
	lease := service.leases[id]
	switch {
	case lease == nil:
		return 404
	case method == "DELETE":
		lease.expiresAt = service.world.now
		service.expireLeases()
		return 200
	case action == "extend":
		lease.expiresAt = service.world.now + lease.duration
		return 200
	}
	return 400
}

// watch answers with the changes after a revision, once there are any or the
// time to wait is over.
func (service *fakeStateService) watch(query url.Values, answer func(status int, response any)) {
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	if from+logKept < service.revision || from < service.oldest {
		answer(410, nil)
		return
	}
	if from < service.revision || wait == 0 {
		answer(200, service.changesAfter(from))
		return
	}
	watch := &watcher{from: from, answer: answer}
	service.watchers = append(service.watchers, watch)
	service.world.schedule(time.Duration(wait)*time.Millisecond, func() {
		if !watch.answered {
			watch.answered = true
			answer(200, service.changesAfter(watch.from))
		}
	})
}

// maxPage is the largest number of keys in a page.
const maxPage = 1000

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

func (service *fakeStateService) changesAfter(from uint64) watchResponse {
	i := sort.Search(len(service.log), func(i int) bool { return service.log[i].ModRevision > from })
	return watchResponse{service.revision, append([]changeEvent{}, service.log[i:]...)}
}

// maxTransaction is the largest size of a transaction in bytes.
const maxTransaction = 64 << 10

// commit carries out a transaction if all its conditions hold.
func (service *fakeStateService) commit(body []byte) (int, any) {
	var txn transaction
	set := service.currentLimits()
	if len(body) > maxTransaction || json.Unmarshal(body, &txn) != nil || len(txn.Then) > set.txnOps || len(txn.If) > 4*set.txnOps {
		return service.refuseTooLarge("a transaction", "a transaction over its limits: %d ops, %d conditions, %d bytes", len(txn.Then), len(txn.If), len(body))
	}
	if !service.writes.take(service.world.now, set.writesPerSecond, stateBurst, float64(len(txn.Then))) {
		service.refusedForRate++
		return 429, nil
	}
	for _, operation := range txn.Then {
		if operation.LeaseID != 0 && service.leases[operation.LeaseID] == nil {
			return 400, errorResponse{"no such lease"}
		}
		if float64(len(operation.Data)) > set.valueKB*1024 {
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
		return 409, conflictResponse{service.revision, failed}
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
	return 200, committedResponse{service.revision}
}

func (service *fakeStateService) notifyWatchers() {
	list := service.watchers
	service.watchers = nil
	for _, watcher := range list {
		if watcher.answered {
			continue
		}
		if service.revision > watcher.from && !service.down {
			watcher.answered = true
			watcher.answer(200, service.changesAfter(watcher.from))
		} else {
			service.watchers = append(service.watchers, watcher)
		}
	}
}

// expireLeases ends leases that ran out.
func (service *fakeStateService) expireLeases() {
	if service.down {
		return
	}
	var ended []uint64
	for id, lease := range service.leases {
		if service.world.now >= lease.expiresAt {
			ended = append(ended, id)
		}
	}
	sort.Slice(ended, func(a, b int) bool { return ended[a] < ended[b] })
	for _, id := range ended {
		delete(service.leases, id)
		var keys []string
		for key, stored := range service.keys {
			if stored.leaseID == id {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		for _, key := range keys {
			service.revision++
			delete(service.keys, key)
			service.log = append(service.log, changeEvent{Drop: key, ModRevision: service.revision})
		}
	}
	if len(ended) > 0 {
		service.notifyWatchers()
	}
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
