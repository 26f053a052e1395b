package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"time"
)

type machineType struct {
	cpus, gpus, memory float64
	price              float64
	boot               time.Duration
}

// recordedGPUType is the name of the machine type "gpu" in recordings of versions
// that called it so.
const recordedGPUType = "card"

// offeredNames are the machine types that the cloud offers.
var offeredNames = []string{"small", "big", "gpu"}

// machineTypes are the machine types of the simulated deployments, also those of
// recordings.
var machineTypes = map[string]machineType{
	"small": {4, 0, 16, 1, 3 * time.Second},
	"big":   {16, 0, 64, 3, 4 * time.Second},
	"gpu":   {8, 4, 64, 10, 5 * time.Second},

	recordedGPUType: {8, 4, 64, 10, 5 * time.Second},
}

// cloud is a stand-in of the cloud.
type cloud struct {
	w            *World
	offeredNames []string
	machines     map[string]*cloudMachine
	provisioned  map[string][]string
	last         int
	down         bool
	available    map[string]int // per type, zone and kind; absent: plenty
	requests     budget
	never        int // so many of the next machines never boot
	returned     int
}

// cloudMachine is a machine that the cloud has provisioned.
type cloudMachine struct {
	name, addr, machineType, zone string
	spot                          bool
	since                         time.Duration
	worker                        *worker
	terminated                    bool
}

func newCloud(w *World) *cloud {
	return &cloud{w: w, offeredNames: slices.Clone(offeredNames), machines: map[string]*cloudMachine{}, provisioned: map[string][]string{}, available: map[string]int{}}
}

func capacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

func (c *cloud) add(machineType, zone string, spot bool, boot time.Duration) string {
	c.last++
	h := &cloudMachine{name: fmt.Sprintf("i-%06d", c.last), addr: fmt.Sprintf("10.1.%d.%d:9000", c.last/250, c.last%250+1), machineType: machineType,
		zone: zone, spot: spot, since: c.w.now}
	c.machines[h.name] = h
	if c.never > 0 {
		c.never--
		return h.name
	}
	c.w.after(boot, func() {
		if !h.terminated {
			h.worker = newWorker(c.w, h.name, h.addr, machineType, zone, spot)
		}
	})
	return h.name
}

func (c *cloud) remove(name string) {
	if h := c.machines[name]; h != nil {
		h.terminated = true
		if h.worker != nil {
			h.worker.die()
		}
		delete(c.machines, name)
	}
}

// serve answers a request.
func (c *cloud) serve(method, target string, body []byte, answer func(int, any)) {
	if c.down {
		answer(503, unavailable)
		return
	}
	if !c.requests.take(c.w.now, c.w.cfg.Settings.Cloud.RPS, cloudBurst, 1) {
		answer(429, nil)
		return
	}
	u, err := url.Parse(target)
	switch {
	case err != nil:
		answer(400, nil)
	case u.Path == "/machine_types":
		answer(200, c.offered())
	case u.Path == "/rentals" && method == "GET":
		answer(200, c.list(u.Query()))
	case u.Path == "/rentals":
		answer(c.provision(body))
	case u.Path == "/rentals/return":
		answer(c.release(body))
	default:
		answer(404, nil)
	}
}

func (c *cloud) offered() offeredTypes {
	var list []offeredType
	for _, name := range c.offeredNames {
		f := machineTypes[name]
		list = append(list, offeredType{Name: name, CPUs: f.cpus, GPUs: f.gpus, Memory: f.memory, LocalGB: 50, FetchRate: 1,
			Price: f.price, SpotPrice: f.price / 2, BootTime: f.boot.Seconds(), Zones: []string{"a", "b"}})
	}
	return offeredTypes{list}
}

// list shows a page of the machines after a name, the youngest not yet.
func (c *cloud) list(q url.Values) machineList {
	list := []listedMachine{}
	after := q.Get("from")
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxListed {
		limit = maxListed
	}
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		m := c.machines[name]
		if name <= after || c.w.now-m.since < seconds(c.w.cfg.Settings.Cloud.ListLagS) {
			continue
		}
		if len(list) == limit {
			return machineList{Machines: list, HasNext: true}
		}
		list = append(list, listedMachine{Name: name, Addr: m.addr, MachineType: m.machineType, Zone: m.zone, Spot: m.spot,
			Phase: m.phase(), Age: (c.w.now - m.since).Seconds()})
	}
	return machineList{Machines: list}
}

func (m *cloudMachine) phase() string {
	switch {
	case m.worker == nil:
		return "booting"
	case !m.worker.up:
		return "failed"
	}
	return "running"
}

// cloudBurst is how many seconds' worth of requests the cloud takes at once.
const cloudBurst = 2

// Limits of one request to the cloud.
const (
	maxListed      = 500
	maxProvisioned = 50
	maxReleased    = 100
)

func (c *cloud) provision(body []byte) (int, any) {
	var v provisionRequest
	if json.Unmarshal(body, &v) != nil || machineTypes[v.MachineType].cpus == 0 || v.Number < 1 || v.Number > maxProvisioned || v.ID == "" {
		c.w.fault("bad request for machines %s", body)
		return 400, nil
	}
	if got, ok := c.provisioned[v.ID]; ok {
		return 200, machineNames{got}
	}
	n := v.Number
	key := capacityKey(v.MachineType, v.Zone, v.Spot)
	if most, ok := c.available[key]; ok {
		n = min(n, most)
		c.available[key] -= n
	}
	if n == 0 {
		return 503, failure{"no capacity"}
	}
	var got []string
	for range n {
		got = append(got, c.add(v.MachineType, v.Zone, v.Spot, machineTypes[v.MachineType].boot))
	}
	c.provisioned[v.ID] = got
	return 200, machineNames{got}
}

func (c *cloud) release(body []byte) (int, any) {
	var v machineNames
	if json.Unmarshal(body, &v) != nil || len(v.Machines) > maxReleased {
		c.w.fault("bad return %s", body)
		return 400, nil
	}
	for _, name := range v.Machines {
		if c.machines[name] != nil {
			c.returned++
		}
		c.remove(name)
	}
	return 200, nil
}
