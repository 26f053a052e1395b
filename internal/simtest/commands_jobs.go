package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"
)

// sharedJobArguments describe a job, whatever its ID.
var sharedJobArguments = []argument{
	text("team", "red if absent"),
	text("class", "class of jobs, c if absent"),
	oneOf("shape", "array if absent", "array", "gang", "daemon"),
	text("priority", "normal if absent"),
	number("tasks", "number of tasks, 1 if absent"),
	number("cpus", "of each task, 1 if absent"),
	number("gpus", "of each task, 0 if absent"),
	number("memory", "GB of each task, 1 if absent"),
	text("types", "machine types that fit, joined by +"),
	text("zone", "the zone to run in"),
	boolean("same_zone", "all tasks run in one zone"),
	boolean("scatter", "at most half of the tasks run in one zone"),
	boolean("spot", "may run on spot machines"),
	boolean("broken", "every task fails on every machine; any shape may be broken"),
	number("broken_task", "number of the only task that fails on every machine"),
	duration("run", "what each task takes, 5s if absent"),
	text("image_name", "name of the image"),
	duration("image", "time to fetch the image, 1s if absent"),
	duration("checkpoint", "interval of checkpoints, none if absent"),
	duration("checkpoint_cost", "duration of a checkpoint, 1s if absent"),
	jobIDs("awaits", "upstream jobs joined by +; req-000100*3000 stands for so many, counted up"),
}

var (
	jobArguments   = withArguments(sharedJobArguments, need(text("id", "job ID")))
	onlyID         = []argument{need(text("id", "job ID"))}
	manyArguments  = withArguments(sharedJobArguments, number("from", "number of the first ID, 1 if absent"), number("count", "jobs"))
	requestMethods = oneOf("method", "POST if absent", "GET", "POST", "PUT", "DELETE")
)

// jobCommands are requests of users.
var jobCommands = map[string]command{
	"submit": {"submits a job and repeats that as users do; prints status and phase", jobArguments, show(func(w *World, a Args) string {
		return statusAndPhase(w.Submit(a))
	})},
	"accept": {"submits a job that is to be accepted, at the first attempt or later", jobArguments, show(acceptJob)},
	"burst":  {"submits many jobs alike", withArguments(manyArguments, boolean("once", "all at the same moment"), duration("within", "with once: time in which all must be answered")), show(burst)},
	"job":    {"registers a job with the workers without submitting it", jobArguments, act(registerJob)},
	"send": {"sends one submission whose upstream list is the input", withArguments(jobArguments,
		controllers("the controller to ask, any if absent")), sendSubmission},
	"raw":    {"sends the input as one request to n0 and prints the status", []argument{requestMethods, need(text("path", "path"))}, show2(rawRequest)},
	"begin":  {"submits a job without waiting for the answer", withArguments(jobArguments, boolean("cancel", "cancels instead"), boolean("once", "the user does not repeat it")), act(beginRequest)},
	"answer": {"prints the answer to what begin sent", withArguments(onlyID, need(oneOf("of", "request", "submit", "cancel")), boolean("accepted", "prints accepted for 200 and 201"), duration("within", "70s if absent")), show(answerOf)},
	"poll":   {"asks for a job's state once", onlyID, show(func(w *World, a Args) string { return statusAndPhase(w.Poll(a["id"])) })},
	"storm": {"lets users ask about accepted jobs, drawn at random, and prints how many were answered while they waited",
		[]argument{need(number("count", "questions")), duration("over", "in that time, 5s if absent")}, show(pollStorm)},
	"cancel": {"cancels a job; prints status and phase", onlyID, show(func(w *World, a Args) string { return statusAndPhase(w.Cancel(a["id"])) })},
	"cancel_soon": {"cancels a job without waiting for the answer", onlyID,
		act(func(w *World, a Args) { w.cancelSoon(a["id"]) })},
	"until": {"polls a job until it has a phase", withArguments(onlyID, need(text("phase", "phase")), duration("within", "60s if absent")), show(untilPhase)},
	"all":   {"polls all accepted jobs until they are done", []argument{duration("within", "60s if absent")}, show(untilAllDone)},
	"users": {"sends users from here on to one controller: the named one, or without arguments one that does not lead",
		[]argument{controllers("the controller"), boolean("any", "to any controller again")}, chooseEntry},
}

func show2(print func(w *World, a Args, input string) string) runner {
	return func(w *World, a Args, input string) (string, error) { return print(w, a, input), nil }
}

func statusAndPhase(status int, phase string) string { return fmt.Sprintf("%d %s", status, phase) }

func accepted(status int) bool { return status == 200 || status == 201 }

func jobID(number int) string { return fmt.Sprintf("req-%06d", number) }

// acceptJob is a submission that is accepted at the first attempt or later.
func acceptJob(w *World, a Args) string {
	if status, phase := w.Submit(a); !accepted(status) {
		return statusAndPhase(status, phase)
	}
	return "accepted"
}

func burst(w *World, a Args) string {
	if a.flag("once") {
		return w.crowd(a)
	}
	count := 0
	for i := range int(a.num("count", "1")) {
		one := maps.Clone(a)
		one["id"] = jobID(int(a.num("from", "1")) + i)
		if status, _ := w.Submit(one); accepted(status) {
			count++
		}
	}
	return fmt.Sprintf("%d accepted", count)
}

func registerJob(w *World, a Args) {
	w.Body(a)
	w.jobs[a["id"]].submitted = true
}

func sendSubmission(w *World, a Args, input string) (string, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(w.Body(a), &fields); err != nil {
		return "", err
	}
	fields["awaits"] = json.RawMessage(strings.TrimSpace(input))
	body, err := json.Marshal(fields)
	if err != nil {
		return "", err
	}
	n := w.entryNode()
	if a.flag("node") {
		if n, err = w.one(a); err != nil {
			return "", err
		}
	}
	asked := w.now
	status, phase := w.ask(n, "POST", "/submissions", body)
	if accepted(status) {
		w.jobs[a["id"]].submitted = true
	}
	w.check.answered(asked, a["id"], status, phase)
	return strings.TrimSpace(statusAndPhase(status, phase)), nil
}

func rawRequest(w *World, a Args, input string) string {
	status, _ := w.ask(w.nodes[0], a.or("method", "POST"), a["path"], []byte(input))
	return strconv.Itoa(status)
}

func beginRequest(w *World, a Args) {
	switch {
	case a.flag("cancel"):
		w.cancelOn(a["id"])
	case a.flag("once"):
		// Its user gives up.
		body := w.Body(a)
		w.jobs[a["id"]].submitted = true
		w.request("user", w.entryNode(), "POST", "/submissions", body, userCallTimeout, func(int, []byte) {})
	default:
		w.submitOn(a)
	}
}

func answerOf(w *World, a Args) string {
	w.settled(a.dur("within", "70s"))
	got := w.answers[a["of"]+" "+a["id"]]
	if status, _, _ := strings.Cut(got, " "); a.flag("accepted") && (status == "200" || status == "201") {
		return "accepted"
	}
	return got
}

// pollTimeout is how long users wait for the answer to a question.
const pollTimeout = 2 * time.Second

func pollStorm(w *World, a Args) string {
	ids := w.accepted()
	count, over := int(a.num("count", "1")), a.dur("over", "5s")
	answered := 0
	for range count {
		id := ids[w.rng.IntN(len(ids))]
		w.after(w.between(0, over), func() {
			n := w.entryNode()
			for !n.up {
				n = w.entryNode() // the load balancer passes over it
			}
			asked := w.now
			w.request("user", n, "GET", "/submissions/"+id, nil, pollTimeout, func(status int, body []byte) {
				w.check.answered(asked, id, status, phaseIn(body))
				w.check.polled(id, status)
				if status == 200 {
					answered++
				}
			})
		})
	}
	w.Run(over + pollTimeout)
	return fmt.Sprintf("%d of %d answered", answered, count)
}

func untilPhase(w *World, a Args) string {
	phase := ""
	for end := w.now + a.dur("within", "60s"); w.now < end; w.Run(500 * time.Millisecond) {
		if _, phase = w.Poll(a["id"]); phase == a["phase"] {
			return phase
		}
	}
	return "still " + phase
}

func untilAllDone(w *World, a Args) string {
	done := 0
	for end := w.now + a.dur("within", "60s"); w.now < end; w.Run(time.Second) {
		done = 0
		for _, id := range w.accepted() {
			if w.check.acknowledged[id] != "done" {
				w.Poll(id)
			}
			if w.check.acknowledged[id] == "done" {
				done++
			}
		}
		if done == len(w.accepted()) {
			break
		}
	}
	return fmt.Sprintf("%d done", done)
}

// chooseEntry chooses the controller that users ask.
func chooseEntry(w *World, a Args, _ string) (string, error) {
	if a.flag("any") {
		w.users = nil
		return "ok", nil
	}
	if a.flag("node") {
		n, err := w.one(a)
		if err != nil {
			return "", err
		}
		w.users = n
		return "ok", nil
	}
	for _, n := range w.nodes {
		if n != w.Leader() {
			w.users = n
		}
	}
	return "ok", nil
}
