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
	machineTypesRefreshInterval = 60 * time.Second // between requests once the machine types are known
	writeTimeout                = time.Minute      // for writes that are submitted again if still needed
)

// machineTypeCatalog holds the cloud's machine types as last received and refreshes
// them periodically.
type machineTypeCatalog struct {
	names         *pipeline.Names
	jobs          *pipeline.Table
	store         *kv.Client
	cloud         *cloudClient
	log           *slog.Logger
	maxValueBytes int // size limit of a value in the state service

	types         scheduler.MachineTypes
	requestedAt   event.Time
	writeFinished bool // the state service has committed the machine types or rejected them as malformed
}

// reset makes the next refresh due immediately.
func (c *machineTypeCatalog) reset() {
	c.requestedAt = -machineTypesRefreshInterval
}

// get returns a machine type, or nil if it is unknown.
func (c *machineTypeCatalog) get(index pipeline.MachineTypeIndex) *scheduler.MachineType {
	return c.types.Get(index)
}

// capacity returns the capacity of an empty machine of a pool, or nil if its machine
// type is unknown.
func (c *machineTypeCatalog) capacity(pool machinePool) *scheduler.Capacity {
	machineType := c.get(pool.machineType)
	if machineType == nil {
		return nil
	}
	capacity := scheduler.NewCapacity(machineType)
	capacity.Zone = pool.zone
	capacity.Spot = pool.spot
	return &capacity
}

// price returns the hourly price of a machine of a pool. The machine type must be
// known.
func (c *machineTypeCatalog) price(pool machinePool) float64 {
	machineType := c.get(pool.machineType)
	if pool.spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

// handleChange applies the machine types that a leader has persisted. data is nil if
// the key was deleted. If the key was deleted or its value is invalid, the machine
// types that are already known stay in use.
func (c *machineTypeCatalog) handleChange(data []byte) {
	if data == nil {
		return
	}
	list, err := decodeMachineTypes(data)
	if err != nil {
		c.log.Warn("ignoring invalid machine types from the state service", "error", err)
		return
	}
	c.apply(list)
}

// apply adds the machine types of a list, replacing those that are already known.
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

// refreshIfDue requests the machine types from the cloud if a refresh is due. The leader
// passes the condition on its term, under which the machine types are persisted; other
// controllers pass nil.
func (c *machineTypeCatalog) refreshIfDue(now event.Time, term *kv.Compare, out *event.Effects) {
	interval := machineTypesRefreshInterval
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

// handleResponse handles the response to a request for the machine types. If the
// request failed or the list is invalid, it is requested again after errorPause.
func (c *machineTypeCatalog) handleResponse(now event.Time, response response, term *kv.Compare) {
	if response.status != http.StatusOK {
		c.retryRefresh(now)
		return
	}
	list, err := decodeMachineTypes(response.body)
	if err != nil {
		c.log.Warn("ignoring invalid machine types from the cloud", "error", err)
		c.retryRefresh(now)
		return
	}
	c.apply(list)
	if term != nil && !c.writeFinished {
		c.persistTypes(list, *term, now)
	}
}

// retryRefresh makes the next refresh due after errorPause.
func (c *machineTypeCatalog) retryRefresh(now event.Time) {
	c.requestedAt = now - machineTypesRefreshInterval + errorPause
}

// persistTypes persists the machine types for the other controllers. A list that exceeds
// the size limit of a value is not persisted: each controller still gets the machine
// types from the cloud.
func (c *machineTypeCatalog) persistTypes(list wireMachineTypes, term kv.Compare, now event.Time) {
	data := encode(list)
	if len(data) > c.maxValueBytes {
		return
	}
	c.store.Submit(&kv.Txn{
		Priority: kv.PrioritySubmission,
		Compares: []kv.Compare{term},
		Writes:   []kv.Write{{Key: machineTypesKey, Data: data}},
		Done: func(result kv.Result) {
			// A write that was rejected as malformed would be rejected again.
			if result.Outcome == kv.Committed || result.Outcome == kv.Rejected {
				c.writeFinished = true
			}
		},
	}, now+writeTimeout)
}
