package engine

import "lugward/internal/event"

// input is one input of the state machine, with the data needed to deliver it.
type input interface {
	// deliver passes the input to the state machine, which appends its effects to
	// e.steps.effects.
	deliver(e *engine)
}

// stepQueue runs the inputs through the state machine one at a time. Applying the
// effects of one input may produce further inputs, which are queued until the current
// step has finished.
type stepQueue struct {
	effects event.Effects
	running bool
	pending []input // produced during the current step
}

// tickInput is a tick of the clock.
type tickInput struct{ now event.Time }

func (in tickInput) deliver(e *engine) { e.stateMachine.Tick(in.now, &e.steps.effects) }

// callResultInput is the outcome of a call.
type callResultInput struct{ result event.CallResult }

func (in callResultInput) deliver(e *engine) {
	e.stateMachine.HandleCallResult(e.now(), in.result, &e.steps.effects)
}

// frameInput is a frame from another controller.
type frameInput struct{ frame event.PeerFrame }

func (in frameInput) deliver(e *engine) {
	e.stateMachine.HandleFrame(e.now(), in.frame, &e.steps.effects)
}

// requestInput is a connection on which a request may have arrived.
type requestInput struct{ connection *connection }

func (in requestInput) deliver(e *engine) { e.readRequest(in.connection) }

// step runs one input through the state machine and applies its effects, followed by
// the inputs that this produces, in order. If a step is already running, the input is
// queued.
func (e *engine) step(in input) {
	if e.steps.running {
		e.steps.pending = append(e.steps.pending, in)
		return
	}
	e.steps.running = true
	in.deliver(e)
	e.applyEffects()
	for len(e.steps.pending) > 0 {
		next := e.steps.pending[0]
		e.steps.pending = e.steps.pending[1:]
		next.deliver(e)
		e.applyEffects()
	}
	e.steps.running = false
}

// applyEffects sends the replies, calls and frames of a step.
func (e *engine) applyEffects() {
	effects := &e.steps.effects
	for _, r := range effects.Replies {
		e.reply(r)
	}
	for _, c := range effects.Calls {
		e.startCall(c)
	}
	for _, f := range effects.Frames {
		e.sendFrame(f)
	}
	effects.Reset()
}
