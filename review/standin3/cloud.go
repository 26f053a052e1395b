package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// firstMachine is less by one than the number of the first machine.
const firstMachine = 200

func machineName(number int64) string { return fmt.Sprintf("i-%06d", number) }

// machineType is a machine type of the cloud.
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

// rental is a machine of the cloud.
type rental struct {
	name, flavor, yard string
	loaners            bool
	rentedAt           time.Time
	phase              string
	worker             *worker
	addr               string
}

// cloud rents machines, and knows the jobs that users have uploaded.
type cloud struct {
	c     *cluster
	addr  string
	types []machineType
	boot  time.Duration

	mu       sync.Mutex
	machines map[string]*rental
	hires    map[string][]string
	last     atomic.Int64 // number of the last machine
	jobs     map[string]*job
	rentals  map[string]int  // requests to rent, by zone
	soldOut  map[string]bool // zones without capacity
	requests bucket
	gangs    gangs
	// onTask is called when a task starts on a machine or leaves it.
	onTask func(event, machine, task string, try uint64)
	// onOrder is called for each command in the answer to a report, with the time at which the
	// report was sent.
	onOrder func(o order, machine string, sentAt time.Time)
}

func newCloud(c *cluster) (*cloud, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cl := &cloud{
		c: c, addr: listener.Addr().String(), boot: 1500 * time.Millisecond,
		rentals: map[string]int{}, soldOut: map[string]bool{}, machines: map[string]*rental{}, hires: map[string][]string{}, jobs: map[string]*job{},
		requests: newBucket(2 * c.cfg.cloudRPS),
		onTask:   func(string, string, string, uint64) {},
		onOrder:  func(order, string, time.Time) {},
	}
	for _, t := range c.cfg.types {
		t.Yards = c.cfg.zones
		cl.types = append(cl.types, t)
	}
	cl.gangs.tasks = map[string]map[string]bool{}
	cl.last.Store(firstMachine)
	cl.requests.rate = c.cfg.cloudRPS
	go func() { _ = http.Serve(listener, cl) }()
	return cl, nil
}

// know records a job that a user has uploaded.
func (cl *cloud) know(j *job) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.jobs[j.NameID] = j
}

func (cl *cloud) job(id string) *job {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.jobs[id]
}

// rentRequests returns the number of requests to rent machines in a zone, or in all zones.
func (cl *cloud) rentRequests(zone string) (count int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for yard, requests := range cl.rentals {
		if zone == "" || yard == zone {
			count += requests
		}
	}
	return count
}

func (cl *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(20 * time.Millisecond)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if now := time.Now(); true {
		cl.requests.level = min(2*cl.requests.rate, cl.requests.level+cl.requests.rate*now.Sub(cl.requests.at).Seconds())
		cl.requests.at = now
		if cl.requests.level < 1 {
			reply(w, http.StatusTooManyRequests, map[string]string{"error": "rate"})
			return
		}
		cl.requests.level--
	}
	switch {
	case r.URL.Path == "/machine_types":
		reply(w, http.StatusOK, map[string]any{"flavors": cl.types})
	case r.URL.Path == "/rentals" && r.Method == http.MethodGet:
		cl.list(w, r)
	case r.URL.Path == "/rentals":
		cl.rent(w, r)
	case r.URL.Path == "/rentals/return":
		cl.giveBack(w, r)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (cl *cloud) list(w http.ResponseWriter, r *http.Request) {
	type host struct {
		Name    string  `json:"name_id"`
		Addr    string  `json:"addr"`
		Flavor  string  `json:"flavor"`
		Yard    string  `json:"yard"`
		Loaners bool    `json:"loaners"`
		Phase   string  `json:"phase"`
		Held    float64 `json:"held_s"`
	}
	from := r.URL.Query().Get("from")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	lag := time.Duration(cl.c.cfg.listLagS * float64(time.Second))
	hosts := []host{}
	for name, m := range cl.machines {
		if name > from && time.Since(m.rentedAt) > lag {
			hosts = append(hosts, host{name, m.addr, m.flavor, m.yard, m.loaners, m.phase, time.Since(m.rentedAt).Seconds()})
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	more := limit > 0 && len(hosts) > limit
	if more {
		hosts = hosts[:limit]
	}
	reply(w, http.StatusOK, map[string]any{"hosts": hosts, "has_next": more})
}

func (cl *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hire    string `json:"hire"`
		Flavor  string `json:"flavor"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Number  int    `json:"number"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Hire == "" || body.Number < 1 || body.Number > 50 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if hosts, ok := cl.hires[body.Hire]; ok {
		reply(w, http.StatusOK, map[string]any{"hosts": hosts})
		return
	}
	cl.rentals[body.Yard]++
	if cl.soldOut[body.Yard] {
		cl.c.rec.log("cloud refuses %s in %s, spot %v, request %s: no capacity", body.Flavor, body.Yard, body.Loaners, body.Hire)
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	hosts := []string{}
	for range body.Number {
		hosts = append(hosts, cl.add(body.Flavor, body.Yard, body.Loaners, cl.boot+time.Duration(rand.Int63n(int64(cl.boot/4)))))
	}
	cl.hires[body.Hire] = hosts
	cl.c.rec.log("cloud rents %v: %s in %s, spot %v, request %s", hosts, body.Flavor, body.Yard, body.Loaners, body.Hire)
	reply(w, http.StatusOK, map[string]any{"hosts": hosts})
}

// add adds a machine that is up after a time. The caller holds the lock.
func (cl *cloud) add(flavor, yard string, loaners bool, boot time.Duration) string {
	name := machineName(cl.last.Add(1))
	m := &rental{name: name, flavor: flavor, yard: yard, loaners: loaners, rentedAt: time.Now(), phase: "booting"}
	cl.machines[name] = m
	time.AfterFunc(boot, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		if cl.machines[name] != m {
			return
		}
		worker, err := newWorker(cl, m)
		if err != nil {
			cl.c.rec.log("machine %s cannot start: %v", name, err)
			return
		}
		m.worker, m.phase, m.addr = worker, "running", worker.addr
		cl.c.rec.log("machine %s is up", name)
	})
	return name
}

func (cl *cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []string `json:"hosts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	for _, name := range body.Hosts {
		if m := cl.machines[name]; m != nil {
			cl.c.rec.log("cloud takes back %s", name)
			delete(cl.machines, name)
			if m.worker != nil {
				m.worker.end()
			}
		}
	}
	reply(w, http.StatusOK, map[string]any{})
}

// fail stops a machine with everything on it. It stays listed until it is deleted.
func (cl *cloud) fail(name string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	m := cl.machines[name]
	if m == nil {
		return
	}
	cl.c.rec.log("machine %s stops by itself", name)
	if m.worker != nil {
		m.worker.end()
	}
	// A machine that dies still shows as running for about 30 s.
	time.AfterFunc(30*time.Second, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		m.phase = "failed"
	})
}

// machineNames returns the machines that exist.
func (cl *cloud) machineNames() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var names []string
	for name := range cl.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// jobLocked returns a job. The caller holds the lock.
func (cl *cloud) jobLocked(id string) *job { return cl.jobs[id] }

func (cl *cloud) typeOf(flavor string) machineType {
	for _, t := range cl.types {
		if t.Name == flavor {
			return t
		}
	}
	return machineType{Fetch: 1}
}
