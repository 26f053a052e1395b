package simtest

import (
	"errors"
	"strconv"
	"time"
)

var (
	onlyNode      = []argument{need(controllers("which controllers"))}
	onlyShare     = []argument{number("share", "of all, 0 ends it")}
	machineChoice = []argument{text("machine", "name of a machine"), text("zone", "all machines of a zone"), text("task", "the machine that this task is on")}
)

// controllerCommands bring faults to controllers.
var controllerCommands = map[string]command{
	"kill":  {"ends controllers", onlyNode, onNodes((*node).kill)},
	"boot":  {"starts controllers that are down", onlyNode, onNodes((*node).bootIfDown)},
	"deny":  {"lets the state service refuse controllers", onlyNode, onNodes(func(n *node) { n.denied = true })},
	"allow": {"ends deny", onlyNode, onNodes(func(n *node) { n.denied = false })},
	"block_watch": {"leaves controllers' requests for changes unanswered, their other requests are answered", onlyNode,
		onNodes(func(n *node) { n.watchBlocked = true })},
	"unblock_watch": {"ends block_watch", onlyNode, onNodes(func(n *node) { n.watchBlocked = false })},
	"isolate": {"cuts controllers off from the state service and each other, not from workers", onlyNode,
		onNodes(func(n *node) { n.w.isolate(n, true) })},
	"join": {"ends isolate", onlyNode, onNodes(func(n *node) { n.w.isolate(n, false) })},
	"pause": {"pauses controllers while their clocks run on", withArguments(onlyNode, duration("for", "2s if absent"),
		boolean("mid_step", "from when the next decision is made and not carried out")), act(pauseControllers)},
	"churn": {"changes the leader repeatedly", []argument{number("times", "10 if absent"), duration("over", "in that time, 120s if absent"),
		oneOf("how", "drawn each time if absent", "kill", "deny", "isolate", "pause")},
		act(func(w *World, a Args) { w.churn(int(a.num("times", "10")), a.dur("over", "120s"), a["how"]) })},
}

// machineCommands bring faults to machines.
var machineCommands = map[string]command{
	"die":       {"ends machines without notice", machineChoice, onMachines(func(k *worker, _ Args) { k.die() })},
	"hang":      {"lets machines hang", withArguments(machineChoice, duration("for", "5s if absent")), onMachines(func(k *worker, a Args) { k.hang(a.dur("for", "5s")) })},
	"slow":      {"multiplies the run times of tasks that start on machines", withArguments(machineChoice, number("times", "4 if absent")), onMachines(func(k *worker, a Args) { k.slow = a.num("times", "4") })},
	"terminate": {"lets the cloud take machines without notice", machineChoice, onMachines(func(k *worker, _ Args) { k.w.cloud.remove(k.name) })},
	"reclaim":   {"lets the cloud take machines after a reclaim notice", withArguments(machineChoice, duration("in", "8s if absent")), onMachines(reclaimMachine)},
	"faulty": {`lets every task that starts on machines exit with cause "error" soon after it began to run; in a gang that task exits with "error",` +
		` the others with "peers"; tasks that run already go on`, machineChoice, onMachines(func(k *worker, _ Args) { k.faulty = true })},
	"repair":           {"ends faulty", machineChoice, onMachines(func(k *worker, _ Args) { k.faulty = false })},
	"block_inbound_of": {"lets nothing reach the machine of a task", []argument{need(text("task", "task")), duration("for", "for good if absent")}, onMachines(blockInboundOf)},
	"block_inbound":    {"lets nothing reach machines", []argument{text("zone", "all zones if absent"), duration("for", "5s if absent")}, act(blockInbound)},
	"block_reports":    {"lets machines reach no controller, direct commands reach them", []argument{text("zone", "all zones if absent"), duration("for", "5s if absent")}, act(blockReports)},
	"unreachable_next": {"lets nothing reach the machines that come up next", []argument{number("count", "1 if absent")},
		act(func(w *World, a Args) { w.unreachableNext += int(a.num("count", "1")) })},
}

// networkCommands bring faults to the network.
var networkCommands = map[string]command{
	"cut": {"stops packets between controllers and another party", withArguments(onlyNode, need(text("from", "workers, state, cloud, user or a controller")), text("zone", "only the workers of a zone"),
		number("refused", "share of requests to controllers over cut links that fail at once, 0 if absent: the others hang")), act(func(w *World, a Args) { cutLinks(w, a, true) })},
	"heal":     {"ends cut", withArguments(onlyNode, need(text("from", "workers, state, cloud, user or a controller")), text("zone", "only the workers of a zone")), act(func(w *World, a Args) { cutLinks(w, a, false) })},
	"cut_zone": {"cuts a zone's workers and a controller off from everything else", withArguments(onlyNode, need(text("zone", "zone")), duration("for", "20s if absent")), cutOffZone},
	"network":  {"lets links lose packets and repeat requests late", []argument{number("loss", "share of packets that are lost"), number("late", "share of requests that are carried out once more, late")}, act(func(w *World, a Args) { w.loss, w.late = a.num("loss", "0"), a.num("late", "0") })},
	"worker_sockets": {"limits the workers that a controller has sockets for", []argument{need(number("count", "workers, 0 for no limit"))},
		act(func(w *World, a Args) { w.workerSockets = int(a.num("count", "0")) })},
	"copies":         {"lets copies of reports arrive late, at any controller", withArguments(onlyShare, duration("within", "30s if absent")), act(func(w *World, a Args) { w.copies, w.copyLate = a.num("share", "0"), a.dur("within", "30s") })},
	"delay_reports":  {"lets reports arrive seconds late, maybe elsewhere", onlyShare, act(func(w *World, a Args) { w.delayedReports = a.num("share", "0") })},
	"delay_commands": {"lets direct commands or their answers arrive seconds late", onlyShare, act(func(w *World, a Args) { w.delayedCommands = a.num("share", "0") })},
}

// raceCommands let requests of users meet other events.
var raceCommands = map[string]command{
	"cancel_at_end": {"cancels jobs at the moment when they end", onlyShare, act(func(w *World, a Args) { w.cancelEnds = a.num("share", "0") })},
	"cancel_now": {"cancels running jobs and prints how many", []argument{number("count", "1 if absent"), duration("hang", "their machines hang for that long")}, show(func(w *World, a Args) string {
		return strconv.Itoa(len(w.cancelNow(int(a.num("count", "1")), a.dur("hang", "0s"))))
	})},
	"invalid_requests": {"lets users send invalid requests", []argument{duration("for", "10s if absent")}, act(sendInvalidFor)},
	"race": {"lets pairs of jobs meet, each at another moment, and tells whether each pair ended alike", withArguments(manyArguments,
		oneOf("with", "what the cancellation of an upstream job meets, submit if absent", "submit", "done"), duration("step", "10ms if absent"),
		duration("within", "120s if absent"), boolean("both", "both ends must occur")), show((*World).race)},
}

// onNodes makes a runner of what is done to each controller that is named.
func onNodes(do func(n *node)) runner {
	return act(func(w *World, a Args) {
		for _, n := range w.pick(a["node"]) {
			do(n)
		}
	})
}

func (n *node) bootIfDown() {
	if !n.up {
		n.boot()
	}
}

func pauseControllers(w *World, a Args) {
	for _, n := range w.pick(a["node"]) {
		n.pause(a.dur("for", "2s"), a.flag("mid_step"))
	}
}

// controller finds a controller by its name.
func (w *World) controller(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// pick finds the controllers that a command names: none if nobody leads.
func (w *World) pick(name string) []*node {
	n := w.controller(name)
	switch name {
	case "all":
		return w.nodes
	case "leader":
		n = w.Leader()
	}
	if n == nil {
		return nil
	}
	return []*node{n}
}

// one finds the controller that a command names.
func (w *World) one(a Args) (*node, error) {
	list := w.pick(a["node"])
	if len(list) != 1 {
		return nil, errors.New("node: one controller is needed, there is none or more")
	}
	return list[0], nil
}

// onMachines makes a runner of what is done to each machine that is named.
func onMachines(do func(k *worker, a Args)) runner {
	return func(w *World, a Args, _ string) (string, error) {
		machines, err := w.chosenMachines(a)
		if errors.Is(err, errNotOnMachine) {
			return err.Error(), nil
		}
		if err != nil {
			return "", err
		}
		for _, k := range machines {
			do(k, a)
		}
		return "ok", nil
	}
}

var errNotOnMachine = errors.New("not on a machine")

// chosenMachines finds the machines that a command names: machine=NAME, all that
// are up in zone=ZONE, or the one that task=REQ/N is on.
func (w *World) chosenMachines(a Args) (machines []*worker, err error) {
	if zone, ok := a["zone"]; ok {
		for _, k := range w.Workers() {
			if k.up && k.zone == zone {
				machines = append(machines, k)
			}
		}
		return machines, nil
	}
	if name, ok := a["machine"]; ok {
		for _, k := range w.workers {
			if k.up && k.name == name {
				return []*worker{k}, nil
			}
		}
		return nil, errors.New("machine " + name + " is not up")
	}
	if k := w.machineOf(a["task"]); k != nil {
		return []*worker{k}, nil
	}
	return nil, errNotOnMachine
}

// machineOf finds the machine that a task is on.
func (w *World) machineOf(task string) *worker {
	for _, t := range w.check.onMachines() {
		if t.name == task {
			return t.on
		}
	}
	return nil
}

func reclaimMachine(k *worker, a Args) {
	notice := a.dur("in", "8s")
	k.reclaimAt, k.changed = k.w.now+notice, true
	k.w.after(notice, func() { k.w.cloud.remove(k.name) })
}

func blockInboundOf(k *worker, a Args) {
	k.w.BlockInbound(k, true)
	if a.flag("for") {
		k.w.after(a.dur("for", "5s"), func() { k.w.BlockInbound(k, false) })
	}
}

// upIn lists the machines that are up in the zone that is named, or in all.
func (w *World) upIn(a Args) (machines []*worker) {
	for _, k := range w.Workers() {
		if zone, ok := a["zone"]; k.up && (!ok || zone == k.zone) {
			machines = append(machines, k)
		}
	}
	return machines
}

func blockInbound(w *World, a Args) {
	for _, k := range w.upIn(a) {
		w.blockInboundFor(k, a.dur("for", "5s"))
	}
}

func (w *World) blockInboundFor(k *worker, d time.Duration) {
	w.BlockInbound(k, true)
	w.after(d, func() { w.BlockInbound(k, false) })
}

func blockReports(w *World, a Args) {
	for _, k := range w.upIn(a) {
		w.blockReportsFor(k, a.dur("for", "5s"))
	}
}

func cutLinks(w *World, a Args, on bool) {
	w.refusedWhenCut = a.num("refused", "0")
	for _, n := range w.pick(a["node"]) {
		if a["from"] != "workers" {
			w.Cut(n.name, a["from"], on)
			continue
		}
		for _, k := range w.Workers() {
			if zone, ok := a["zone"]; !ok || zone == k.zone {
				w.setCut(n.name, k.name, on)
			}
		}
	}
	if !on {
		w.releaseHeld() // once: it goes through all that are held
	}
}

func cutOffZone(w *World, a Args, _ string) (string, error) {
	n, err := w.one(a)
	if err != nil {
		return "", err
	}
	w.cutZone(n, a["zone"], a.dur("for", "20s"))
	return "ok", nil
}

func sendInvalidFor(w *World, a Args) {
	w.invalidRequests = true
	w.sendInvalidRequests()
	w.after(a.dur("for", "10s"), func() { w.invalidRequests = false })
}
