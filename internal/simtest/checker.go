package simtest

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Checker watches the rules of the protocol. It knows nothing of the service's
// own records: only what workers do and what is answered to users. The one
// exception are done marks, without which no job that needs another may start.
type Checker struct {
	world                   *World
	Violations              []string
	acknowledgedPhase       map[string]string        // last phase answered, per job
	cancelAcknowledgedAt    map[string]time.Duration // when the cancellation was acknowledged
	cancelRequests          map[string]bool          // cancellations asked for
	starts                  int
	refusals                map[string]int
	faultsOverAt            time.Duration                  // when the last fault ended, 0: not yet
	answeredAt              map[string]time.Duration       // when a request about a job was last answered
	releasedAt              map[string]time.Duration       // when all was done that a job needs
	acknowledgedAt          map[string]time.Duration       // when the last phase was first answered
	instances               map[string][]*assignment       // by name, the attempts that have started and may be on machines
	unansweredHeartbeats    int                            // reports of workers that got no answer
	startsAfterCancellation int                            // starts after a confirmed cancellation
	waitingSince            map[string]time.Duration       // since when a job waits beside capacity for it
	writeCounts             []int                          // number of writes at the last moments
	recentFree              map[*fakeWorker][]freeCapacity // what was free on machines lately
}

func newChecker(world *World) *Checker {
	return &Checker{world: world, acknowledgedPhase: map[string]string{}, cancelAcknowledgedAt: map[string]time.Duration{}, cancelRequests: map[string]bool{}, refusals: map[string]int{}, answeredAt: map[string]time.Duration{},
		releasedAt: map[string]time.Duration{}, acknowledgedAt: map[string]time.Duration{}, waitingSince: map[string]time.Duration{}, recentFree: map[*fakeWorker][]freeCapacity{},
		instances: map[string][]*assignment{}}
}

func (checker *Checker) reportViolation(f string, values ...any) {
	checker.Violations = append(checker.Violations, fmt.Sprintf("%.2fs ", checker.world.now.Seconds())+fmt.Sprintf(f, values...))
}

func (checker *Checker) countRefusal(cause, _ string) { checker.refusals[cause]++ }

// invariantCheckInterval is how often the invariants are checked.
const invariantCheckInterval = 500 * time.Millisecond

// watchInvariants checks what must hold at any time.
func (world *World) watchInvariants() {
	world.checker.checkInvariants()
	world.schedule(invariantCheckInterval, world.watchInvariants)
}

// Verdict is "kept" or what was broken.
func (world *World) Verdict() string {
	all := append(append([]string(nil), world.checker.Violations...), world.serviceMisuses...)
	if len(all) == 0 {
		return "kept"
	}
	return strings.Join(all, "\n")
}

// eachOnMachine calls f for every task that is on a machine, in any order.
func (checker *Checker) eachOnMachine(visit func(other *assignment)) {
	for _, worker := range checker.world.workers {
		if len(worker.assignments) == 0 || !worker.up || worker.certainlyLost() {
			continue
		}
		for _, other := range worker.assignments {
			if other.onMachine() {
				visit(other)
			}
		}
	}
}

// onMachines lists every task that is on a machine, sorted by name and machine.
func (checker *Checker) onMachines() []*assignment {
	var list []*assignment
	checker.eachOnMachine(func(other *assignment) { list = append(list, other) })
	sort.Slice(list, func(a, b int) bool {
		return list[a].name < list[b].name || (list[a].name == list[b].name && list[a].worker.name < list[b].worker.name)
	})
	return list
}

// addInstance notes that a task is on a machine.
func (checker *Checker) addInstance(other *assignment) {
	checker.instances[other.name] = append(checker.instances[other.name], other)
}

// checkRunsOnce checks that a task that starts is on no other machine.
func (checker *Checker) checkRunsOnce(other *assignment) {
	checker.instances[other.name] = slices.DeleteFunc(checker.instances[other.name], func(member *assignment) bool {
		return !member.worker.up || member.worker.assignments[member.name] != member || member.phase == "exited"
	})
	for _, member := range checker.instances[other.name] {
		if member.onMachine() && !member.worker.certainlyLost() {
			checker.reportViolation("ran_twice: %s starts on %s while on %s", other.name, other.worker.name, member.worker.name)
		}
	}
	checker.addInstance(other)
}

// checkQuota checks the limit of a starting task's team, where the task takes of
// what is limited.
func (checker *Checker) checkQuota(other *assignment) {
	for _, team := range checker.world.config.Settings.Teams {
		limited := (team.CPUsMax > 0 && other.job.cpus > 0) || (team.GPUsMax > 0 && other.job.gpus > 0)
		if team.Name != other.job.team || !limited {
			continue
		}
		cpus, gpus := other.job.cpus, other.job.gpus
		checker.eachOnMachine(func(member *assignment) {
			if member != other && member.job.team == other.job.team {
				cpus += member.job.cpus
				gpus += member.job.gpus
			}
		})
		if (team.CPUsMax > 0 && cpus > team.CPUsMax+1e-6) || (team.GPUsMax > 0 && gpus > team.GPUsMax+1e-6) {
			checker.reportViolation("quota: team %s uses %v CPUs, %v GPUs", team.Name, cpus, gpus)
		}
	}
}

// checkStart is called when a task has its image and starts.
func (checker *Checker) checkStart(other *assignment) {
	checker.starts++
	other.job.startedAttempts++
	job, worker := other.job, other.worker
	checker.checkRunsOnce(other)
	inZone := map[string]int{worker.zone: 1}
	if job.sameZone || job.scatter {
		checker.eachOnMachine(func(member *assignment) {
			if member.job == job && member.index != other.index {
				inZone[member.worker.zone]++
			}
		})
	}
	checker.checkQuota(other)
	allowed := job.machineTypes == nil
	for _, f := range job.machineTypes {
		allowed = allowed || f == worker.machineType
	}
	if !allowed || (job.zone != "" && job.zone != worker.zone) || (worker.spot && !job.allowSpot) || (job.sameZone && len(inZone) > 1) ||
		(job.scatter && inZone[worker.zone] > (job.taskCount+1)/2) {
		checker.reportViolation("wrong_place: %s attempt %d on %s (%s, %s, spot %v), zones %v, job same zone %v scatter %v spot %v of %d", other.name, other.attempt, worker.name, worker.machineType,
			worker.zone, worker.spot, inZone, job.sameZone, job.scatter, job.allowSpot, job.taskCount)
	}
	checker.checkUpstreamDone(other)
	if since, ok := checker.cancelledSince(job.id); ok {
		checker.startsAfterCancellation++
		if checker.overdue(since) {
			checker.reportViolation("ran_cancelled: %s starts", other.name)
		}
	}
}

// countStop is called when a worker executes a stop: it counts for a task that was
// not being stopped yet and whose job is neither finished nor cancelled.
func (checker *Checker) countStop(other *assignment) {
	if other.job != nil && other.phase != "saving" && len(other.job.completed) < other.job.taskCount && !checker.cancelRequested(other.job.id) {
		other.job.stoppedTasks++
	}
}

// checkInvariants checks what must hold at any time.
func (checker *Checker) checkInvariants() {
	checker.noteReleased()
	checker.eachOnMachine(func(other *assignment) {
		if since, ok := checker.cancelledSince(other.job.id); ok && checker.overdue(since) {
			checker.reportViolation("ran_cancelled: %s on %s", other.name, other.worker.name)
		}
	})
	checker.checkWaitsBesideCapacity()
}

// checkAnswer checks the answer to a user's request that was sent at that time: a
// request that was in flight when another was answered may show an older state.
func (checker *Checker) checkAnswer(asked time.Duration, id string, status int, phase string) {
	job := checker.world.jobs[id]
	older := checker.acknowledgedPhase[id] != "" && asked < checker.acknowledgedAt[id]
	known := checker.acknowledgedPhase[id] != ""
	switch {
	case status == 200 || status == 201:
		if job == nil || !job.submitted {
			checker.reportViolation("invented: %s answered %q", id, phase)
			return
		}
		if job.expectedRefusal != 0 {
			checker.reportViolation("accepted: %s answered %d, to be refused with %d", id, status, job.expectedRefusal)
		}
		last := checker.acknowledgedPhase[id]
		if older && (last == "done" || last == "cancelled") && phase != "done" && phase != "cancelled" {
			return
		}
		if (last == "done" || last == "cancelled") && phase != last {
			checker.reportViolation("went_back: %s was %s, is %s", id, last, phase)
		}
		if phase == "cancelled" && !checker.cancelRequested(id) {
			checker.reportViolation("went_back: %s cancelled by nobody", id)
		}
		if phase == "done" && len(job.completed) < job.taskCount {
			checker.reportViolation("not_done: %s has %d of %d tasks", id, len(job.completed), job.taskCount)
		}
		checker.checkUpstreamAnswer(id, status, phase)
		if phase == "cancelled" && last != phase {
			checker.cancelAcknowledgedAt[id] = checker.world.now
		}
		if last != phase {
			checker.acknowledgedAt[id] = checker.world.now
		}
		checker.acknowledgedPhase[id] = phase
	case known && !older && (status == 404 || status == 400 || status == 422):
		checker.reportViolation("forgotten: %s answered %d", id, status)
	}
}

// maxUnanswered is how long a job may go without an answer once all faults
// are over, however others fare.
const maxUnanswered = 75 * time.Second

// checkPoll notes whether a request about an accepted job was answered.
func (checker *Checker) checkPoll(id string, status int) {
	if _, ok := checker.answeredAt[id]; status == 200 || !ok {
		checker.answeredAt[id] = checker.world.now
	}
	if checker.acknowledgedPhase[id] == "" || checker.cancelRequested(id) || checker.faultsOverAt == 0 {
		return
	}
	if since := max(checker.answeredAt[id], checker.faultsOverAt); checker.world.now-since > maxUnanswered {
		checker.reportViolation("forgotten: %s without an answer for %s", id, checker.world.now-since)
	}
}

// largestJobDeadline is how soon the largest jobs of a class must begin.
const largestJobDeadline = 4 * time.Minute

// checkServed checks that at least half of each class, of each team and of each
// class's largest jobs ran, the largest within their time.
func (checker *Checker) checkServed() string {
	type part struct{ all, ran int }
	parts := map[string]*part{}
	add := func(name string, ran bool) {
		group := parts[name]
		if group == nil {
			group = &part{}
			parts[name] = group
		}
		if group.all++; ran {
			group.ran++
		}
	}
	largest := map[string]int{}
	for _, job := range checker.world.jobs {
		largest[job.class] = max(largest[job.class], job.taskCount)
	}
	for id, job := range checker.world.jobs {
		if checker.acknowledgedPhase[id] == "" || checker.cancelRequested(id) || checker.waitsForUpstream(id) {
			continue
		}
		add("class "+job.class, job.startedAt != 0)
		add("team "+job.team, job.startedAt != 0)
		if job.taskCount == largest[job.class] {
			add("largest of "+job.class, job.startedAt != 0 && job.startedAt-max(job.firstAnsweredAt, checker.releasedAt[id]) <= largestJobDeadline)
		}
	}
	var short []string
	for name, group := range parts {
		if 2*group.ran < group.all {
			short = append(short, fmt.Sprintf("%s: %d of %d", name, group.ran, group.all))
		}
	}
	if len(short) == 0 {
		return "served"
	}
	sort.Strings(short)
	checker.reportViolation("not served: %s", strings.Join(short, ", "))
	return strings.Join(short, "\n")
}
