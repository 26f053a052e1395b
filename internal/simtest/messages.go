package simtest

import "encoding/json"

// The messages of the published protocols, as users, workers, the cloud and the
// state service send them. Fields stand in the order of their names there.

// failure is an answer that something went wrong.
type failure struct {
	Error string `json:"error"`
}

// unavailable is the answer of a service during an outage.
var unavailable = failure{"trouble"}

// submission is a job as its user submits it.
type submission struct {
	Upstream           []string `json:"awaits,omitempty"`
	Image              string   `json:"bundle"`
	GPUs               float64  `json:"cards"`
	CPUs               float64  `json:"cores"`
	Deadline           *float64 `json:"due_s"`
	EstimatedRuntime   float64  `json:"expect_s"`
	MachineTypes       []string `json:"flavors"`
	ImageGB            float64  `json:"image_gb"`
	Class              string   `json:"jobclass"`
	AllowSpot          bool     `json:"loaners"`
	ID                 string   `json:"name_id"`
	Team               string   `json:"owner"`
	Memory             float64  `json:"ram_gb"`
	Priority           string   `json:"rank"`
	SameZone           bool     `json:"same_place"`
	Scatter            bool     `json:"scatter"`
	Shape              string   `json:"shape"`
	TaskCount          int      `json:"shards"`
	CheckpointInterval float64  `json:"snapshot_every_s"`
	CheckpointDuration float64  `json:"snapshot_s"`
	Zone               *string  `json:"yard"`
}

// report is what a worker sends to controllers.
type report struct {
	Addr        string       `json:"addr"`
	Token       uint64       `json:"fence"`
	MachineType string       `json:"flavor"`
	Machine     string       `json:"host"`
	Spot        bool         `json:"loaners"`
	ReclaimIn   *float64     `json:"recall_s"`
	Tasks       []taskReport `json:"shards"`
	Session     uint64       `json:"tenure"`
	Sequence    uint64       `json:"tick"`
	Zone        string       `json:"yard"`
}

// taskReport is a task's part of a report.
type taskReport struct {
	Cause   string `json:"cause,omitempty"`
	Phase   string `json:"phase"`
	Task    string `json:"shard"`
	Stored  bool   `json:"stored,omitempty"`
	Attempt uint64 `json:"try"`
}

// heartbeatResponse is a controller's answer to a report.
type reportAnswer struct {
	FencingToken uint64  `json:"fence"`
	Leader       string  `json:"steward"`
	Orders       []order `json:"orders"`
}

// directCommand is what a controller sends to a worker.
type directCommand struct {
	FencingToken *uint64 `json:"fence"`
	Session      *uint64 `json:"tenure"`
	Orders       []order `json:"orders"`
}

// order is what a worker is to do with a task.
type order struct {
	Verb    string  `json:"verb"`
	Task    string  `json:"shard"`
	Attempt uint64  `json:"try"`
	Wind    float64 `json:"wind_down_s"`
}

// offeredType is a machine type that the cloud offers.
type offeredType struct {
	GPUs      float64  `json:"cards"`
	CPUs      float64  `json:"cores"`
	FetchRate float64  `json:"fetch_gb_per_s"`
	LocalGB   float64  `json:"local_gb"`
	SpotPrice float64  `json:"low_price"`
	Name      string   `json:"name"`
	Price     float64  `json:"price"`
	Memory    float64  `json:"ram_gb"`
	BootTime  float64  `json:"ready_s"`
	Zones     []string `json:"yards"`
}

// offeredTypes lists the machine types of the cloud.
type offeredTypes struct {
	Types []offeredType `json:"flavors"`
}

// listedMachine is a machine in the cloud's list.
type listedMachine struct {
	Addr        string  `json:"addr"`
	MachineType string  `json:"flavor"`
	Age         float64 `json:"held_s"`
	Spot        bool    `json:"loaners"`
	Name        string  `json:"name_id"`
	Phase       string  `json:"phase"`
	Zone        string  `json:"yard"`
}

// machineList is a page of the cloud's list of machines.
type machineList struct {
	HasNext  bool            `json:"has_next"`
	Machines []listedMachine `json:"hosts"`
}

// provisionRequest asks the cloud for machines; the cloud answers a repeat with
// the same ID as it answered the first.
type provisionRequest struct {
	ID          string `json:"hire"`
	MachineType string `json:"flavor"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	Number      int    `json:"number"`
}

// machineNames names machines that the cloud provisioned or is to take back.
type machineNames struct {
	Machines []string `json:"hosts"`
}

// leaseGranted is the state service's answer to a request for a lease.
type leaseGranted struct {
	LeaseID uint64 `json:"tether"`
}

// storedItem is a key of the state service with its value and version.
type storedItem struct {
	Data    json.RawMessage `json:"data"`
	Key     string          `json:"key"`
	Version uint64          `json:"stamp"`
}

// storedItems is a page of keys.
type storedItems struct {
	Revision uint64       `json:"epoch"`
	HasNext  bool         `json:"has_next"`
	Items    []storedItem `json:"items"`
}

// storedChanges are the changes after a revision.
type storedChanges struct {
	Revision uint64        `json:"epoch"`
	Log      []stateChange `json:"log"`
}

// committed is the answer to a transaction that was carried out.
type committed struct {
	Revision uint64 `json:"epoch"`
}

// conflict is the answer to a transaction with conditions that do not hold.
type conflict struct {
	Revision uint64   `json:"epoch"`
	Failed   []string `json:"failed"`
}

// transaction is a request to write and drop keys under conditions.
type transaction struct {
	If   []condition `json:"if"`
	Then []operation `json:"then"`
}

// condition requires that a key has a version, 0 for none.
type condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"stamp"`
}

// operation writes or drops a key.
type operation struct {
	Write   string          `json:"write"`
	Drop    string          `json:"drop"`
	Data    json.RawMessage `json:"data"`
	LeaseID uint64          `json:"tether"`
}
