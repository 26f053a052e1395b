package simtest

import (
	"net/http"
	"time"

	"lugward/internal/event"
	"lugward/internal/jsonwire/jsonwiretest"
)

// callDelays draws the delays of a controller's call and of its response.
func (network *fakeNetwork) callDelays(receiver string) (requestDelay, responseDelay time.Duration) {
	if receiver == "state" && network.maxStateServiceDelay > 0 {
		return 0, network.world.randomDuration(0, network.maxStateServiceDelay)
	}
	if receiver == "state" || receiver == "cloud" || !network.world.chance(network.delayedCommandShare) {
		return 0, 0
	}
	if network.world.random.IntN(2) == 0 {
		return network.world.randomDuration(time.Second, maxDelay), 0
	}
	return 0, network.world.randomDuration(time.Second, maxDelay)
}

// heartbeatDelays draws the controller that receives a heartbeat, and the delays of the
// heartbeat and of its response. The delays may exceed the timeout of the worker.
func (network *fakeNetwork) heartbeatDelays(process *controllerProcess, path string) (receiver *controllerProcess, requestDelay, responseDelay time.Duration) {
	if path != heartbeatPath || !network.world.chance(network.delayedHeartbeatShare) {
		return process, 0, 0
	}
	switch network.world.random.IntN(4) {
	case 0:
		return process, 0, network.world.randomDuration(time.Second, maxDelay/2)
	case 1:
		return process, network.world.randomDuration(500*time.Millisecond, heartbeatTimeout), 0
	case 2:
		return process, network.world.randomDuration(minDelay, maxDelay), 0
	}
	lease := seconds(network.world.config.Settings.Workers.LeaseS)
	return network.world.randomController(), network.world.randomDuration(minDelay, 2*lease), 0
}

// httpRequest is a request to a controller.
type httpRequest struct {
	from    string // name of the sender
	method  string
	path    string
	body    []byte
	timeout time.Duration // how long the sender waits for the response
}

// request sends an HTTP request to a controller. It calls answer once, with status 0 if there
// is no response.
func (network *fakeNetwork) request(process *controllerProcess, request httpRequest, answer func(status int, body []byte)) {
	request.body = network.addUnknownFields(request.body)
	answered := false
	answerOnce := func(status int, body []byte) {
		if !answered {
			answered = true
			answer(status, body)
		}
	}
	network.world.schedule(request.timeout, func() { answerOnce(0, nil) })
	if network.cutLinks[link{request.from, process.name}] && network.world.chance(network.refusedWhenCutShare) {
		network.world.schedule(time.Millisecond, func() { answerOnce(0, nil) })
		return
	}
	receiver, requestDelay, responseDelay := network.heartbeatDelays(process, request.path)
	network.sendDelayed(requestDelay, request.from, receiver.name, func() {
		receiver.handleRequest(request, func(status int, body []byte) {
			if status == 0 {
				answerOnce(0, nil)
				return
			}
			if receiver != process {
				return
			}
			deliver := func() { answerOnce(status, body) }
			network.sendDelayed(responseDelay, process.name, request.from, deliver)
			if request.path == heartbeatPath {
				network.repeatLater(network.copies.responses, body, deliver)
			}
		})
	})
	if request.path == heartbeatPath && network.world.random.Float64() < network.copies.heartbeats {
		network.deliverDuplicate(request)
	}
}

// storedValueField is the field of the state service's responses that holds a stored value.
const storedValueField = "data"

// addUnknownFields adds fields that controllers must ignore to some of the messages to them,
// among them fields whose names differ from known ones only in case. Stored values are left
// alone, since controllers keep such fields when they rewrite a record.
func (network *fakeNetwork) addUnknownFields(body []byte) []byte {
	if !network.world.chance(network.unknownFieldShare) {
		return body
	}
	return jsonwiretest.AddUnknownFields(body, storedValueField)
}

// deliverDuplicate delivers a copy of a request to a random controller after a random delay.
// The response is discarded.
func (network *fakeNetwork) deliverDuplicate(request httpRequest) {
	receiver := network.world.randomController()
	delay := time.Duration(network.world.random.Int64N(int64(network.copies.heartbeatDelay)))
	network.world.schedule(delay, func() { receiver.handleRequest(request, func(int, []byte) {}) })
}

// handleRequest passes a request to the controller. If the controller is down, the request
// fails with status 0.
func (process *controllerProcess) handleRequest(request httpRequest, answer func(status int, body []byte)) {
	if !process.up {
		answer(0, nil)
		return
	}
	process.lastRequest++
	id := process.lastRequest
	process.pendingRequests[id] = answer
	process.world.observe(Message{From: request.from, To: process.name, Method: request.method, Path: request.path, Body: request.body})
	process.step(func(now event.Time) {
		limitReached := request.path == heartbeatPath && process.connectWorker(request.from, id)
		process.controller.HandleRequest(now, event.Request{Conn: id, Method: request.method, Path: request.path, Body: request.body,
			ConnectionLimitReached: limitReached}, &process.effects)
	})
}

// connectWorker records that a worker is connected to this controller and to no other. It
// reports whether the controller now exceeds its limit of worker connections; if so, the
// connection is closed after the response. It is also closed if the response redirects the
// worker to another controller.
func (process *controllerProcess) connectWorker(worker string, request uint64) (limitReached bool) {
	for _, other := range process.world.controllers {
		delete(other.connectedWorkers, worker)
	}
	process.connectedWorkers[worker] = true
	limitReached = process.world.network.maxWorkerConnections > 0 && len(process.connectedWorkers) > process.world.network.maxWorkerConnections
	answer := process.pendingRequests[request]
	process.pendingRequests[request] = func(status int, body []byte) {
		if limitReached || status == http.StatusMisdirectedRequest {
			delete(process.connectedWorkers, worker)
		}
		answer(status, body)
	}
	return limitReached
}
