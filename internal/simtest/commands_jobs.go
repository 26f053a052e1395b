package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
)

// commonJobParameters describe a job, whatever its ID.
var commonJobParameters = []parameter{
	textParameter("team", "red if absent"),
	textParameter("class", "class of jobs, c if absent"),
	choiceParameter("shape", "array if absent", "array", "gang", "daemon"),
	textParameter("priority", "normal if absent"),
	numberParameter("tasks", "number of tasks, 1 if absent"),
	numberParameter("cpus", "of each task, 1 if absent"),
	numberParameter("gpus", "of each task, 0 if absent"),
	numberParameter("memory", "GB of each task, 1 if absent"),
	textParameter("types", "machine types that fit, joined by +"),
	textParameter("zone", "the zone to run in"),
	flagParameter("same_zone", "all tasks run in one zone"),
	flagParameter("scatter", "at most half of the tasks run in one zone"),
	flagParameter("spot", "may run on spot machines"),
	flagParameter("broken", "every task fails on every machine; any shape may be broken"),
	numberParameter("broken_task", "number of the only task that fails on every machine"),
	durationParameter("run", "what each task takes, 5s if absent"),
	textParameter("image_name", "name of the image"),
	durationParameter("image", "time to fetch the image, 1s if absent"),
	durationParameter("checkpoint", "interval of checkpoints, none if absent"),
	durationParameter("checkpoint_cost", "duration of a checkpoint, 1s if absent"),
	jobIDsParameter("awaits", "upstream jobs joined by +; req-000100*3000 stands for so many, counted up"),
}

var (
	jobParameters      = withParameters(commonJobParameters, required(textParameter("id", "job ID")))
	jobIDParameters    = []parameter{required(textParameter("id", "job ID"))}
	jobRangeParameters = withParameters(commonJobParameters,
		numberParameter("from", "number of the first ID, 1 if absent"),
		numberParameter("count", "jobs"))
	requestMethods = choiceParameter("method", "POST if absent", "GET", "POST", "PUT", "DELETE")
)

// jobCommands submit and cancel jobs.
var jobCommands = map[string]command{
	"submit": {
		usage:      "submits a job and repeats that as users do; prints status and phase",
		parameters: jobParameters,
		run: printing(func(world *World, arguments Arguments) string {
			return statusAndPhase(world.users.Submit(arguments))
		}),
	},
	"accept": {
		usage:      "submits a job that is to be accepted, at the first attempt or later",
		parameters: jobParameters,
		run:        printing(acceptJob),
	},
	"burst": {
		usage: "submits many jobs alike",
		parameters: withParameters(
			jobRangeParameters,
			flagParameter("once", "all at the same moment"),
			durationParameter("within", "with once: time in which all must be answered"),
		),
		run: printing(burst),
	},
	"job": {
		usage:      "registers a job with the workers without submitting it",
		parameters: jobParameters,
		run:        acting(registerUnsubmittedJob),
	},
	"send": {
		usage: "sends one submission whose upstream list is the input",
		parameters: withParameters(
			jobParameters,
			controllerParameter("the controller to ask, any if absent"),
		),
		run: sendSubmission,
	},
	"request": {
		usage: "sends the input as one request to n0 and prints the status",
		parameters: []parameter{
			requestMethods,
			required(textParameter("path", "path")),
		},
		run: printingWithInput(rawRequest),
	},
	"begin": {
		usage: "submits a job without waiting for the answer",
		parameters: withParameters(
			jobParameters,
			flagParameter("cancel", "cancels instead"),
			flagParameter("once", "the user does not repeat it"),
		),
		run: acting(beginRequest),
	},
	"answer": {
		usage: "prints the answer to what begin sent",
		parameters: withParameters(
			jobIDParameters,
			required(choiceParameter("of", "request", "submit", "cancel")),
			flagParameter("accepted", "prints accepted for 200 and 201"),
			durationParameter("within", "70s if absent"),
		),
		run: printing(answerOf),
	},
	"cancel": {
		usage:      "cancels a job; prints status and phase",
		parameters: jobIDParameters,
		run: printing(func(world *World, arguments Arguments) string {
			return statusAndPhase(world.users.Cancel(arguments["id"]))
		}),
	},
	"cancel_soon": {
		usage:      "cancels a job without waiting for the answer",
		parameters: jobIDParameters,
		run:        acting(func(world *World, arguments Arguments) { world.users.cancelInBackground(arguments["id"]) }),
	},
}

// printingWithInput is printing for what takes the input of the command.
func printingWithInput(output func(world *World, arguments Arguments, input string) string) commandFunc {
	return func(world *World, arguments Arguments, input string) (string, error) {
		return output(world, arguments, input), nil
	}
}

// statusAndPhase is how commands print an answer.
func statusAndPhase(status int, phase string) string { return fmt.Sprintf("%d %s", status, phase) }

// isAccepted reports whether the status of an answer means that a job is accepted.
func isAccepted(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// jobID is the ID of a job by its number.
func jobID(number int) string { return fmt.Sprintf("req-%06d", number) }

// acceptJob is a submission that is accepted at the first attempt or later.
func acceptJob(world *World, arguments Arguments) string {
	if status, phase := world.users.Submit(arguments); !isAccepted(status) {
		return statusAndPhase(status, phase)
	}
	return "accepted"
}

// burst submits many jobs alike, at the same moment or one after the other.
func burst(world *World, arguments Arguments) string {
	if arguments.has("once") {
		return world.users.submitAtOnce(arguments)
	}
	count := 0
	for i := range int(arguments.number("count", "1")) {
		one := maps.Clone(arguments)
		one["id"] = jobID(int(arguments.number("from", "1")) + i)
		if status, _ := world.users.Submit(one); isAccepted(status) {
			count++
		}
	}
	return fmt.Sprintf("%d accepted", count)
}

// registerUnsubmittedJob registers a job with the workers only.
func registerUnsubmittedJob(world *World, arguments Arguments) {
	world.users.registerJob(arguments)
	world.jobs[arguments["id"]].submitted = true
}

// sendSubmission sends a submission whose upstream list is the input, once.
func sendSubmission(world *World, arguments Arguments, input string) (string, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(world.users.registerJob(arguments), &fields); err != nil {
		return "", err
	}
	fields["awaits"] = json.RawMessage(strings.TrimSpace(input))
	body, err := json.Marshal(fields)
	if err != nil {
		return "", err
	}
	process := world.users.chooseEntryController()
	if arguments.has("node") {
		if process, err = world.selectController(arguments); err != nil {
			return "", err
		}
	}
	asked := world.now
	status, phase := world.users.requestAndWait(process, submitRequest(body))
	if isAccepted(status) {
		world.jobs[arguments["id"]].submitted = true
	}
	world.checker.checkAnswer(asked, arguments["id"], status, phase)
	return strings.TrimSpace(statusAndPhase(status, phase)), nil
}

// rawRequest sends the input as a request to the first controller.
func rawRequest(world *World, arguments Arguments, input string) string {
	status, _ := world.users.requestAndWait(world.controllers[0], userRequest(arguments.text("method", "POST"), arguments["path"], []byte(input)))
	return strconv.Itoa(status)
}

// beginRequest sends a request and waits for no answer.
func beginRequest(world *World, arguments Arguments) {
	switch {
	case arguments.has("cancel"):
		world.users.cancelRecorded(arguments["id"])
	case arguments.has("once"):
		// Its user gives up.
		body := world.users.registerJob(arguments)
		world.jobs[arguments["id"]].submitted = true
		world.network.request(world.users.chooseEntryController(), submitRequest(body), func(int, []byte) {})
	default:
		world.users.submitRecorded(arguments)
	}
}

// answerOf waits for the answer to a request that beginRequest sent.
func answerOf(world *World, arguments Arguments) string {
	world.users.waitForRecordedAnswers(arguments.duration("within", "70s"))
	got := world.users.recordedAnswers[arguments["of"]+" "+arguments["id"]]
	if status, _, _ := strings.Cut(got, " "); arguments.has("accepted") && (status == "200" || status == "201") {
		return "accepted"
	}
	return got
}
