package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// upstreamJobs is the number of jobs that the others wait for. A list of so many IDs
	// takes 58.5 KB of the 64 KiB of a request.
	upstreamJobs = 4_500
	// waitingBefore jobs wait for all of them when the controllers start.
	waitingBefore = 200
	// waitingAfter jobs more are submitted.
	waitingAfter = 110
	// smallList is the number of jobs that each of those waits for with TROUBLE=0.
	smallList = 10
	// submitLimit is the time for the submissions.
	submitLimit = 25 * time.Second
	// backAfter is the time after which a controller is back, from the brief.
	backAfter = 6 * time.Second
)

// playMemory submits jobs that wait for thousands of others. The platform ends a controller
// that holds more memory than the settings allow, and starts it again.
func playMemory(root, folder string) {
	c := newCluster(root, folder, dispensa())
	c.setUp(stateLatency, dispensaTypes, 1)
	ids := c.preloadPipelines()
	c.cloud.addUp("grande", "arequipa")
	c.startAll()
	first, last := ids[0], fmt.Sprintf("req-%06d", upstreamJobs+waitingBefore)
	if !waitFor(15*time.Second, func() bool { _, on, _ := c.checker.progress(); return on == 1 }) {
		c.unable("no task has started")
	}
	for _, p := range c.controllers {
		for _, id := range []string{first, last} {
			if code, _ := c.poll(p, id); code != 200 {
				c.unable("%s does not answer for %s", p.label, id)
			}
		}
		c.note("%s: %d MiB", p.label, p.residentMB())
	}
	kills := c.limitMemory(125, backAfter)
	list := ids
	if !c.trouble {
		list = ids[:smallList]
	}
	accepted := c.submitWaiting(list)
	c.note("users: %d of %d submissions accepted", accepted, waitingAfter)
	answered := time.Now() // the submissions are over
	rounds := 0
	for {
		answers := 0
		for _, p := range c.controllers {
			if code, _ := c.poll(p, first); code == 200 {
				answers++
			}
		}
		if answers > 0 {
			answered = time.Now()
		}
		if answers == len(c.controllers) {
			rounds++
		}
		switch silent := time.Since(answered); {
		case silent > unansweredLimit:
			c.broken("forgotten: no question about an accepted job was answered for %.0f s; controllers were ended %d times for their memory",
				silent.Seconds(), kills.Load())
		case rounds >= enoughAnswers && kills.Load() == 0:
			c.held("all controllers answered %d times after the last submission", rounds)
		}
		time.Sleep(hangPollPause)
	}
}

// preloadPipelines stores jobs that were accepted before, as the controllers store them: the
// upstream jobs, and jobs that wait for all of them, with their lists in pages.
func (c *cluster) preloadPipelines() (ids []string) {
	at := time.Now().Add(-10 * time.Minute).UnixMilli()
	var pages []string
	var page strings.Builder
	limit := int(c.settings.State.ValueKB * 1024)
	for i := range upstreamJobs {
		j := &job{ID: fmt.Sprintf("req-%06d", i+1), Class: "lecturas", Owner: "logistica", Shape: "array", Rank: "idle", Shards: 1,
			Cores: 30, RAM: 100, Bundle: "img-1", ImageGB: 0.1, Expect: 300, runTime: 300 * time.Second}
		c.upload(j)
		ids = append(ids, j.ID)
		c.state.preload("j/"+j.ID, fmt.Sprintf(`{"c":"lecturas","t":"logistica","s":0,"k":0,"n":1,"u":[30,0,100],"b":"img-1","g":0.1,"e":[300,0,0,0],"o":"hearth-0","r":true,"at":%d}`, at))
		number := strings.TrimPrefix(j.ID, "req-")
		if page.Len()+len(number)+3 > limit {
			pages = append(pages, `"`+page.String()+`"`)
			page.Reset()
		}
		if page.Len() > 0 {
			page.WriteByte(' ')
		}
		page.WriteString(number)
	}
	pages = append(pages, `"`+page.String()+`"`)
	for i := range waitingBefore {
		id := fmt.Sprintf("req-%06d", upstreamJobs+i+1)
		var attempt uint64
		for n, data := range pages {
			stamp := c.state.preload(fmt.Sprintf("u/%s/%d", id, n), data)
			if n == 0 {
				attempt = stamp
			}
		}
		c.state.preload("j/"+id, fmt.Sprintf(`{"c":"rutas","t":"logistica","s":0,"k":1,"n":1,"u":[2,0,6.4],"b":"img-2","g":1,"e":[20,0,0,0],"o":"hearth-0","at":%d,"un":%d,"us":%d}`,
			at, len(pages), attempt))
	}
	c.note("state service: holds %d jobs, and %d that wait for them, accepted before", upstreamJobs, waitingBefore)
	return ids
}

// submitWaiting submits jobs that wait for the given ones, three users at a time, and
// returns how many were accepted.
func (c *cluster) submitWaiting(list []string) (accepted int) {
	var next, done atomic.Int64
	var users sync.WaitGroup
	deadline := time.Now().Add(submitLimit)
	for user := range len(c.controllers) {
		users.Go(func() {
			for n := next.Add(1); n <= waitingAfter; n = next.Add(1) {
				j := &job{ID: fmt.Sprintf("req-%06d", upstreamJobs+waitingBefore+int(n)), Class: "rutas", Owner: "logistica", Shape: "array", Rank: "normal",
					Shards: 1, Cores: 2, RAM: 6.4, Bundle: "img-2", ImageGB: 1, Expect: 20, Awaits: list, runTime: 20 * time.Second}
				for at := user; time.Now().Before(deadline); at++ {
					if code, _ := c.submit(c.controllers[at%len(c.controllers)], j); code == 200 || code == 201 {
						done.Add(1)
						break
					}
					time.Sleep(time.Second)
				}
			}
		})
	}
	users.Wait()
	return int(done.Load())
}

// limitMemory ends a controller that holds more than the given memory in MiB, as the
// platform does, and starts it again after the given time. It returns the number of ends.
func (c *cluster) limitMemory(limit int, back time.Duration) *atomic.Int64 {
	kills := &atomic.Int64{}
	for _, p := range c.controllers {
		go func() {
			for at := 0; ; at++ {
				time.Sleep(50 * time.Millisecond)
				held := p.residentMB()
				if at%100 == 0 {
					c.note("%s: %d MiB", p.label, held)
				}
				if held <= limit {
					continue
				}
				kills.Add(1)
				p.kill()
				c.note("platform: %s held %d MiB, its limit is %d: ended", p.label, held, limit)
				time.Sleep(back)
				c.start(p)
			}
		}()
	}
	return kills
}
