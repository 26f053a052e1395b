package autoscaler

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"lugward/internal/event"
)

// The list must be read page by page, and a failed or malformed page must be requested
// again.
func TestMachineListPages(t *testing.T) {
	const now = time.Minute
	var handled []string
	client := &cloudClient{rps: testRPS}
	client.reset()
	list := &machineListReader{
		cloud:         client,
		handleMachine: func(listed *wireMachine, _ event.Time) { handled = append(handled, listed.Name) },
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
		list.requestPageIfDue(now, &out)
		list.requestPageIfDue(now, &out)
		if len(out.Calls) != 1 || out.Calls[0].Path != page.path {
			t.Fatalf("calls = %+v, want one for %s", out.Calls, page.path)
		}
		// Call IDs start again with each Effects of this test.
		client.handleResult(now, event.CallResult{ID: out.Calls[0].ID, Status: page.status, Body: []byte(page.body)})
	}
	if want := []string{"i-1", "i-2", "i-3"}; !slices.Equal(handled, want) {
		t.Errorf("listed machines = %v, want %v", handled, want)
	}
	var out event.Effects
	if list.requestPageIfDue(now, &out); len(out.Calls) != 0 {
		t.Errorf("calls right after a complete read = %+v, want none", out.Calls)
	}
}

// The list counts as up to date only if its read started late enough for the list to
// include the machines that previous leaders provisioned.
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
			list.requestPageIfDue(test.readAt, &out)
			client.handleResult(test.readAt, event.CallResult{ID: out.Calls[0].ID, Status: http.StatusOK, Body: []byte("{}")})
			if list.upToDate != test.want {
				t.Errorf("upToDate = %t, want %t", list.upToDate, test.want)
			}
		})
	}
}
