package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["13"] = playCase13 }

// lateReport is how long after a confirmed cancellation a report is sent that must not be answered
// with a start any more. The state service answers within a few hundred milliseconds.
const lateReport = 500 * time.Millisecond

// starts records the commands to start tasks of a job.
type starts struct {
	mu    sync.Mutex
	job   string
	first chan struct{} // closed at the first command
	list  []startOrder
}

type startOrder struct {
	shard, machine string
	sentAt         time.Time // when the report was sent whose answer has the command
}

func (s *starts) record(o order, machine string, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Verb != "start" || !strings.HasPrefix(o.Shard, s.job+"/") {
		return
	}
	if len(s.list) == 0 {
		close(s.first)
	}
	s.list = append(s.list, startOrder{o.Shard, machine, sentAt})
}

// sentAfter returns the commands in answers to reports that were sent after a time.
func (s *starts) sentAfter(at time.Time) (late []startOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.list {
		if o.sentAt.After(at) {
			late = append(late, o)
		}
	}
	return late
}

// playCase13 cancels a job while its tasks are being started, at the moment at which the state
// service refuses the leader alone.
func playCase13(r *run) int {
	const machines = 8
	c, err := newCluster(rostalap(), r.rec, r.dir, r.program)
	if err != nil {
		r.rec.say("could not run: %v", err)
		return couldNot
	}
	defer c.stop()
	c.cloud.types[0].Yards = c.cfg.zones[:1]
	work := newJob("req-000002")
	work.Shards, work.Cores, work.RAM, work.Flavors, work.runFor = machines, 5, 4, []string{"kis"}, time.Minute
	orders := &starts{job: work.NameID, first: make(chan struct{})}
	c.cloud.onOrder = orders.record
	if !c.startAll() {
		return couldNot
	}
	busy := newJob("req-000001")
	busy.Shards, busy.Cores, busy.RAM, busy.Flavors, busy.runFor, busy.Expect = machines, 10, 4, []string{"kis"}, 5*time.Minute, 300
	if !c.submitAccepted(0, busy) || !c.waitStarted(busy, 45*time.Second) {
		r.rec.say("could not run: the first job does not run")
		return couldNot
	}
	time.Sleep(12 * time.Second)
	leader := c.leader()
	if leader < 0 {
		r.rec.say("could not run: no leader")
		return couldNot
	}
	follower := (leader + 1) % len(c.nodes)
	if !c.submitAccepted(follower, work) {
		r.rec.say("could not run: the job was not accepted")
		return couldNot
	}
	select {
	case <-orders.first:
	case <-time.After(20 * time.Second):
		r.rec.say("could not run: no task was started")
		return couldNot
	}
	if r.trouble {
		r.rec.log("the state service refuses %s", c.nodes[leader].label)
		c.state.setLink(leader, func(l *link) { l.refused = true })
	}
	status, answer := c.cancel(follower, work.NameID)
	confirmed := time.Now()
	if status != 200 {
		r.rec.say("could not run: the cancellation got %d", status)
		return couldNot
	}
	r.rec.say("%s confirms: %s", c.nodes[follower].label, answer)
	time.Sleep(8 * time.Second)
	late := orders.sentAfter(confirmed.Add(lateReport))
	for _, o := range late {
		r.rec.say("%s was told to start %s in the answer to a report that it sent %.1f s after the confirmation",
			o.machine, o.shard, o.sentAt.Sub(confirmed).Seconds())
	}
	if len(late) > 0 {
		r.rec.say("broken: %d tasks were started after the confirmed cancellation", len(late))
		return broken
	}
	r.rec.say("no task was started after the confirmed cancellation")
	return held
}

// leader returns the index of the controller that most workers report to, or -1.
func (c *cluster) leader() int {
	c.cloud.mu.Lock()
	defer c.cloud.mu.Unlock()
	count := make([]int, len(c.nodes))
	best := -1
	for _, m := range c.cloud.machines {
		if m.worker == nil {
			continue
		}
		m.worker.mu.Lock()
		node := m.worker.node
		m.worker.mu.Unlock()
		count[node]++
		if best < 0 || count[node] > count[best] {
			best = node
		}
	}
	return best
}

// waitStarted waits until all tasks of a job run.
func (c *cluster) waitStarted(j *job, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if c.runningTasks(j.NameID) == j.Shards {
			return true
		}
	}
	return false
}

// runningTasks returns the number of tasks of a job that run on machines.
func (c *cluster) runningTasks(id string) (count int) {
	c.cloud.mu.Lock()
	defer c.cloud.mu.Unlock()
	for _, m := range c.cloud.machines {
		if m.worker == nil {
			continue
		}
		m.worker.mu.Lock()
		for _, t := range m.worker.tasks {
			if strings.HasPrefix(t.Shard, id+"/") && t.Phase == "running" {
				count++
			}
		}
		m.worker.mu.Unlock()
	}
	return count
}
