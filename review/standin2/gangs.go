package main

import (
	"sync"
	"time"
)

// gangAttempt names an attempt of a gang. Its tasks find each other by it.
type gangAttempt struct {
	job string
	try uint64
}

type gang struct {
	waiting map[int]bool // tasks that have their image
	started time.Time
	broken  bool // a task has left after the start
}

// gangs are the attempts of all gangs.
type gangs struct {
	mu       sync.Mutex
	attempts map[gangAttempt]*gang
}

func (g *gangs) of(t *task) *gang {
	attempt := gangAttempt{t.job.ID, t.try}
	if g.attempts[attempt] == nil {
		g.attempts[attempt] = &gang{waiting: map[int]bool{}}
	}
	return g.attempts[attempt]
}

// wait is called when a task has its image. The gang starts when all have.
func (g *gangs) wait(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gang := g.of(t)
	gang.waiting[t.index] = true
	if len(gang.waiting) == t.job.Shards && gang.started.IsZero() {
		gang.started = time.Now()
	}
}

func (g *gangs) startedAt(t *task) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.of(t).started
}

func (g *gangs) broken(t *task) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.of(t).broken
}

// leave is called when a task exits or is lost.
func (g *gangs) leave(t *task, cause string) {
	if t.job == nil || t.job.Shape != "gang" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	gang := g.of(t)
	if gang.started.IsZero() {
		delete(gang.waiting, t.index)
	} else if cause != "done" {
		gang.broken = true
	}
}

// ran reports whether any attempt of a gang has started.
func (g *gangs) ran(job string) (attempts int, started bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for attempt, gang := range g.attempts {
		if attempt.job == job {
			attempts++
			started = started || !gang.started.IsZero()
		}
	}
	return attempts, started
}
