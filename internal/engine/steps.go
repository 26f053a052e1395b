package engine

import "lugward/internal/event"

// input is one input of the state machine, with what is needed to deliver it.
type input interface {
	// deliver hands the input to the state machine, which adds its effects to
	// e.steps.effects.
	deliver(e *engine)
}

// stepQueue runs inputs through the state machine one after the other. Carrying out
// the effects of one input may raise others, which wait until that is finished.
type stepQueue struct {
	effects event.Effects
	running bool
	waiting []input // raised during the present step
}

// tickInput lets time pass.
type tickInput struct{ now event.Time }

func (in tickInput) deliver(e *engine) { e.stateMachine.Tick(in.now, &e.steps.effects) }

// callResultInput is the outcome of a call.
type callResultInput struct{ result event.CallResult }

func (in callResultInput) deliver(e *engine) {
	e.stateMachine.HandleCallResult(e.now(), in.result, &e.steps.effects)
}

// frameInput is a frame of another controller.
type frameInput struct{ frame event.PeerFrame }

func (in frameInput) deliver(e *engine) {
	e.stateMachine.HandleFrame(e.now(), in.frame, &e.steps.effects)
}

// requestInput is a connection on which a request may have arrived.
type requestInput struct{ connection *connection }

func (in requestInput) deliver(e *engine) { e.readRequest(in.connection) }

// step runs one input through the state machine and carries out the effects; inputs
// raised meanwhile follow in order. Within a step the input waits for its turn.
func (e *engine) step(in input) {
	if e.steps.running {
		e.steps.waiting = append(e.steps.waiting, in)
		return
	}
	e.steps.running = true
	in.deliver(e)
	e.perform()
	for len(e.steps.waiting) > 0 {
		next := e.steps.waiting[0]
		e.steps.waiting = e.steps.waiting[1:]
		next.deliver(e)
		e.perform()
	}
	e.steps.running = false
}

// perform carries out the effects of a step.
func (e *engine) perform() {
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
