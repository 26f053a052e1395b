package simtest

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sort"
	"time"
)

type flavor struct {
	cores, cards, ram float64
	price             float64
	boot              time.Duration
}

// flavors are the machine types of the simulated deployments.
var flavors = map[string]flavor{
	"small": {4, 0, 16, 1, 3 * time.Second},
	"big":   {16, 0, 64, 3, 4 * time.Second},
	"card":  {8, 4, 64, 10, 5 * time.Second},
}

// cloud is a stand-in of the cloud.
type cloud struct {
	w        *World
	hosts    map[string]*rented
	hires    map[string][]string
	last     int
	down     bool
	capacity map[string]int // per type, zone and kind; absent: plenty
	never    int            // so many of the next machines never boot
	returned int
}

type rented struct {
	name, addr, flavor, zone string
	spot                     bool
	since                    time.Duration
	worker                   *worker
	gone                     bool
}

func newCloud(w *World) *cloud {
	return &cloud{w: w, hosts: map[string]*rented{}, hires: map[string][]string{}, capacity: map[string]int{}}
}

func capacityKey(flavor, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", flavor, zone, spot)
}

func (c *cloud) add(flavor, zone string, spot bool, boot time.Duration) string {
	c.last++
	h := &rented{name: fmt.Sprintf("i-%06d", c.last), addr: fmt.Sprintf("10.1.%d.%d:9000", c.last/250, c.last%250+1), flavor: flavor,
		zone: zone, spot: spot, since: c.w.now}
	c.hosts[h.name] = h
	if c.never > 0 {
		c.never--
		return h.name
	}
	c.w.after(boot, func() {
		if !h.gone {
			h.worker = newWorker(c.w, h.name, h.addr, flavor, zone, spot)
		}
	})
	return h.name
}

func (c *cloud) remove(name string) {
	if h := c.hosts[name]; h != nil {
		h.gone = true
		if h.worker != nil {
			h.worker.die()
		}
		delete(c.hosts, name)
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
			f := flavors[name]
			list = append(list, object{"name": name, "cores": f.cores, "cards": f.cards, "ram_gb": f.ram, "local_gb": 50,
				"fetch_gb_per_s": 1, "price": f.price, "low_price": f.price / 2, "ready_s": f.boot.Seconds(), "yards": []string{"a", "b"}})
		}
		answer(200, object{"flavors": list})
	case u.Path == "/rentals" && method == "GET":
		list := []object{}
		var names []string
		for n := range c.hosts {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			h := c.hosts[n]
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
			list = append(list, object{"name_id": n, "addr": h.addr, "flavor": h.flavor, "yard": h.zone, "loaners": h.spot,
				"phase": phase, "held_s": (c.w.now - h.since).Seconds()})
		}
		answer(200, object{"hosts": list, "has_next": false})
	case u.Path == "/rentals":
		var v struct {
			Hire   string `json:"hire"`
			Flavor string `json:"flavor"`
			Yard   string `json:"yard"`
			Spot   bool   `json:"loaners"`
			Number int    `json:"number"`
		}
		if json.Unmarshal(body, &v) != nil || flavors[v.Flavor].cores == 0 || v.Number < 1 || v.Number > 50 || v.Hire == "" {
			c.w.fault("bad rental %s", body)
			answer(400, nil)
			return
		}
		if got, ok := c.hires[v.Hire]; ok {
			answer(200, object{"hosts": got})
			return
		}
		n := v.Number
		key := capacityKey(v.Flavor, v.Yard, v.Spot)
		if most, ok := c.capacity[key]; ok {
			n = min(n, most)
			c.capacity[key] -= n
		}
		if n == 0 {
			answer(503, object{"error": "no capacity"})
			return
		}
		var got []string
		for range n {
			got = append(got, c.add(v.Flavor, v.Yard, v.Spot, flavors[v.Flavor].boot))
		}
		c.hires[v.Hire] = got
		answer(200, object{"hosts": got})
	case u.Path == "/rentals/return":
		var v struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(body, &v) != nil || len(v.Hosts) > 100 {
			c.w.fault("bad return %s", body)
			answer(400, nil)
			return
		}
		for _, h := range v.Hosts {
			if c.hosts[h] != nil {
				c.returned++
			}
			c.remove(h)
		}
		answer(200, nil)
	default:
		answer(404, nil)
	}
}
