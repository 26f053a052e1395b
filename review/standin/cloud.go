package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// flavor is a machine type as GET /machine_types returns it.
type flavor struct {
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

// cloud is a stand-in of the cloud. The machine list that it returns is listLag old.
type cloud struct {
	cluster *cluster
	flavors []flavor
	listLag time.Duration
	limit   bucket

	mu     sync.Mutex
	lastID int
	hosts  map[string]*host
	hires  map[string][]string
}

// host is a machine of the cloud.
type host struct {
	name, flavor, yard, addr string
	loaners                  bool
	rented                   time.Time
	up                       time.Time // when it came up; zero while booting
	gone                     time.Time // when it was returned; zero before
	worker                   *worker
}

func newCloud(c *cluster, flavors []flavor, rps float64, listLag time.Duration) *cloud {
	// The cloud allows bursts of two seconds' worth.
	return &cloud{
		cluster: c,
		flavors: flavors,
		listLag: listLag,
		limit:   bucket{rate: rps, burst: 2},
		hosts:   map[string]*host{},
		hires:   map[string][]string{},
	}
}

func (c *cloud) flavor(name string) *flavor {
	for i := range c.flavors {
		if c.flavors[i].Name == name {
			return &c.flavors[i]
		}
	}
	return nil
}

// add adds a machine. It is up after the given time.
func (c *cloud) add(flavorName, yard string, loaners bool, boot time.Duration) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addLocked(flavorName, yard, loaners, boot)
}

func (c *cloud) addLocked(flavorName, yard string, loaners bool, boot time.Duration) *host {
	c.lastID++
	h := &host{name: fmt.Sprintf("i-%06d", c.lastID), flavor: flavorName, yard: yard, loaners: loaners, rented: time.Now()}
	h.worker = newWorker(c.cluster, h, c.flavor(flavorName))
	h.addr = h.worker.addr
	c.hosts[h.name] = h
	go func() {
		time.Sleep(boot)
		c.mu.Lock()
		gone := !h.gone.IsZero()
		if !gone {
			h.up = time.Now()
		}
		c.mu.Unlock()
		if !gone {
			h.worker.run()
		}
	}()
	return h
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.limit.take(time.Now(), 1) {
		reply(w, http.StatusTooManyRequests, nil)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		reply(w, http.StatusOK, map[string]any{"flavors": c.flavors})
	case "GET /rentals":
		c.list(w, r)
	case "POST /rentals":
		c.rent(w, r)
	case "POST /rentals/return":
		c.giveBack(w, r)
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}

// list returns the machines as they were listLag ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	at := time.Now().Add(-c.listLag)
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	var names []string
	for name, h := range c.hosts {
		if name > r.URL.Query().Get("from") && h.rented.Before(at) && (h.gone.IsZero() || h.gone.After(at)) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > limit
	list := []map[string]any{}
	for _, name := range names[:min(limit, len(names))] {
		h := c.hosts[name]
		phase := "booting"
		if !h.up.IsZero() && h.up.Before(at) {
			phase = "running"
		}
		list = append(list, map[string]any{
			"name_id": name, "addr": h.addr, "flavor": h.flavor, "yard": h.yard, "loaners": h.loaners,
			"phase": phase, "held_s": at.Sub(h.rented).Seconds(),
		})
	}
	reply(w, http.StatusOK, map[string]any{"hosts": list, "has_next": more})
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hire    string `json:"hire"`
		Flavor  string `json:"flavor"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Number  int    `json:"number"`
	}
	raw, err := readBody(r, maxStateBody)
	if err != nil || json.Unmarshal(raw, &body) != nil || c.flavor(body.Flavor) == nil || body.Number < 1 || body.Number > 50 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	names, repeated := c.hires[body.Hire]
	if !repeated {
		ready := time.Duration(c.flavor(body.Flavor).Ready * float64(time.Second))
		for range body.Number {
			names = append(names, c.addLocked(body.Flavor, body.Yard, body.Loaners, ready).name)
		}
		c.hires[body.Hire] = names
	}
	c.cluster.record("cloud", "rental %s of %d %s: %v", body.Hire, body.Number, body.Flavor, names)
	reply(w, http.StatusOK, map[string]any{"hosts": names})
}

func (c *cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []string `json:"hosts"`
	}
	raw, err := readBody(r, maxStateBody)
	if err != nil || json.Unmarshal(raw, &body) != nil || len(body.Hosts) > 100 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	c.cluster.record("cloud", "return of %v", body.Hosts)
	for _, name := range body.Hosts {
		if h := c.hosts[name]; h != nil && h.gone.IsZero() {
			h.gone = time.Now()
			h.worker.stop("returned")
		}
	}
	reply(w, http.StatusOK, map[string]any{})
}
