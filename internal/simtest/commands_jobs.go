package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"

	"lugward/internal/jsonwire"
)

// commonJobParameters describe a job without its ID.
var commonJobParameters = []parameter{
	textParameter("team", "red if absent"),
	textParameter("class", "job class, c if absent"),
	choiceParameter("shape", "array if absent", "array", "gang", "daemon"),
	textParameter("priority", "normal if absent"),
	numberParameter("tasks", "number of tasks, 1 if absent"),
	numberParameter("cpus", "of each task, 1 if absent"),
	numberParameter("gpus", "of each task, 0 if absent"),
	numberParameter("memory", "memory of each task in GB, 1 if absent"),
	textParameter("types", "acceptable machine types, joined by +"),
	textParameter("zone", "zone that the job must run in"),
	flagParameter("same_zone", "all tasks must run in the same zone"),
	flagParameter("scatter", "at most half of the tasks may run in one zone"),
	flagParameter("spot", "may run on spot machines"),
	flagParameter("broken", "every task fails on every machine; allowed for every shape"),
	numberParameter("broken_task", "index of the one task that fails on every machine"),
	durationParameter("run", "run time of each task, 5s if absent"),
	textParameter("image_name", "name of the image"),
	durationParameter("image", "time to fetch the image, 1s if absent"),
	durationParameter("checkpoint", "interval of checkpoints, none if absent"),
	durationParameter("checkpoint_cost", "duration of a checkpoint, 1s if absent"),
	jobIDsParameter("awaits", "upstream jobs joined by +; req-000100*3000 means 3000 consecutive IDs from req-000100 on"),
}

var (
	jobParameters      = withParameters(commonJobParameters, required(textParameter("id", "job ID")))
	jobIDParameters    = []parameter{required(textParameter("id", "job ID"))}
	jobRangeParameters = withParameters(commonJobParameters,
		numberParameter("from", "number of the first job ID, 1 if absent"),
		numberParameter("count", "number of jobs"))
	requestMethods = choiceParameter("method", "POST if absent", "GET", "POST", "PUT", "DELETE")
)

// jobCommands submit and cancel jobs.
var jobCommands = map[string]command{
	"submit": {
		usage:      "submits a job with the retries of a user; prints status and phase",
		parameters: jobParameters,
		run: printCommand(func(world *World, arguments Arguments) string {
			return statusAndPhase(world.users.Submit(arguments))
		}),
	},
	"submit_accepted": {
		usage:      `submits a job with the retries of a user; prints "accepted" for 200 and 201`,
		parameters: jobParameters,
		run:        printCommand(submitAccepted),
	},
	"burst": {
		usage: "submits many jobs with the same arguments",
		parameters: withParameters(
			jobRangeParameters,
			flagParameter("simultaneous", "submits all jobs at the same time"),
			durationParameter("within", "with simultaneous: time within which all requests must be answered"),
		),
		run: printCommand(burst),
	},
	"register_job": {
		usage:      "registers a job with the workers without submitting it",
		parameters: jobParameters,
		run:        actionCommand(registerUnsubmittedJob),
	},
	"submit_upstreams": {
		usage: "sends one submission, without retries, whose upstream list is the input",
		parameters: withParameters(
			jobParameters,
			controllerParameter("controller that receives the request, any if absent"),
		),
		run: submitUpstreams,
	},
	"request": {
		usage: "sends the input as one request to n0 and prints the status",
		parameters: []parameter{
			requestMethods,
			required(textParameter("path", "path")),
		},
		run: printCommandWithInput(sendRequest),
	},
	"request_async": {
		usage: "sends a submission or cancellation without waiting for the response",
		parameters: withParameters(
			jobParameters,
			flagParameter("cancel", "cancels the job instead of submitting it"),
			flagParameter("no_retry", "the user does not retry the request"),
		),
		run: actionCommand(requestAsync),
	},
	"answer": {
		usage: "waits for the response to a request of request_async and prints it",
		parameters: withParameters(
			jobIDParameters,
			required(choiceParameter("to", "kind of request", "submit", "cancel")),
			flagParameter("accepted", "prints accepted for 200 and 201"),
			durationParameter("within", "70s if absent"),
		),
		run: printCommand(awaitAnswer),
	},
	"cancel": {
		usage:      "cancels a job with the retries of a user; prints status and phase",
		parameters: jobIDParameters,
		run: printCommand(func(world *World, arguments Arguments) string {
			return statusAndPhase(world.users.Cancel(arguments["id"]))
		}),
	},
	"cancel_async": {
		usage:      "cancels a job without waiting for the response",
		parameters: jobIDParameters,
		run:        actionCommand(func(world *World, arguments Arguments) { world.users.cancelInBackground(arguments["id"]) }),
	},
}

// printCommandWithInput is like printCommand, but output also gets the input of the command.
func printCommandWithInput(output func(world *World, arguments Arguments, input string) string) commandFunc {
	return func(world *World, arguments Arguments, input string) (string, error) {
		return output(world, arguments, input), nil
	}
}

// statusAndPhase formats a response as commands print it.
func statusAndPhase(status int, phase string) string { return fmt.Sprintf("%d %s", status, phase) }

// isAccepted reports whether the status of a response means that the job is accepted.
func isAccepted(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// jobID returns the job ID with the given number.
func jobID(number int) string { return fmt.Sprintf("req-%06d", number) }

// submitAccepted submits a job. It returns "accepted" if the response is 200 or 201, and
// otherwise the status and the phase.
func submitAccepted(world *World, arguments Arguments) string {
	if status, phase := world.users.Submit(arguments); !isAccepted(status) {
		return statusAndPhase(status, phase)
	}
	return "accepted"
}

// burst submits many jobs with the same arguments, simultaneously or one after the other.
func burst(world *World, arguments Arguments) string {
	if arguments.has("simultaneous") {
		return world.users.submitBurst(arguments)
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

// registerUnsubmittedJob registers a job with the workers without submitting it.
func registerUnsubmittedJob(world *World, arguments Arguments) {
	world.users.registerJob(arguments)
	world.jobs[arguments["id"]].submitted = true
}

// submitUpstreams sends one submission, without retries, whose upstream list is the input.
func submitUpstreams(world *World, arguments Arguments, input string) (string, error) {
	var fields map[string]json.RawMessage
	if err := jsonwire.Unmarshal(world.users.registerJob(arguments), &fields); err != nil {
		return "", err
	}
	fields["awaits"] = json.RawMessage(strings.TrimSpace(input))
	body, err := json.Marshal(fields)
	if err != nil {
		return "", err
	}
	process := world.users.chooseEntryController()
	if arguments.has("controller") {
		if process, err = world.selectController(arguments); err != nil {
			return "", err
		}
	}
	sentAt := world.now
	status, phase := world.users.requestAndWait(process, submitRequest(body))
	if isAccepted(status) {
		world.jobs[arguments["id"]].submitted = true
	}
	world.checker.checkAnswer(sentAt, arguments["id"], status, phase)
	return strings.TrimSpace(statusAndPhase(status, phase)), nil
}

// sendRequest sends the input as a request to the first controller.
func sendRequest(world *World, arguments Arguments, input string) string {
	status, _ := world.users.requestAndWait(world.controllers[0], userRequest(arguments.text("method", "POST"), arguments["path"], []byte(input)))
	return strconv.Itoa(status)
}

// requestAsync sends a submission or a cancellation without waiting for the response.
func requestAsync(world *World, arguments Arguments) {
	switch {
	case arguments.has("cancel"):
		world.users.cancelRecorded(arguments["id"])
	case arguments.has("no_retry"):
		// The response is ignored, so the user does not retry.
		body := world.users.registerJob(arguments)
		world.jobs[arguments["id"]].submitted = true
		world.network.request(world.users.chooseEntryController(), submitRequest(body), func(int, []byte) {})
	default:
		world.users.submitRecorded(arguments)
	}
}

// awaitAnswer waits for the response to a request that requestAsync sent.
func awaitAnswer(world *World, arguments Arguments) string {
	world.users.waitForRecordedAnswers(arguments.duration("within", "70s"))
	got := world.users.recordedAnswers[arguments["to"]+" "+arguments["id"]]
	if status, _, _ := strings.Cut(got, " "); arguments.has("accepted") && (status == "200" || status == "201") {
		return "accepted"
	}
	return got
}
