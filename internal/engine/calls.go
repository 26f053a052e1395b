package engine

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

const (
	// A cut-off address answers nothing; the dial must not outlive the call.
	dialTimeout = 1500 * time.Millisecond
	maxResponse = 8 << 20 // follow responses have no size limit of their own
)

func (e *engine) startCall(call event.Call) {
	e.expiry[call.ID] = e.now() + call.Timeout
	if list := e.idle[call.Addr]; len(list) > 0 {
		c := list[len(list)-1]
		e.idle[call.Addr] = list[:len(list)-1]
		e.unrest(c)
		e.issue(c, call)
		return
	}
	e.calls[call.ID] = nil
	e.dial(&conn{kind: kindCall, addr: call.Addr, call: call})
}

func (e *engine) issue(c *conn, call event.Call) {
	c.call, c.busy, c.since = call, true, e.now()
	e.calls[call.ID] = c
	_, _ = c.g.Write(httpwire.AppendRequest(nil, call.Method, call.Path, call.Addr, call.Body))
}

func (e *engine) finishCall(id uint64, status int, body []byte) {
	if _, ok := e.expiry[id]; !ok {
		return
	}
	delete(e.expiry, id)
	c := e.calls[id]
	delete(e.calls, id)
	if c != nil {
		c.busy = false
		if status == 0 || c.close {
			e.drop(c) // a late response must not meet the next request
		} else {
			c.since = e.now()
			e.keep(c)
		}
	}
	done := event.CallDone{ID: id, Status: status, Body: body}
	e.step(func() { e.core.CallDone(e.now(), done, &e.out) })
}

// dial connects outside the loop and hands the connection to it.
func (e *engine) dial(c *conn) {
	go func() {
		d := net.Dialer{Timeout: dialTimeout}
		nc, err := d.Dial("tcp", c.addr)
		if err == nil {
			var res <-chan gnet.RegisteredResult
			if res, err = e.eventLoop().Enroll(gnet.NewContext(context.Background(), c), nc); err == nil {
				err = (<-res).Err
			}
		}
		if err != nil {
			_ = e.eventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
				e.dialFailed(c)
				return nil
			}))
		}
	}()
}

func (e *engine) dialFailed(c *conn) {
	if c.kind == kindPeerOut {
		e.peers[c.peer].busy = false
		return
	}
	e.finishCall(c.call.ID, 0, nil)
}

// unkeep takes a connection that ends off those that calls may use.
func (e *engine) unkeep(c *conn) {
	if list := slices.DeleteFunc(e.idle[c.addr], func(o *conn) bool { return o == c }); len(list) > 0 {
		e.idle[c.addr] = list
	} else {
		delete(e.idle, c.addr)
	}
}

// keep puts an outgoing connection by for the next call to its address.
func (e *engine) keep(c *conn) {
	e.idle[c.addr] = append(e.idle[c.addr], c)
	c.rest = e.spare.PushBack(c)
}

func (e *engine) readResponse(c *conn) gnet.Action {
	in, _ := c.g.Peek(-1)
	if !c.busy {
		return gnet.Close // nobody asked
	}
	m, n, err := httpwire.ParseResponse(in, maxResponse)
	if errors.Is(err, httpwire.ErrIncomplete) {
		return gnet.None
	}
	if err != nil {
		return gnet.Close
	}
	body := append([]byte(nil), m.Body...)
	_, _ = c.g.Discard(n)
	c.close = m.Close
	e.finishCall(c.call.ID, m.Status, body)
	return gnet.None
}
