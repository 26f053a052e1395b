package autoscaler

import (
	"encoding/json"
	"errors"
	"fmt"

	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// Paths of the cloud's API.
const (
	machineTypesPath = "/machine_types"
	machinesPath     = "/rentals"        // GET lists machines, POST provisions them
	releasePath      = "/rentals/return" // POST
)

// machineListPath is the path of a page of the machine list: the machines behind the
// given one, or the first page.
func machineListPath(after string) string {
	path := fmt.Sprintf("%s?limit=%d", machinesPath, listPageSize)
	if after != "" {
		path += "&from=" + after
	}
	return path
}

// machinePhase is the state of a machine by the cloud's list.
type machinePhase string

const (
	phaseBooting machinePhase = "booting"
	phaseRunning machinePhase = "running"
	phaseFailed  machinePhase = "failed"
)

// insufficientCapacity is the cloud's error for a pool that has no machine left.
const insufficientCapacity = "no capacity"

// wireMachineType is a machine type in the cloud's protocol, and as it is stored.
type wireMachineType struct {
	Name            string   `json:"name"`
	CPUs            float64  `json:"cores"`
	GPUs            float64  `json:"cards"`
	MemoryGB        float64  `json:"ram_gb"`
	FetchGBPerSec   float64  `json:"fetch_gb_per_s"`
	Price           float64  `json:"price"`     // per hour
	SpotPrice       float64  `json:"low_price"` // per hour
	BootTimeSeconds float64  `json:"ready_s"`
	Zones           []string `json:"yards"`
}

// wireMachineTypes is the cloud's list of machine types, and as it is stored.
type wireMachineTypes struct {
	MachineTypes []wireMachineType `json:"flavors"`
}

// wireMachine is a machine of the cloud's list.
type wireMachine struct {
	Name       string       `json:"name_id"`
	Addr       string       `json:"addr"`
	Type       string       `json:"flavor"`
	Zone       string       `json:"yard"`
	Spot       bool         `json:"loaners"`
	Phase      machinePhase `json:"phase"`
	AgeSeconds float64      `json:"held_s"` // since it was provisioned
}

// wireMachineList is a page of the cloud's machine list.
type wireMachineList struct {
	Machines []wireMachine `json:"hosts"`
	HasMore  bool          `json:"has_next"`
}

// wireProvisionRequest asks the cloud for machines.
type wireProvisionRequest struct {
	MachineType string `json:"flavor"`
	Name        string `json:"hire"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"number"`
	Zone        string `json:"yard"`
}

// wireProvisionResponse is the response to a wireProvisionRequest.
type wireProvisionResponse struct {
	Machines []string `json:"hosts"`
	Error    string   `json:"error"`
}

// wireReleaseRequest asks the cloud to take machines back.
type wireReleaseRequest struct {
	Machines []string `json:"hosts"`
}

// errNoMachineTypes means that a list of machine types is empty.
var errNoMachineTypes = errors.New("the list of machine types is empty")

// invalidMachineTypeError means that a machine type cannot be used.
type invalidMachineTypeError struct {
	machineType string // its name
	field       string // the JSON name of the first invalid field
}

// Error tells which field of which type is invalid.
func (e *invalidMachineTypeError) Error() string {
	return fmt.Sprintf("machine type %q: invalid field %q", e.machineType, e.field)
}

// validate returns an *invalidMachineTypeError if the type cannot be used. Numbers
// that come from JSON are never NaN.
func (t *wireMachineType) validate() error {
	switch {
	case t.Name == "":
		return &invalidMachineTypeError{t.Name, "name"}
	case t.CPUs < 0:
		return &invalidMachineTypeError{t.Name, "cores"}
	case t.Price < 0:
		return &invalidMachineTypeError{t.Name, "price"}
	default:
		return nil
	}
}

// decodeMachineTypes decodes a list of machine types. It fails if the list is
// malformed or empty or if one of the types is invalid.
func decodeMachineTypes(data []byte) (wireMachineTypes, error) {
	var list wireMachineTypes
	if err := json.Unmarshal(data, &list); err != nil {
		return wireMachineTypes{}, fmt.Errorf("decode machine types: %w", err)
	}
	if len(list.MachineTypes) == 0 {
		return wireMachineTypes{}, errNoMachineTypes
	}
	for i := range list.MachineTypes {
		if err := list.MachineTypes[i].validate(); err != nil {
			return wireMachineTypes{}, err
		}
	}
	return list, nil
}

// decodeMachineList decodes a page of the machine list.
func decodeMachineList(data []byte) (wireMachineList, error) {
	var page wireMachineList
	if err := json.Unmarshal(data, &page); err != nil {
		return wireMachineList{}, fmt.Errorf("decode machine list: %w", err)
	}
	return page, nil
}

// decodeProvisionResponse decodes the response to a request for machines. What could be
// decoded is returned with an error as well: the cloud's error may still be told from
// others.
func decodeProvisionResponse(data []byte) (wireProvisionResponse, error) {
	var result wireProvisionResponse
	if err := json.Unmarshal(data, &result); err != nil {
		return result, fmt.Errorf("decode response to a request for machines: %w", err)
	}
	return result, nil
}

// machineType converts a machine type, adding the names of the type and of its zones.
func (t *wireMachineType) machineType(names *pipeline.Names) *scheduler.MachineType {
	machineType := &scheduler.MachineType{
		Index:     names.MachineTypes.Index(t.Name),
		CPUs:      t.CPUs,
		GPUs:      t.GPUs,
		Memory:    t.MemoryGB,
		Price:     t.Price,
		SpotPrice: t.SpotPrice,
		BootTime:  t.BootTimeSeconds,
		FetchRate: t.FetchGBPerSec,
	}
	for _, zone := range t.Zones {
		machineType.Zones = append(machineType.Zones, names.Zones.Index(zone))
	}
	return machineType
}

// pool is the pool that a listed machine comes from. It adds the names of the
// machine's type and zone.
func (m *wireMachine) pool(names *pipeline.Names) machinePool {
	return machinePool{
		machineType: names.MachineTypes.Index(m.Type),
		zone:        names.Zones.Index(m.Zone),
		spot:        m.Spot,
	}
}

// provisionMessage is the body of a request for machines.
func provisionMessage(request provisionRequest, names *pipeline.Names) wireProvisionRequest {
	return wireProvisionRequest{
		MachineType: names.MachineTypes.Name(request.pool.machineType),
		Name:        request.name,
		Spot:        request.pool.spot,
		Count:       request.count,
		Zone:        names.Zones.Name(request.pool.zone),
	}
}

// encode encodes a message of this file. The messages consist of strings, finite
// numbers, booleans and lists, so that encoding cannot fail: an error is a fault of
// the program.
func encode(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("autoscaler: encode %T: %v", message, err))
	}
	return body
}
