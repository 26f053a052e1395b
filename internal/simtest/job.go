package simtest

import "time"

// job is a submitted job and what has become of it.
type job struct {
	id                 string
	team, class        string
	asked              time.Duration // when its user first got an answer
	began              time.Duration // when it first ran, a gang as a whole
	shape              string
	taskCount          int
	cpus, gpus         float64
	memory             float64
	machineTypes       []string
	zone               string
	sameZone, scatter  bool
	allowSpot          bool
	checkpointInterval time.Duration
	checkpointDuration time.Duration
	run                time.Duration
	image              time.Duration
	broken             bool // fails on every machine
	brokenTask         int  // 1 + the number of the only task that fails on every machine, 0: none
	attempts           int  // starts that workers executed
	stopped            int  // tasks stopped by a command while the job was neither finished nor cancelled
	progress           map[int]time.Duration
	complete           map[int]bool
	gangs              map[uint64]*gang
	submitted          bool
	awaits             []string // jobs that must be done before any task of it starts
	body               []byte   // the submission
	mustRefuse         int      // the status with which it must be refused, 0: it can run
}

// breaks tells whether a task of the job fails on every machine.
func (j *job) breaks(index int) bool { return j.broken || index+1 == j.brokenTask }

func (j *job) begin(now time.Duration) {
	if j.began == 0 {
		j.began = now
	}
}

func (j *job) idOf() string {
	if j == nil {
		return ""
	}
	return j.id
}

// ended is called when a task completes: the last one's job may be cancelled,
// asked about and submitted again at that very moment.
func (w *World) ended(j *job) {
	if len(j.complete) < j.taskCount || w.check.asked[j.id] || !w.strikes(w.cancelEnds) {
		return
	}
	w.check.asked[j.id] = true
	w.after(w.between(0, time.Second), func() { w.cancelSoon(j.id) })
	w.after(w.between(0, time.Second), func() { w.repeat(j.id) })
	w.after(w.between(0, time.Second), func() { w.askOnce(j.id) })
}

// runningJobs lists the accepted jobs that have a task on a machine and that
// nobody cancelled.
func (w *World) runningJobs() []string {
	var ids []string
	seen := map[string]bool{}
	for _, t := range w.check.onMachines() {
		if id := t.job.id; !seen[id] && w.check.acknowledged[id] != "" && !w.check.asked[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// cancelNow cancels so many running jobs within a fifth of a second, and lets
// up to eight of their machines hang for d.
func (w *World) cancelNow(count int, d time.Duration) []string {
	ids := w.runningJobs()
	w.rng.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	ids = ids[:min(count, len(ids))]
	for _, id := range ids {
		w.check.asked[id] = true
		w.after(w.between(0, 200*time.Millisecond), func() { w.cancelSoon(id) })
	}
	if d > 0 {
		hung := map[*worker]bool{}
		for _, t := range w.check.onMachines() {
			for _, id := range ids {
				if t.job.id == id && len(hung) < 8 && !hung[t.on] {
					hung[t.on] = true
					k := t.on
					w.after(w.between(0, 400*time.Millisecond), func() { k.hang(d) })
				}
			}
		}
	}
	return ids
}
