package simtest

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"lugward/internal/event"
)

// answerFunc takes the status of an answer and what its body encodes.
type answerFunc func(status int, response any)

// sendCall sends a request of a controller. It is answered once, with status 0 where no
// answer comes in time, and never if the controller has ended by then.
func (process *controllerProcess) sendCall(call event.Call, incarnation int) {
	answered := false
	finish := func(status int, body []byte) {
		if answered || !process.up || process.incarnation != incarnation {
			return
		}
		answered = true
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
	there, back := process.world.network.commandDelays(receiver)
	process.world.network.sendDelayed(there, process.name, receiver, func() {
		serve(func(status int, response any) {
			body, _ := json.Marshal(response)
			process.world.network.sendDelayed(back, receiver, process.name, func() { finish(status, body) })
		})
		// A repeat of what was carried out, as the network may make it.
		if call.Method == "POST" && process.world.random.Float64() < process.world.network.lateRepeatShare {
			delay := time.Duration(process.world.random.Int64N(int64(maxRepeatDelay)))
			process.world.schedule(delay, func() { serve(func(int, any) {}) })
		}
	})
}

// maxRepeatDelay is how late a call may be carried out once more.
const maxRepeatDelay = 20 * time.Second

// serverOf is the name of whom a call goes to and what answers it there, nil if nobody has
// its address.
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

// callStateService lets the state service answer a call, unless it refuses this controller.
func (process *controllerProcess) callStateService(call event.Call, answer answerFunc) {
	if process.denied {
		answer(http.StatusServiceUnavailable, unavailable)
		return
	}
	process.world.stateService.serve(call.Method, call.Path, call.Body, func(status int, response any) {
		if !process.denied { // else an open watch waits on
			answer(status, response)
		}
	})
}

// withheldFromStateService reports whether a call to the state service gets no answer because
// of a fault of this controller's.
func (process *controllerProcess) withheldFromStateService(call event.Call) bool {
	return process.delayTransaction(call) || process.watchBlocked && strings.HasPrefix(call.Path, watchPath)
}

// delayTransaction lets a transaction go unanswered and be executed late, judged by its
// conditions then. In an outage it waits in the service for its end.
func (process *controllerProcess) delayTransaction(call event.Call) bool {
	world := process.world
	reachesService := !process.denied && !world.stateService.down && !world.network.cutLinks[link{process.name, "state"}]
	if call.Path != transactionPath || !reachesService || !world.chance(world.network.lateWrites) {
		return false
	}
	var carryOut func()
	carryOut = func() {
		if world.stateService.down {
			world.schedule(100*time.Millisecond, carryOut)
			return
		}
		world.stateService.expireLeases()
		world.stateService.commit(call.Body)
	}
	world.schedule(world.randomDuration(minDelay, maxDelay), carryOut)
	return true
}
