package autoscaler

import (
	"encoding/json"
	"net/http"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/scheduler"
)

const (
	typesInterval = 60 * time.Second // between two requests for the machine types
	writeTimeout  = time.Minute      // of a write that is repeated if it is still needed
)

// typeRefresh is the state of asking the cloud for its machine types.
type typeRefresh struct {
	requestedAt event.Time
	stored      bool // the state service has them, or refuses them for good
}

// wireType is a machine type in the cloud's protocol.
type wireType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cores"`
	GPUs      float64  `json:"cards"`
	Memory    float64  `json:"ram_gb"`
	Fetch     float64  `json:"fetch_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"low_price"`
	Ready     float64  `json:"ready_s"`
	Zones     []string `json:"yards"`
}

// valid tells whether the type can be used. The comparisons also refuse NaN.
func (t *wireType) valid() bool {
	return t.Name != "" && t.CPUs >= 0 && t.Price >= 0
}

// wireTypes is the cloud's list of machine types, also as it is stored.
type wireTypes struct {
	MachineTypes []wireType `json:"flavors"`
}

// takeTypes takes a list of machine types in, all of it or, where it is malformed,
// nothing.
func (a *Autoscaler) takeTypes(data []byte) bool {
	var list wireTypes
	if json.Unmarshal(data, &list) != nil || len(list.MachineTypes) == 0 {
		return false
	}
	for i := range list.MachineTypes {
		if !list.MachineTypes[i].valid() {
			return false
		}
	}
	for i := range list.MachineTypes {
		a.addType(&list.MachineTypes[i])
	}
	a.jobs.RequestRound()
	return true
}

// addType adds a machine type or replaces what was known of it.
func (a *Autoscaler) addType(wire *wireType) {
	machineType := &scheduler.MachineType{
		Index:     a.names.MachineTypes.Index(wire.Name),
		CPUs:      wire.CPUs,
		GPUs:      wire.GPUs,
		Memory:    wire.Memory,
		Price:     wire.Price,
		SpotPrice: wire.SpotPrice,
		BootTime:  wire.Ready,
		FetchRate: wire.Fetch,
	}
	for _, zone := range wire.Zones {
		machineType.Zones = append(machineType.Zones, a.names.Zones.Index(zone))
	}
	for len(a.machineTypes) <= machineType.Index {
		a.machineTypes = append(a.machineTypes, nil)
	}
	a.machineTypes[machineType.Index] = machineType
}

// RefreshMachineTypes asks the cloud for its machine types if that is due. Any
// controller may do so, until they are known.
func (a *Autoscaler) RefreshMachineTypes(now event.Time, out *event.Effects) {
	a.refreshMachineTypes(now, nil, out)
}

// refreshMachineTypes asks the cloud for its machine types if that is due. A leader
// gives the condition on its term, under which they are stored.
func (a *Autoscaler) refreshMachineTypes(now event.Time, term *kv.Compare, out *event.Effects) {
	interval := typesInterval
	if len(a.machineTypes) == 0 {
		interval = errorPause
	}
	if now-a.types.requestedAt < interval || !a.allowed(now) {
		return
	}
	a.types.requestedAt = now
	a.call(http.MethodGet, "/machine_types", nil, typesRequest{term}, out)
}

// typesRequest asks for the machine types.
type typesRequest struct {
	term *kv.Compare // nil: not a leader's
}

func (r typesRequest) finish(a *Autoscaler, now event.Time, response response, _ *event.Effects) {
	if response.status != http.StatusOK || !a.takeTypes(response.body) {
		a.types.requestedAt = now - typesInterval + errorPause
		return
	}
	if r.term != nil && !a.types.stored {
		a.storeTypes(response.body, *r.term, now)
	}
}

// storeTypes stores the machine types for the other controllers.
func (a *Autoscaler) storeTypes(body []byte, term kv.Compare, now event.Time) {
	var list wireTypes
	_ = json.Unmarshal(body, &list) // takeTypes has decoded it before
	data, err := json.Marshal(list)
	if err != nil || len(data) > a.cfg.MaxValueBytes {
		return // each controller still learns them from the cloud
	}
	a.store.Submit(&kv.Txn{
		Priority: kv.PrioritySubmission,
		Compares: []kv.Compare{term},
		Writes:   []kv.Write{{Key: TypesKey, Data: data}},
		Done: func(result kv.Result) {
			// What is refused as malformed would be refused again.
			if result.Outcome == kv.Committed || result.Outcome == kv.Rejected {
				a.types.stored = true
			}
		},
	}, now+writeTimeout)
}
