package simtest

import (
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"time"
)

// changeLog is what has changed in the state service, and who waits for changes.
type changeLog struct {
	log      []changeEvent
	oldest   uint64 // changes from before this revision are not kept
	watchers []*watcher
}

// watcher is a request that waits for a change after a revision.
type watcher struct {
	from     uint64
	answer   answerFunc
	answered bool
}

// logKept is for how many revisions changes are kept.
const logKept = 10000

// watch answers with the changes after a revision, once there are any or the
// time to wait is over.
func (service *fakeStateService) watch(query url.Values, answer func(status int, response any)) {
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	if from+logKept < service.revision || from < service.oldest {
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

// changesAfter lists the changes after a revision.
func (service *fakeStateService) changesAfter(from uint64) watchResponse {
	i := sort.Search(len(service.log), func(i int) bool { return service.log[i].ModRevision > from })
	return watchResponse{service.revision, append([]changeEvent{}, service.log[i:]...)}
}

// notifyWatchers answers who waits for a change that has come.
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
