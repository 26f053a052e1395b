package simtest

import (
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"lugward/internal/jsonwire"
)

// resources are the capacity of a machine or the request of each task of a job. The unit of
// memory is GB.
type resources struct{ cpus, gpus, memory float64 }

// minus returns the difference of each resource.
func (r resources) minus(other resources) resources {
	return resources{r.cpus - other.cpus, r.gpus - other.gpus, r.memory - other.memory}
}

// atMost returns the smaller amount of each resource.
func (r resources) atMost(other resources) resources {
	return resources{min(r.cpus, other.cpus), min(r.gpus, other.gpus), min(r.memory, other.memory)}
}

// covers reports whether each resource is at least the needed amount.
func (r resources) covers(needed resources) bool {
	return r.cpus >= needed.cpus && r.gpus >= needed.gpus && r.memory >= needed.memory
}

// machineType describes a machine type of the cloud.
type machineType struct {
	resources
	price float64
	boot  time.Duration
}

// recordedGPUType is the name of the machine type "gpu" in recordings that were made by older
// versions.
const recordedGPUType = "card"

// offeredTypeNames are the machine types that the cloud offers.
var offeredTypeNames = []string{"small", "big", "gpu"}

// machineTypes holds the machine types of simulated deployments by name, including those that
// occur only in recordings.
var machineTypes = map[string]machineType{
	"small": {resources{4, 0, 16}, 1, 3 * time.Second},
	"big":   {resources{16, 0, 64}, 3, 4 * time.Second},
	"gpu":   {resources{8, 4, 64}, 10, 5 * time.Second},

	recordedGPUType: {resources{8, 4, 64}, 10, 5 * time.Second},
}

// fakeCloud is a fake of the cloud, which rents machines.
type fakeCloud struct {
	world                *World
	offeredNames         []string
	machines             map[string]*provisionedMachine
	provisionedByRequest map[string][]string
	lastMachine          int
	down                 bool
	remainingCapacity    map[string]int // remaining capacity by capacityKey; unlimited if absent
	requests             leakyBucket
	bootFailures         int // number of the next machines that will never boot
	releasedMachines     int
}

// provisionedMachine is a machine that the cloud has provisioned.
type provisionedMachine struct {
	machineIdentity
	provisionedAt time.Duration
	worker        *fakeWorker // nil until the machine has booted
	terminated    bool
}

func newCloud(world *World) *fakeCloud {
	return &fakeCloud{
		world:                world,
		offeredNames:         slices.Clone(offeredTypeNames),
		machines:             map[string]*provisionedMachine{},
		provisionedByRequest: map[string][]string{},
		remainingCapacity:    map[string]int{},
	}
}

// capacityKey returns the key of a capacity pool of the cloud: one per machine type, zone and
// kind (spot or not).
func capacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

// addMachine provisions a machine that boots after the given delay, and returns its name.
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

// terminate ends a machine without notice and removes it.
func (cloud *fakeCloud) terminate(name string) {
	if machine := cloud.machines[name]; machine != nil {
		machine.terminated = true
		if machine.worker != nil {
			machine.worker.crash()
		}
		delete(cloud.machines, name)
	}
}

// serve handles a request.
func (cloud *fakeCloud) serve(method, target string, body []byte, answer answerFunc) {
	if cloud.down {
		answer(http.StatusServiceUnavailable, unavailable)
		return
	}
	if !cloud.requests.acquire(cloud.world.now, cloud.world.config.Settings.Cloud.RPS, cloudBurstSeconds, 1) {
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

// offered returns the machine types on offer.
func (cloud *fakeCloud) offered() offeredTypes {
	list := make([]offeredType, 0, len(cloud.offeredNames))
	for _, name := range cloud.offeredNames {
		kind := machineTypes[name]
		list = append(list, offeredType{Name: name, CPUs: kind.cpus, GPUs: kind.gpus, Memory: kind.memory, LocalGB: 50, FetchRate: 1,
			Price: kind.price, SpotPrice: kind.price / 2, BootTime: kind.boot.Seconds(), Zones: []string{"a", "b"}})
	}
	return offeredTypes{list}
}

// list returns a page of the machines whose names follow the "from" parameter. Machines that
// were provisioned less than list_lag_s ago are not listed yet.
func (cloud *fakeCloud) list(query url.Values) machinePage {
	list := []listedMachine{}
	after := query.Get("from")
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxPageMachines {
		limit = maxPageMachines
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

// phase returns the phase of the machine in the list of the cloud.
func (machine *provisionedMachine) phase() string {
	switch {
	case machine.worker == nil:
		return "booting"
	case !machine.worker.up:
		return "failed"
	}
	return "running"
}

// cloudBurstSeconds is the burst of the request rate limit, in seconds at the full rate.
const cloudBurstSeconds = 2

// Limits of a single request to the cloud.
const (
	maxPageMachines = 500 // machines per page
	maxProvisioned  = 50
	maxReleased     = 100
)

// isValid reports whether the request is valid: it has an ID, a known machine type and an
// allowed number of machines.
func (request provisionRequest) isValid() bool {
	_, known := machineTypes[request.MachineType]
	return known && request.ID != "" && request.Number >= 1 && request.Number <= maxProvisioned
}

// provision provisions machines. It is idempotent: a request that reuses the ID of a
// successful request gets the same machines.
func (cloud *fakeCloud) provision(body []byte) (int, any) {
	var request provisionRequest
	if jsonwire.Unmarshal(body, &request) != nil || !request.isValid() {
		cloud.world.reportLimitViolation("cloud got an invalid provision request %s", body)
		return http.StatusBadRequest, nil
	}
	if got, ok := cloud.provisionedByRequest[request.ID]; ok {
		return http.StatusOK, machineNames{got}
	}
	count := request.Number
	key := capacityKey(request.MachineType, request.Zone, request.Spot)
	if remaining, ok := cloud.remainingCapacity[key]; ok {
		count = min(count, remaining)
		cloud.remainingCapacity[key] -= count
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

// release terminates machines and returns the response status.
func (cloud *fakeCloud) release(body []byte) int {
	var names machineNames
	if jsonwire.Unmarshal(body, &names) != nil || len(names.Machines) > maxReleased {
		cloud.world.reportLimitViolation("cloud got an invalid release request %s", body)
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
