package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// resources are what a machine has and what each task of a job takes.
type resources struct{ cpus, gpus, memory float64 }

// minus is what is left when something is taken.
func (r resources) minus(taken resources) resources {
	return resources{r.cpus - taken.cpus, r.gpus - taken.gpus, r.memory - taken.memory}
}

// atMost is the smaller amount of each resource.
func (r resources) atMost(other resources) resources {
	return resources{min(r.cpus, other.cpus), min(r.gpus, other.gpus), min(r.memory, other.memory)}
}

// covers reports whether there is enough of each resource.
func (r resources) covers(needed resources) bool {
	return r.cpus >= needed.cpus && r.gpus >= needed.gpus && r.memory >= needed.memory
}

// machineType is a type of machines that the cloud offers.
type machineType struct {
	resources
	price float64
	boot  time.Duration
}

// recordedGPUType is the name of the machine type "gpu" in recordings of versions
// that called it so.
const recordedGPUType = "card"

// offeredTypeNames are the machine types that the cloud offers.
var offeredTypeNames = []string{"small", "big", "gpu"}

// machineTypes are the machine types of the simulated deployments, also those of
// recordings.
var machineTypes = map[string]machineType{
	"small": {resources{4, 0, 16}, 1, 3 * time.Second},
	"big":   {resources{16, 0, 64}, 3, 4 * time.Second},
	"gpu":   {resources{8, 4, 64}, 10, 5 * time.Second},

	recordedGPUType: {resources{8, 4, 64}, 10, 5 * time.Second},
}

// fakeCloud is a stand-in of the cloud.
type fakeCloud struct {
	world                *World
	offeredNames         []string
	machines             map[string]*provisionedMachine
	provisionedByRequest map[string][]string
	lastMachine          int
	down                 bool
	available            map[string]int // per type, zone and kind; absent: plenty
	requests             leakyBucket
	bootFailures         int // so many of the next machines never boot
	releasedMachines     int
}

// provisionedMachine is a machine that the cloud has provisioned.
type provisionedMachine struct {
	machineIdentity
	provisionedAt time.Duration
	worker        *fakeWorker // nil: it has not booted yet
	terminated    bool
}

func newCloud(world *World) *fakeCloud {
	return &fakeCloud{
		world:                world,
		offeredNames:         slices.Clone(offeredTypeNames),
		machines:             map[string]*provisionedMachine{},
		provisionedByRequest: map[string][]string{},
		available:            map[string]int{},
	}
}

// capacityKey names the machines whose number is limited together.
func capacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

// addMachine provisions a machine that boots after a while and returns its name.
func (cloud *fakeCloud) addMachine(machineType, zone string, spot bool, boot time.Duration) string {
	cloud.lastMachine++
	machine := &provisionedMachine{
		machineIdentity: machineIdentity{
			name:        fmt.Sprintf("i-%06d", cloud.lastMachine),
			addr:        fmt.Sprintf("10.1.%d.%d:9000", cloud.lastMachine/250, cloud.lastMachine%250+1),
			machineType: machineType,
			zone:        zone,
			spot:        spot,
		},
		provisionedAt: cloud.world.now,
	}
	cloud.machines[machine.name] = machine
	if cloud.bootFailures > 0 {
		cloud.bootFailures--
		return machine.name
	}
	cloud.world.schedule(boot, func() {
		if !machine.terminated {
			machine.worker = newWorker(cloud.world, machine.machineIdentity)
		}
	})
	return machine.name
}

// terminate takes a machine away without notice.
func (cloud *fakeCloud) terminate(name string) {
	if machine := cloud.machines[name]; machine != nil {
		machine.terminated = true
		if machine.worker != nil {
			machine.worker.crash()
		}
		delete(cloud.machines, name)
	}
}

// serve answers a request.
func (cloud *fakeCloud) serve(method, target string, body []byte, answer answerFunc) {
	if cloud.down {
		answer(http.StatusServiceUnavailable, unavailable)
		return
	}
	if !cloud.requests.take(cloud.world.now, cloud.world.config.Settings.Cloud.RPS, cloudBurst, 1) {
		answer(http.StatusTooManyRequests, nil)
		return
	}
	parsed, err := url.Parse(target)
	switch {
	case err != nil:
		answer(http.StatusBadRequest, nil)
	case parsed.Path == machineTypesPath:
		answer(http.StatusOK, cloud.offered())
	case parsed.Path == machinesPath && method == "GET":
		answer(http.StatusOK, cloud.list(parsed.Query()))
	case parsed.Path == machinesPath:
		answer(cloud.provision(body))
	case parsed.Path == releasePath:
		answer(cloud.release(body), nil)
	default:
		answer(http.StatusNotFound, nil)
	}
}

// offered lists the machine types.
func (cloud *fakeCloud) offered() offeredTypes {
	list := make([]offeredType, 0, len(cloud.offeredNames))
	for _, name := range cloud.offeredNames {
		kind := machineTypes[name]
		list = append(list, offeredType{Name: name, CPUs: kind.cpus, GPUs: kind.gpus, Memory: kind.memory, LocalGB: 50, FetchRate: 1,
			Price: kind.price, SpotPrice: kind.price / 2, BootTime: kind.boot.Seconds(), Zones: []string{"a", "b"}})
	}
	return offeredTypes{list}
}

// list shows a page of the machines after a name, the youngest not yet.
func (cloud *fakeCloud) list(query url.Values) machinePage {
	list := []listedMachine{}
	after := query.Get("from")
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxListed {
		limit = maxListed
	}
	for _, name := range slices.Sorted(maps.Keys(cloud.machines)) {
		machine := cloud.machines[name]
		if name <= after || cloud.world.now-machine.provisionedAt < seconds(cloud.world.config.Settings.Cloud.ListLagS) {
			continue
		}
		if len(list) == limit {
			return machinePage{Machines: list, HasNext: true}
		}
		list = append(list, listedMachine{Name: name, Addr: machine.addr, MachineType: machine.machineType, Zone: machine.zone, Spot: machine.spot,
			Phase: machine.phase(), Age: (cloud.world.now - machine.provisionedAt).Seconds()})
	}
	return machinePage{Machines: list}
}

// phase is what the cloud says of a machine.
func (machine *provisionedMachine) phase() string {
	switch {
	case machine.worker == nil:
		return "booting"
	case !machine.worker.up:
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

// isValid reports whether the cloud would carry out the request.
func (request provisionRequest) isValid() bool {
	_, known := machineTypes[request.MachineType]
	return known && request.ID != "" && request.Number >= 1 && request.Number <= maxProvisioned
}

// provision lets machines boot, the same ones for the same request.
func (cloud *fakeCloud) provision(body []byte) (int, any) {
	var request provisionRequest
	if json.Unmarshal(body, &request) != nil || !request.isValid() {
		cloud.world.reportLimitViolation("bad request for machines %s", body)
		return http.StatusBadRequest, nil
	}
	if got, ok := cloud.provisionedByRequest[request.ID]; ok {
		return http.StatusOK, machineNames{got}
	}
	count := request.Number
	key := capacityKey(request.MachineType, request.Zone, request.Spot)
	if most, ok := cloud.available[key]; ok {
		count = min(count, most)
		cloud.available[key] -= count
	}
	if count == 0 {
		return http.StatusServiceUnavailable, errorResponse{"no capacity"}
	}
	var got []string
	for range count {
		got = append(got, cloud.addMachine(request.MachineType, request.Zone, request.Spot, machineTypes[request.MachineType].boot))
	}
	cloud.provisionedByRequest[request.ID] = got
	return http.StatusOK, machineNames{got}
}

// release takes machines back and returns the status of the answer.
func (cloud *fakeCloud) release(body []byte) int {
	var names machineNames
	if json.Unmarshal(body, &names) != nil || len(names.Machines) > maxReleased {
		cloud.world.reportLimitViolation("bad request to release machines %s", body)
		return http.StatusBadRequest
	}
	for _, name := range names.Machines {
		if cloud.machines[name] != nil {
			cloud.releasedMachines++
		}
		cloud.terminate(name)
	}
	return http.StatusOK
}
