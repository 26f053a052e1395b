package simtest

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"lugward/internal/event"
)

// answerFunc handles the response to a call: its status and the value that its body encodes.
type answerFunc func(status int, response any)

// sendCall sends a call of the controller. The controller gets one result, with status 0 if
// there is no response within the timeout. It gets none if this incarnation has ended by then.
func (process *controllerProcess) sendCall(call event.Call, incarnation int) {
	answered := false
	finish := func(status int, body []byte) {
		if answered || !process.up || process.incarnation != incarnation {
			return
		}
		answered = true
		body = process.world.network.addUnknownFields(body)
		process.world.observe(Message{From: call.Addr, To: process.name, Path: call.Path, Status: status, Body: body})
		process.step(func(now event.Time) {
			process.controller.HandleCallResult(now, event.CallResult{ID: call.ID, Status: status, Body: body}, &process.effects)
		})
	}
	process.world.schedule(call.Timeout, func() { finish(0, nil) })
	receiver, serve := process.serverOf(call)
	if serve == nil || receiver == "state" && process.withheldFromStateService(call) {
		return
	}
	there, back := process.world.network.callDelays(receiver)
	process.world.network.sendDelayed(there, process.name, receiver, func() {
		serve(func(status int, response any) {
			body, _ := json.Marshal(response)
			process.world.network.sendDelayed(back, receiver, process.name, func() { finish(status, body) })
		})
		// The network may deliver a request twice: the copy is executed later.
		if call.Method == "POST" && process.world.random.Float64() < process.world.network.copies.calls {
			delay := time.Duration(process.world.random.Int64N(int64(maxRepeatDelay)))
			process.world.schedule(delay, func() { serve(func(int, any) {}) })
		}
	})
}

// maxRepeatDelay is the maximum delay of the second execution of a call.
const maxRepeatDelay = 20 * time.Second

// serverOf returns the name of the receiver of a call and the function that serves it, or nil
// if no receiver has this address.
func (process *controllerProcess) serverOf(call event.Call) (receiver string, serve func(answer answerFunc)) {
	switch call.Addr {
	case stateAddr:
		return "state", func(answer answerFunc) { process.callStateService(call, answer) }
	case cloudAddr:
		return "cloud", func(answer answerFunc) { process.world.cloud.serve(call.Method, call.Path, call.Body, answer) }
	}
	worker := process.world.workers[call.Addr]
	if worker == nil {
		return "", nil
	}
	return worker.name, func(answer answerFunc) { worker.serve(call.Path, call.Body, answer) }
}

// callStateService passes a call to the state service, or rejects it if the state service
// denies this controller.
func (process *controllerProcess) callStateService(call event.Call, answer answerFunc) {
	if process.denied {
		answer(http.StatusServiceUnavailable, unavailable)
		return
	}
	process.world.stateService.serve(call.Method, call.Path, call.Body, func(status int, response any) {
		if !process.denied { // a watch that was opened before the denial gets no response
			answer(status, response)
		}
	})
}

// withheldFromStateService reports whether a call to the state service gets no response
// because of an injected fault of this controller.
func (process *controllerProcess) withheldFromStateService(call event.Call) bool {
	return process.delayTransaction(call) || process.watchBlocked && strings.HasPrefix(call.Path, watchPath)
}

// delayTransaction selects some transactions that get no response and are executed late. It
// reports whether it selected this call. The preconditions are checked at the time of the
// execution. During an outage of the state service, the execution waits for its end.
func (process *controllerProcess) delayTransaction(call event.Call) bool {
	world := process.world
	reachesService := !process.denied && !world.stateService.down && !world.network.cutLinks[link{process.name, "state"}]
	if call.Path != transactionPath || !reachesService || !world.chance(world.network.lateWriteShare) {
		return false
	}
	var execute func()
	execute = func() {
		if world.stateService.down {
			world.schedule(100*time.Millisecond, execute)
			return
		}
		world.stateService.expireLeases()
		world.stateService.commit(call.Body)
	}
	world.schedule(world.randomDuration(minDelay, maxDelay), execute)
	return true
}
