package simtest

import (
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"time"
)

// changeLog holds the latest changes in the state service and the pending watches.
type changeLog struct {
	log            []changeEvent
	oldestRevision uint64 // a watch from an earlier revision gets status 410
	watchers       []*watcher
}

// watcher is a pending watch request. It waits for changes after a revision.
type watcher struct {
	from     uint64
	answer   answerFunc
	answered bool
}

// retainedRevisions is the number of latest revisions that a watch may start from. A watch from an
// earlier one gets status 410.
const retainedRevisions = 10000

// watch answers with the changes after a revision, as soon as there are any or when the wait
// time of the request is over.
func (service *fakeStateService) watch(query url.Values, answer func(status int, response any)) {
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	if from+retainedRevisions < service.revision || from < service.oldestRevision {
		answer(http.StatusGone, nil)
		return
	}
	if from < service.revision || wait == 0 {
		answer(http.StatusOK, service.changesAfter(from))
		return
	}
	watch := &watcher{from: from, answer: answer}
	service.watchers = append(service.watchers, watch)
	service.world.schedule(time.Duration(wait)*time.Millisecond, func() {
		if !watch.answered {
			watch.answered = true
			answer(http.StatusOK, service.changesAfter(watch.from))
		}
	})
}

// changesAfter returns the changes after a revision.
func (service *fakeStateService) changesAfter(from uint64) watchResponse {
	i := sort.Search(len(service.log), func(i int) bool { return service.log[i].ModRevision > from })
	return watchResponse{service.revision, append([]changeEvent{}, service.log[i:]...)}
}

// notifyWatchers answers the pending watches that have changes.
func (service *fakeStateService) notifyWatchers() {
	list := service.watchers
	service.watchers = nil
	for _, watcher := range list {
		if watcher.answered {
			continue
		}
		if service.revision > watcher.from && !service.down {
			watcher.answered = true
			watcher.answer(http.StatusOK, service.changesAfter(watcher.from))
		} else {
			service.watchers = append(service.watchers, watcher)
		}
	}
}
