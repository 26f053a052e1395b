package simtest

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sort"
	"time"
)

type machineType struct {
	cpus, gpus, memory float64
	price              float64
	boot               time.Duration
}

// machine types are the machine types of the simulated deployments.
var machineTypes = map[string]machineType{
	"small": {4, 0, 16, 1, 3 * time.Second},
	"big":   {16, 0, 64, 3, 4 * time.Second},
	"card":  {8, 4, 64, 10, 5 * time.Second},
}

// cloud is a stand-in of the cloud.
type cloud struct {
	w           *World
	machines    map[string]*rented
	provisioned map[string][]string
	last        int
	down        bool
	available   map[string]int // per type, zone and kind; absent: plenty
	never       int            // so many of the next machines never boot
	returned    int
}

type rented struct {
	name, addr, machineType, zone string
	spot                          bool
	since                         time.Duration
	worker                        *worker
	terminated                    bool
}

func newCloud(w *World) *cloud {
	return &cloud{w: w, machines: map[string]*rented{}, provisioned: map[string][]string{}, available: map[string]int{}}
}

func capacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

func (c *cloud) add(machineType, zone string, spot bool, boot time.Duration) string {
	c.last++
	h := &rented{name: fmt.Sprintf("i-%06d", c.last), addr: fmt.Sprintf("10.1.%d.%d:9000", c.last/250, c.last%250+1), machineType: machineType,
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

func (c *cloud) serve(method, target string, body []byte, answer func(int, any)) {
	if c.down {
		answer(503, object{"error": "trouble"})
		return
	}
	u, _ := url.Parse(target)
	switch {
	case u.Path == "/machine_types":
		var list []object
		for _, name := range []string{"small", "big", "card"} {
			f := machineTypes[name]
			list = append(list, object{"name": name, "cores": f.cpus, "cards": f.gpus, "ram_gb": f.memory, "local_gb": 50,
				"fetch_gb_per_s": 1, "price": f.price, "low_price": f.price / 2, "ready_s": f.boot.Seconds(), "yards": []string{"a", "b"}})
		}
		answer(200, object{"flavors": list})
	case u.Path == "/rentals" && method == "GET":
		list := []object{}
		var names []string
		for n := range c.machines {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			h := c.machines[n]
			if n <= u.Query().Get("from") || c.w.now-h.since < seconds(c.w.cfg.Settings.Cloud.ListLagS) {
				continue
			}
			phase := "booting"
			if h.worker != nil {
				phase = "running"
				if !h.worker.up {
					phase = "failed"
				}
			}
			list = append(list, object{"name_id": n, "addr": h.addr, "flavor": h.machineType, "yard": h.zone, "loaners": h.spot,
				"phase": phase, "held_s": (c.w.now - h.since).Seconds()})
		}
		answer(200, object{"hosts": list, "has_next": false})
	case u.Path == "/rentals":
		var v struct {
			Hire        string `json:"hire"`
			MachineType string `json:"flavor"`
			Zone        string `json:"yard"`
			Spot        bool   `json:"loaners"`
			Number      int    `json:"number"`
		}
		if json.Unmarshal(body, &v) != nil || machineTypes[v.MachineType].cpus == 0 || v.Number < 1 || v.Number > 50 || v.Hire == "" {
			c.w.fault("bad rental %s", body)
			answer(400, nil)
			return
		}
		if got, ok := c.provisioned[v.Hire]; ok {
			answer(200, object{"hosts": got})
			return
		}
		n := v.Number
		key := capacityKey(v.MachineType, v.Zone, v.Spot)
		if most, ok := c.available[key]; ok {
			n = min(n, most)
			c.available[key] -= n
		}
		if n == 0 {
			answer(503, object{"error": "no capacity"})
			return
		}
		var got []string
		for range n {
			got = append(got, c.add(v.MachineType, v.Zone, v.Spot, machineTypes[v.MachineType].boot))
		}
		c.provisioned[v.Hire] = got
		answer(200, object{"hosts": got})
	case u.Path == "/rentals/return":
		var v struct {
			Machines []string `json:"hosts"`
		}
		if json.Unmarshal(body, &v) != nil || len(v.Machines) > 100 {
			c.w.fault("bad return %s", body)
			answer(400, nil)
			return
		}
		for _, h := range v.Machines {
			if c.machines[h] != nil {
				c.returned++
			}
			c.remove(h)
		}
		answer(200, nil)
	default:
		answer(404, nil)
	}
}
