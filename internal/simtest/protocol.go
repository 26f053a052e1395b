package simtest

import "encoding/json"

// The messages of the published protocols, as users, workers, the cloud and the
// state service send them. Fields stand in the order of their names there.

// Phases of a job in answers to users.
const (
	jobQueued    = "queued"
	jobRunning   = "running"
	jobDone      = "done"
	jobCancelled = "cancelled"
)

// Phases of a task in heartbeats.
const (
	taskPulling = "pulling" // its image is fetched
	taskWaiting = "waiting" // for the rest of its gang
	taskRunning = "running"
	taskSaving  = "saving" // its last checkpoint
	taskExited  = "exited"
)

// Causes of a task's exit.
const (
	causeDone       = "done"
	causeError      = "error"
	causeStopped    = "halted"
	causePeers      = "peers"      // another task of its gang was lost
	causeIncomplete = "incomplete" // its gang did not come together in time
	causeUnknown    = "unknown"    // the worker knows no such task
	causeFull       = "full"       // the machine has no capacity for it
)

// Shapes of jobs.
const (
	shapeArray  = "array"
	shapeGang   = "gang"
	shapeDaemon = "daemon"
)

// Paths of requests.
const (
	heartbeatPath     = "/hello"
	directCommandPath = "/do"
	jobsPath          = "/submissions"
	keysPath          = "/keys"
	transactionPath   = "/commit"
	watchPath         = "/follow"
	leasesPath        = "/leases"
	machineTypesPath  = "/machine_types"
	machinesPath      = "/rentals"
	releasePath       = "/rentals/return"
)

// errorResponse is an answer that something went wrong.
type errorResponse struct {
	Error string `json:"error"`
}

// unavailable is the answer of a service during an outage.
var unavailable = errorResponse{"trouble"}

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

// heartbeat is what a worker sends to controllers.
type heartbeat struct {
	Addr         string       `json:"addr"`
	FencingToken uint64       `json:"fence"`
	MachineType  string       `json:"flavor"`
	Machine      string       `json:"host"`
	Spot         bool         `json:"loaners"`
	ReclaimIn    *float64     `json:"recall_s"`
	Tasks        []taskStatus `json:"shards"`
	Incarnation  uint64       `json:"tenure"`
	Sequence     uint64       `json:"tick"`
	Zone         string       `json:"yard"`
}

// taskStatus is a task's part of a heartbeat.
type taskStatus struct {
	Cause            string `json:"cause,omitempty"`
	Phase            string `json:"phase"`
	Task             string `json:"shard"`
	CheckpointStored bool   `json:"stored,omitempty"`
	Attempt          uint64 `json:"try"`
}

// heartbeatResponse is a controller's answer to a heartbeat.
type heartbeatResponse struct {
	FencingToken uint64        `json:"fence"`
	Leader       string        `json:"steward"`
	Commands     []taskCommand `json:"orders"`
}

// commandRequest is what a controller sends to a worker.
type commandRequest struct {
	FencingToken *uint64       `json:"fence"`
	Incarnation  *uint64       `json:"tenure"`
	Commands     []taskCommand `json:"orders"`
}

// taskCommand is what a worker is to do with a task.
type taskCommand struct {
	Verb        string  `json:"verb"`
	Task        string  `json:"shard"`
	Attempt     uint64  `json:"try"`
	GracePeriod float64 `json:"wind_down_s"`
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

// machinePage is a page of the cloud's list of machines.
type machinePage struct {
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

// leaseResponse is the state service's answer to a request for a lease.
type leaseResponse struct {
	LeaseID uint64 `json:"tether"`
}

// keyEntry is a key of the state service with its value and mod revision.
type keyEntry struct {
	Data        json.RawMessage `json:"data"`
	Key         string          `json:"key"`
	ModRevision uint64          `json:"stamp"`
}

// keyPage is a page of keys.
type keyPage struct {
	Revision uint64     `json:"epoch"`
	HasNext  bool       `json:"has_next"`
	Items    []keyEntry `json:"items"`
}

// watchResponse are the changes after a revision.
type watchResponse struct {
	Revision uint64        `json:"epoch"`
	Log      []changeEvent `json:"log"`
}

// committedResponse is the answer to a transaction that was carried out.
type committedResponse struct {
	Revision uint64 `json:"epoch"`
}

// conflictResponse is the answer to a transaction with conditions that do not hold.
type conflictResponse struct {
	Revision uint64   `json:"epoch"`
	Failed   []string `json:"failed"`
}

// transaction is a request to write and drop keys under conditions.
type transaction struct {
	If   []precondition `json:"if"`
	Then []operation    `json:"then"`
}

// precondition requires that a key has a mod revision, 0 for none.
type precondition struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

// operation writes or drops a key.
type operation struct {
	Write   string          `json:"write"`
	Drop    string          `json:"drop"`
	Data    json.RawMessage `json:"data"`
	LeaseID uint64          `json:"tether"`
}

// changeEvent is a change of a key.
type changeEvent struct {
	Write       string          `json:"write,omitempty"`
	Drop        string          `json:"drop,omitempty"`
	Data        json.RawMessage `json:"data,omitempty"`
	ModRevision uint64          `json:"stamp"`
}

// Keys of the state service that controllers write.
const (
	leaderKey         = "t/lead"
	jobKeyPrefix      = "j/"
	runKeyPrefix      = "r/" // runs of a job's tasks
	upstreamKeyPrefix = "u/" // lists of upstream jobs
	terminalKeyPrefix = "f/" // with the ID of a job that is over
)

// leaderRecord is what a leader writes of itself.
type leaderRecord struct {
	Label string `json:"l"`
}

// ownerRecord is the part of a job's record that names the controller that owns it.
type ownerRecord struct {
	Owner string `json:"o"`
}

// terminalRecord is what is kept of a job that is over.
type terminalRecord struct {
	Phase     string `json:"p"`
	TaskCount int    `json:"n"`
}

// optionalSubmissionFields may be absent from a submission.
var optionalSubmissionFields = []string{"flavors", "yard", "due_s"}
