package autoscaler

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"lugward/internal/event"
)

// The list is read page by page; a page that did not come is asked for again.
func TestMachineListPages(t *testing.T) {
	const now = time.Minute
	var observed []string
	client := &cloudClient{rps: testRPS}
	client.reset()
	list := &machineListReader{
		cloud:   client,
		observe: func(listed *wireMachine, _ event.Time) { observed = append(observed, listed.Name) },
	}
	list.reset()
	for _, page := range []struct {
		path   string
		status int
		body   string
	}{
		{path: "/rentals?limit=500", status: http.StatusOK, body: `{"hosts":[{"name_id":"i-1"},{"name_id":"i-2"}],"has_next":true}`},
		{path: "/rentals?limit=500&from=i-2", status: http.StatusInternalServerError},
		{path: "/rentals?limit=500&from=i-2", status: http.StatusOK, body: `{"hosts":`},
		{path: "/rentals?limit=500&from=i-2", status: http.StatusOK, body: `{"hosts":[{"name_id":"i-3"}],"has_next":false}`},
	} {
		var out event.Effects
		list.requestPage(now, &out)
		list.requestPage(now, &out)
		if len(out.Calls) != 1 || out.Calls[0].Path != page.path {
			t.Fatalf("calls %+v, not one of %s", out.Calls, page.path)
		}
		// Each Effects of this test numbers its calls anew.
		client.handleResult(now, event.CallResult{ID: out.Calls[0].ID, Status: page.status, Body: []byte(page.body)})
	}
	if want := []string{"i-1", "i-2", "i-3"}; !slices.Equal(observed, want) {
		t.Errorf("observed %v, not %v", observed, want)
	}
	var out event.Effects
	if list.requestPage(now, &out); len(out.Calls) != 0 {
		t.Errorf("asked for again at once: %+v", out.Calls)
	}
}

// A list is up to date if its reading began when it could show what leaders before us
// had provisioned.
func TestMachineListUpToDate(t *testing.T) {
	const termBeganAt, lag = time.Minute, 5 * time.Second
	for _, test := range []struct {
		name         string
		fencingToken uint64
		readAt       event.Time
		want         bool
	}{
		{name: "first term", fencingToken: 1, readAt: termBeganAt, want: true},
		{name: "before the lag has passed", fencingToken: 2, readAt: termBeganAt + lag - 1},
		{name: "after the lag has passed", fencingToken: 2, readAt: termBeganAt + lag, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := &cloudClient{rps: testRPS}
			client.reset()
			list := &machineListReader{cloud: client, lag: lag}
			list.reset()
			list.beginTerm(termBeganAt, test.fencingToken)
			var out event.Effects
			list.requestPage(test.readAt, &out)
			client.handleResult(test.readAt, event.CallResult{ID: out.Calls[0].ID, Status: http.StatusOK, Body: []byte("{}")})
			if list.upToDate != test.want {
				t.Errorf("up to date: %v", list.upToDate)
			}
		})
	}
}
