package simtest

import (
	"sort"
	"strings"
	"time"
)

const watchEvery = 500 * time.Millisecond

// watchRules checks what must hold at any time.
func (w *World) watchRules() {
	w.check.moment()
	w.after(watchEvery, w.watchRules)
}

// Verdict is "kept" or what was broken.
func (w *World) Verdict() string {
	all := append(append([]string(nil), w.check.Broken...), w.faults...)
	if len(all) == 0 {
		return "kept"
	}
	return strings.Join(all, "\n")
}

// accepted lists the jobs whose users got an answer and did not cancel.
func (w *World) accepted() []string {
	var ids []string
	for id := range w.check.acknowledged {
		if !w.check.cancelRequested(id) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}
