package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is a type that the cloud offers.
type machineType struct {
	Name     string   `json:"name"`
	Cores    float64  `json:"cores"`
	Cards    float64  `json:"cards"`
	RAM      float64  `json:"ram_gb"`
	Local    float64  `json:"local_gb"`
	Fetch    float64  `json:"fetch_gb_per_s"`
	Price    float64  `json:"price"`
	LowPrice float64  `json:"low_price"`
	Ready    float64  `json:"ready_s"`
	Yards    []string `json:"yards"`
}

type rental struct {
	name, addr string
	kind       machineType
	yard       string
	loaners    bool
	fetch      float64 // GB a second; the page allows a third more or less than the type's
	since      time.Time
	up         bool
	worker     *worker
}

// cloud is a stand-in of the cloud. Its list does not lag, which the page allows.
type cloud struct {
	c        *cluster
	types    []machineType
	capacity int // machines at most

	mu       sync.Mutex
	rentals  map[string]*rental
	byHire   map[string][]string
	last     int
	requests bucket
}

func newCloud(c *cluster, types []machineType, capacity int) *cloud {
	return &cloud{c: c, types: types, capacity: capacity, rentals: map[string]*rental{}, byHire: map[string][]string{},
		requests: newBucket(c.settings.Cloud.RPS, 2)}
}

// add rents a machine that is up after the given time.
func (cl *cloud) add(kind machineType, yard string, loaners bool, boot time.Duration) string {
	cl.last++
	machine := &rental{name: fmt.Sprintf("i-%06d", cl.last), kind: kind, yard: yard, loaners: loaners,
		fetch: kind.Fetch, since: time.Now()}
	cl.rentals[machine.name] = machine
	machine.worker = newWorker(cl.c, machine)
	machine.addr = machine.worker.addr
	time.AfterFunc(boot, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		if cl.rentals[machine.name] != nil {
			machine.up = true
			machine.worker.begin()
		}
	})
	return machine.name
}

// addUp rents a machine that is up at once, before the case begins.
func (cl *cloud) addUp(kind, yard string) *worker {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, t := range cl.types {
		if t.Name == kind {
			return cl.rentals[cl.add(t, yard, false, 0)].worker
		}
	}
	return nil
}

func (cl *cloud) workers() []*worker {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var list []*worker
	for _, machine := range cl.rentals {
		list = append(list, machine.worker)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}

func (cl *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	time.Sleep(20 * time.Millisecond)
	cl.mu.Lock()
	status, answer := cl.serve(r, body)
	cl.mu.Unlock()
	writeJSON(w, status, answer)
}

func (cl *cloud) serve(r *http.Request, body []byte) (int, any) {
	if !cl.requests.take(1) {
		return 429, object{"error": "too many requests"}
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		return 200, object{"flavors": cl.types}
	case "GET /rentals":
		return 200, cl.list(r)
	case "POST /rentals":
		return cl.rent(body)
	case "POST /rentals/return":
		var request struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(body, &request) != nil || len(request.Hosts) > 100 {
			return 400, object{"error": "malformed"}
		}
		for _, name := range request.Hosts {
			if machine := cl.rentals[name]; machine != nil {
				delete(cl.rentals, name)
				machine.worker.remove("returned")
			}
		}
		return 200, object{}
	}
	return 404, object{}
}

func (cl *cloud) list(r *http.Request) any {
	from := r.URL.Query().Get("from")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	var names []string
	for name := range cl.rentals {
		if name > from {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	hosts := []object{}
	for _, name := range names[:min(limit, len(names))] {
		machine := cl.rentals[name]
		phase := "booting"
		if machine.up {
			phase = "running"
		}
		hosts = append(hosts, object{"name_id": name, "addr": machine.addr, "flavor": machine.kind.Name, "yard": machine.yard,
			"loaners": machine.loaners, "phase": phase, "held_s": time.Since(machine.since).Seconds()})
	}
	return object{"hosts": hosts, "has_next": len(names) > limit}
}

func (cl *cloud) rent(body []byte) (int, any) {
	var request struct {
		Hire    string `json:"hire"`
		Flavor  string `json:"flavor"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Number  int    `json:"number"`
	}
	if json.Unmarshal(body, &request) != nil || request.Hire == "" || request.Number < 1 || request.Number > 50 {
		return 400, object{"error": "malformed"}
	}
	if names, ok := cl.byHire[request.Hire]; ok {
		return 200, object{"hosts": names}
	}
	at := slices.IndexFunc(cl.types, func(t machineType) bool { return t.Name == request.Flavor })
	if at < 0 || !slices.Contains(cl.types[at].Yards, request.Yard) {
		return 400, object{"error": "malformed"}
	}
	number := min(request.Number, cl.capacity-len(cl.rentals))
	if number <= 0 {
		return 503, object{"error": "no capacity"}
	}
	names := []string{}
	for range number {
		kind := cl.types[at]
		names = append(names, cl.add(kind, request.Yard, request.Loaners, time.Duration(kind.Ready*float64(time.Second))))
	}
	cl.byHire[request.Hire] = names
	cl.c.note("cloud: rented %v (%s, %s)", names, request.Flavor, request.Yard)
	return 200, object{"hosts": names}
}
