package autoscaler

import (
	"log/slog"
	"net/http"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

const (
	machineTypesInterval = 60 * time.Second // between two requests for the machine types
	writeTimeout         = time.Minute      // of a write that is repeated if it is still needed
)

// machineTypeCatalog holds the machine types of the cloud as last seen and keeps them
// up to date.
type machineTypeCatalog struct {
	names         *pipeline.Names
	jobs          *pipeline.Table
	store         *kv.Client
	cloud         *cloudClient
	log           *slog.Logger
	maxValueBytes int // of a stored value

	types       scheduler.MachineTypes
	requestedAt event.Time
	stored      bool // the state service has them, or rejects them for good
}

// reset lets the next refresh begin at once.
func (c *machineTypeCatalog) reset() {
	c.requestedAt = -machineTypesInterval
}

// get returns a machine type, or nil where it is not known.
func (c *machineTypeCatalog) get(index pipeline.MachineTypeIndex) *scheduler.MachineType {
	return c.types.Get(index)
}

// capacity is that of an empty machine of a pool, nil where its type is not known.
func (c *machineTypeCatalog) capacity(pool machinePool) *scheduler.Capacity {
	machineType := c.get(pool.machineType)
	if machineType == nil {
		return nil
	}
	return &scheduler.Capacity{
		MachineType: machineType,
		Zone:        pool.zone,
		Spot:        pool.spot,
		FreeCPUs:    machineType.CPUs,
		FreeGPUs:    machineType.GPUs,
		FreeMemory:  machineType.Memory,
	}
}

// price is what a machine of a pool costs per hour. The type is known.
func (c *machineTypeCatalog) price(pool machinePool) float64 {
	machineType := c.get(pool.machineType)
	if pool.spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

// handleChange takes the machine types that a leader has stored; data is nil if they
// were deleted. Then, and if they are malformed, those that are known stay in use.
func (c *machineTypeCatalog) handleChange(data []byte) {
	if data == nil {
		return
	}
	list, err := decodeMachineTypes(data)
	if err != nil {
		c.log.Warn("stored machine types ignored", "error", err)
		return
	}
	c.apply(list)
}

// apply adds the machine types of a list or replaces what was known of them.
func (c *machineTypeCatalog) apply(list wireMachineTypes) {
	for i := range list.MachineTypes {
		machineType := list.MachineTypes[i].machineType(c.names)
		for pipeline.MachineTypeIndex(len(c.types)) <= machineType.Index {
			c.types = append(c.types, nil)
		}
		c.types[machineType.Index] = machineType
	}
	c.jobs.RequestRound()
}

// refresh asks the cloud for the machine types if that is due. A leader gives the
// condition on its term, under which they are stored; other controllers give nil.
func (c *machineTypeCatalog) refresh(now event.Time, term *kv.Compare, out *event.Effects) {
	interval := machineTypesInterval
	if len(c.types) == 0 {
		interval = errorPause
	}
	if now-c.requestedAt < interval || !c.cloud.ready(now) {
		return
	}
	c.requestedAt = now
	c.cloud.get(machineTypesPath, func(now event.Time, response response) {
		c.handleResponse(now, response, term)
	}, out)
}

// handleResponse takes the cloud's machine types. It asks again soon if they did not
// come.
func (c *machineTypeCatalog) handleResponse(now event.Time, response response, term *kv.Compare) {
	if response.status != http.StatusOK {
		c.retryRefresh(now)
		return
	}
	list, err := decodeMachineTypes(response.body)
	if err != nil {
		c.log.Warn("machine types of the cloud ignored", "error", err)
		c.retryRefresh(now)
		return
	}
	c.apply(list)
	if term != nil && !c.stored {
		c.storeTypes(list, *term, now)
	}
}

// retryRefresh lets the next refresh begin after a pause.
func (c *machineTypeCatalog) retryRefresh(now event.Time) {
	c.requestedAt = now - machineTypesInterval + errorPause
}

// storeTypes stores the machine types for the other controllers. Where they are too
// large each controller still learns them from the cloud.
func (c *machineTypeCatalog) storeTypes(list wireMachineTypes, term kv.Compare, now event.Time) {
	data := encode(list)
	if len(data) > c.maxValueBytes {
		return
	}
	c.store.Submit(&kv.Txn{
		Priority: kv.PrioritySubmission,
		Compares: []kv.Compare{term},
		Writes:   []kv.Write{{Key: machineTypesKey, Data: data}},
		Done: func(result kv.Result) {
			// What is rejected as malformed would be rejected again.
			if result.Outcome == kv.Committed || result.Outcome == kv.Rejected {
				c.stored = true
			}
		},
	}, now+writeTimeout)
}
