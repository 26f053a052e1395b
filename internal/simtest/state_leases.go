package simtest

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"lugward/internal/jsonwire"
)

// grantedLease is a lease of the state service. The keys that are attached to it are deleted
// when it expires.
type grantedLease struct {
	duration  time.Duration
	expiresAt time.Duration
}

// Bounds of a lease's duration in milliseconds.
const (
	minLeaseMS = 100
	maxLeaseMS = 600_000
)

// grantLease grants a lease with the requested duration.
func (service *fakeStateService) grantLease(body []byte) (int, any) {
	var request struct {
		DurationMS int `json:"life_ms"`
	}
	if jsonwire.Unmarshal(body, &request) != nil || request.DurationMS < minLeaseMS || request.DurationMS > maxLeaseMS {
		return http.StatusBadRequest, nil
	}
	service.lastLease++
	duration := time.Duration(request.DurationMS) * time.Millisecond
	service.leases[service.lastLease] = &grantedLease{duration, service.world.now + duration}
	return http.StatusOK, leaseResponse{service.lastLease}
}

// changeLease extends or revokes the lease whose ID is in the path, and returns the response
// status.
func (service *fakeStateService) changeLease(method, path string) int {
	name, action, _ := strings.Cut(path, "/")
	id, _ := strconv.ParseUint(name, 10, 64)
	lease := service.leases[id]
	switch {
	case lease == nil:
		return http.StatusNotFound
	case method == "DELETE":
		lease.expiresAt = service.world.now
		service.expireLeases()
		return http.StatusOK
	case action == "extend":
		lease.expiresAt = service.world.now + lease.duration
		return http.StatusOK
	}
	return http.StatusBadRequest
}

// expireLeases deletes the expired leases and their keys. During an outage no lease expires.
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
