package autoscaler

import (
	"encoding/json"
	"errors"
	"fmt"

	"lugward/internal/jsonwire"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// Paths of the cloud's API.
const (
	machineTypesPath = "/machine_types"
	machinesPath     = "/rentals"        // GET lists machines, POST provisions them
	releasePath      = "/rentals/return" // POST
)

// machineListPath returns the path of a page of the machine list. The page begins after
// the given machine, or is the first page if after is empty.
func machineListPath(after string) string {
	path := fmt.Sprintf("%s?limit=%d", machinesPath, listPageSize)
	if after != "" {
		path += "&from=" + after
	}
	return path
}

// machinePhase is the phase of a machine in the cloud's machine list.
type machinePhase string

const (
	phaseBooting machinePhase = "booting"
	phaseRunning machinePhase = "running"
	phaseFailed  machinePhase = "failed"
)

// insufficientCapacity is the error that the cloud returns if a pool has no machines left.
const insufficientCapacity = "no capacity"

// wireMachineType is a machine type as encoded in the cloud's API and in the state
// service.
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

// wireMachineTypes is the list of machine types as encoded in the cloud's API and in
// the state service.
type wireMachineTypes struct {
	MachineTypes []wireMachineType `json:"flavors"`
}

// wireMachine is an entry of the cloud's machine list.
type wireMachine struct {
	Name       string       `json:"name_id"`
	Addr       string       `json:"addr"`
	Type       string       `json:"flavor"`
	Zone       string       `json:"yard"`
	Spot       bool         `json:"loaners"`
	Phase      machinePhase `json:"phase"`
	AgeSeconds float64      `json:"held_s"` // time since the machine was provisioned
}

// wireMachineList is a page of the cloud's machine list.
type wireMachineList struct {
	Machines []wireMachine `json:"hosts"`
	HasMore  bool          `json:"has_next"`
}

// wireProvisionRequest is the body of a request to provision machines.
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

// wireReleaseRequest is the body of a request to release machines.
type wireReleaseRequest struct {
	Machines []string `json:"hosts"`
}

// errNoMachineTypes is returned for an empty list of machine types.
var errNoMachineTypes = errors.New("the list of machine types is empty")

// invalidMachineTypeError is returned for a machine type with an invalid field.
type invalidMachineTypeError struct {
	machineType string // name of the machine type
	field       string // the JSON name of the first invalid field
}

// Error names the machine type and its first invalid field.
func (e *invalidMachineTypeError) Error() string {
	return fmt.Sprintf("machine type %q: invalid field %q", e.machineType, e.field)
}

// validate returns an *invalidMachineTypeError if a field has an invalid value. It does
// not check for NaN, which JSON cannot encode.
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

// decodeMachineTypes decodes a list of machine types. It returns an error if the list
// is malformed or empty, or if any of the machine types is invalid.
func decodeMachineTypes(data []byte) (wireMachineTypes, error) {
	var list wireMachineTypes
	if err := jsonwire.Unmarshal(data, &list); err != nil {
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
	if err := jsonwire.Unmarshal(data, &page); err != nil {
		return wireMachineList{}, fmt.Errorf("decode machine list: %w", err)
	}
	return page, nil
}

// decodeProvisionResponse decodes the response to a provision request. If it returns an
// error it also returns the fields that could be decoded, so that the caller can still
// recognize insufficientCapacity.
func decodeProvisionResponse(data []byte) (wireProvisionResponse, error) {
	var result wireProvisionResponse
	if err := jsonwire.Unmarshal(data, &result); err != nil {
		return result, fmt.Errorf("decode provision response: %w", err)
	}
	return result, nil
}

// machineType converts the machine type to the scheduler's representation. It adds the
// names of the machine type and its zones to names.
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

// pool returns the pool that a listed machine was provisioned from. It adds the names
// of the machine's type and zone to names.
func (m *wireMachine) pool(names *pipeline.Names) machinePool {
	return machinePool{
		machineType: names.MachineTypes.Index(m.Type),
		zone:        names.Zones.Index(m.Zone),
		spot:        m.Spot,
	}
}

// newWireProvisionRequest returns the body of a provision request.
func newWireProvisionRequest(request provisionRequest, names *pipeline.Names) wireProvisionRequest {
	return wireProvisionRequest{
		MachineType: names.MachineTypes.Name(request.pool.machineType),
		Name:        request.name,
		Spot:        request.pool.spot,
		Count:       request.count,
		Zone:        names.Zones.Name(request.pool.zone),
	}
}

// encode encodes a message of this file as JSON. The messages contain only strings,
// finite numbers, booleans and lists, so encoding cannot fail. encode panics on an
// error, which would be a programming error.
func encode(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("autoscaler: encode %T: %v", message, err))
	}
	return body
}
