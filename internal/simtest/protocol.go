package simtest

import "encoding/json"

// The messages of the published protocols that users, workers, the cloud and the
// state service exchange with controllers. Fields are sorted by their JSON names.

// Phases of a job in responses to users.
const (
	jobQueued    = "queued"
	jobRunning   = "running"
	jobDone      = "done"
	jobCancelled = "cancelled"
)

// Phases of a task in heartbeats.
const (
	taskPulling = "pulling" // the image is being fetched
	taskWaiting = "waiting" // the task waits for the rest of its gang
	taskRunning = "running"
	taskSaving  = "saving" // the task stores its last checkpoint
	taskExited  = "exited"
)

// Causes of a task's exit.
const (
	causeDone       = "done"
	causeError      = "error"
	causeStopped    = "halted"
	causePeers      = "peers"      // another task of its gang was lost
	causeIncomplete = "incomplete" // the gang was not complete within gang_wait_s
	causeUnknown    = "unknown"    // the job or the task index is unknown to the worker
	causeFull       = "full"       // the machine has no capacity for the task
)

// Job shapes.
const (
	shapeArray  = "array"
	shapeGang   = "gang"
	shapeDaemon = "daemon"
)

// Request paths.
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

// errorResponse is the body of an error response.
type errorResponse struct {
	Error string `json:"error"`
}

// unavailable is the response body of a service during an outage.
var unavailable = errorResponse{"trouble"}

// submission is a request of a user to run a job.
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

// heartbeat is the periodic request of a worker to a controller.
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

// taskStatus is the status of one task in a heartbeat.
type taskStatus struct {
	Cause            string `json:"cause,omitempty"`
	Phase            string `json:"phase"`
	Task             string `json:"shard"`
	CheckpointStored bool   `json:"stored,omitempty"`
	Attempt          uint64 `json:"try"`
}

// heartbeatResponse is a controller's response to a heartbeat.
type heartbeatResponse struct {
	FencingToken uint64        `json:"fence"`
	Leader       string        `json:"steward"`
	Commands     []taskCommand `json:"orders"`
}

// commandRequest is a direct command of a controller to a worker.
type commandRequest struct {
	FencingToken *uint64       `json:"fence"`
	Incarnation  *uint64       `json:"tenure"`
	Commands     []taskCommand `json:"orders"`
}

// taskCommand tells a worker to start, stop or reap one attempt of a task.
type taskCommand struct {
	Verb        string  `json:"verb"`
	Task        string  `json:"shard"`
	Attempt     uint64  `json:"try"`
	GracePeriod float64 `json:"wind_down_s"`
}

// offeredType is a machine type in the list of the cloud.
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

// offeredTypes is the response with the machine types that the cloud offers.
type offeredTypes struct {
	Types []offeredType `json:"flavors"`
}

// listedMachine is a machine in the cloud's list of machines.
type listedMachine struct {
	Addr        string  `json:"addr"`
	MachineType string  `json:"flavor"`
	Age         float64 `json:"held_s"`
	Spot        bool    `json:"loaners"`
	Name        string  `json:"name_id"`
	Phase       string  `json:"phase"`
	Zone        string  `json:"yard"`
}

// machinePage is one page of the cloud's list of machines.
type machinePage struct {
	HasNext  bool            `json:"has_next"`
	Machines []listedMachine `json:"hosts"`
}

// provisionRequest requests machines from the cloud. The request is idempotent: a request
// that reuses the ID of a successful one gets the same machines.
type provisionRequest struct {
	ID          string `json:"hire"`
	MachineType string `json:"flavor"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	Number      int    `json:"number"`
}

// machineNames lists the machines that were provisioned, or those to release.
type machineNames struct {
	Machines []string `json:"hosts"`
}

// leaseResponse is the state service's response to a request for a lease.
type leaseResponse struct {
	LeaseID uint64 `json:"tether"`
}

// keyEntry is a key of the state service with its value and its mod revision.
type keyEntry struct {
	Data        json.RawMessage `json:"data"`
	Key         string          `json:"key"`
	ModRevision uint64          `json:"stamp"`
}

// keyPage is one page of a list of keys.
type keyPage struct {
	Revision uint64     `json:"epoch"`
	HasNext  bool       `json:"has_next"`
	Items    []keyEntry `json:"items"`
}

// watchResponse lists the changes after a revision.
type watchResponse struct {
	Revision uint64        `json:"epoch"`
	Log      []changeEvent `json:"log"`
}

// committedResponse is the response to a transaction that was committed.
type committedResponse struct {
	Revision uint64 `json:"epoch"`
}

// conflictResponse is the response to a transaction with failed preconditions. It lists
// their keys.
type conflictResponse struct {
	Revision uint64   `json:"epoch"`
	Failed   []string `json:"failed"`
}

// transaction writes and deletes keys if all its preconditions hold.
type transaction struct {
	If   []precondition `json:"if"`
	Then []operation    `json:"then"`
}

// precondition requires that a key has this mod revision. Zero requires that the key does
// not exist.
type precondition struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

// operation writes or deletes a key.
type operation struct {
	Write   string          `json:"write"`
	Drop    string          `json:"drop"`
	Data    json.RawMessage `json:"data"`
	LeaseID uint64          `json:"tether"`
}

// changeEvent is one write or deletion of a key.
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
	runKeyPrefix      = "r/" // run records of a job's tasks
	upstreamKeyPrefix = "u/" // lists of upstream jobs
	terminalKeyPrefix = "f/" // terminal records; the ID of the job follows
)

// leaderRecord is the value of leaderKey: it names the leader.
type leaderRecord struct {
	Label string `json:"l"`
}

// ownerRecord is the field of a job record that names the controller that owns the job.
type ownerRecord struct {
	Owner string `json:"o"`
}

// terminalRecord is the record that remains of a job in a terminal phase.
type terminalRecord struct {
	Phase     string `json:"p"`
	TaskCount int    `json:"n"`
}

// optionalSubmissionFields lists the JSON names of fields that a submission may omit.
var optionalSubmissionFields = []string{"flavors", "yard", "due_s"}
