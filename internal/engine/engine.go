// Package engine is the only place with sockets, clocks and timers. It runs
// the core on one gnet event loop: every input becomes a Step, every effect
// becomes output.
package engine

import (
	"container/list"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// Core is the state machine that the engine drives.
type Core interface {
	// Clock tells the time of day before each Tick.
	Clock(now event.Time, wall time.Time)
	Tick(now event.Time, out *event.Effects)
	Request(now event.Time, r event.Request, out *event.Effects)
	CallDone(now event.Time, d event.CallDone, out *event.Effects)
	Frame(now event.Time, f event.PeerFrame, out *event.Effects)
}

// Config says where to listen and what to bound.
type Config struct {
	Bind, PeerBind string
	Peers          []string // endpoints, in the order of the core's peer indices
	MaxConnections int
}

const (
	tickEvery = 50 * time.Millisecond
	// A cut-off address answers nothing; the dial must not outlive the call.
	dialTimeout = 1500 * time.Millisecond
	idleOut     = 20 * time.Second  // an unused outgoing connection is closed
	idleIn      = 150 * time.Second // an unused incoming connection is closed
	halfRequest = 10 * time.Second  // a request must arrive whole within this
	redialEvery = time.Second
	maxResponse = 8 << 20   // follow responses have no size limit of their own
	maxUnsent   = 512 << 10 // a reader this far behind is dropped
	maxFrame    = 128 << 10
	// For outgoing connections there is always capacity for some more than are in
	// use, and for 1/outgoingRoom of all sockets at least.
	outgoingMore = 8
	outgoingRoom = 16
	// Workers keep their connections while these leave 1/userRoom of all
	// sockets, beyond the outgoing ones' capacity, to users and probes.
	userRoom = 8
)

type connKind uint8

const (
	kindHTTP connKind = iota // incoming user, worker or probe
	kindPeerIn
	kindCall    // outgoing HTTP
	kindPeerOut // outgoing frames
)

type conn struct {
	id    uint64
	kind  connKind
	g     gnet.Conn
	addr  string
	peer  int
	busy  bool // an incoming request awaits its reply, or an outgoing call its response
	close bool
	call  event.Call
	since event.Time // of the last activity
	half  bool       // part of a request is buffered
	from  party
	gone  bool          // being closed
	rest  *list.Element // in the list of its party's idle connections, or of spare ones
}

// party is who is at the other end of an incoming connection, by what it asked
// last.
type party uint8

const (
	user party = iota
	worker
	probe
	parties
)

func partyOf(path string) party {
	switch path {
	case "/hello":
		return worker
	case "/healthz":
		return probe
	}
	return user
}

// loopBox gives the stored loop one concrete type.
type loopBox struct{ gnet.EventLoop }

func (e *engine) eventLoop() gnet.EventLoop { return e.loop.Load().(loopBox) }

type engine struct {
	gnet.BuiltinEventEngine
	cfg   Config
	core  Core
	log   *slog.Logger
	start time.Time
	loop  atomic.Value // gnet.EventLoop, set once by the loop itself

	out      event.Effects
	lastConn uint64
	conns    map[uint64]*conn
	incoming int
	workers  int // connections of workers
	// Incoming connections between two requests, least recently used first.
	resting [parties]list.List
	spare   list.List // outgoing connections without a call, least recently used first
	idle    map[string][]*conn
	peers   []*peerLink
	pending []pendingInput // raised while a step is being carried out
	inStep  bool
	expiry  map[uint64]event.Time // call ID -> deadline
	calls   map[uint64]*conn
	swept   event.Time
	ticked  event.Time
	failed  error
}

type peerLink struct {
	conn   *conn
	dialed event.Time
	busy   bool
}

type pendingInput func()

// Run serves until the process is killed or listening fails.
func Run(cfg Config, core Core, log *slog.Logger) error {
	e := &engine{cfg: cfg, core: core, log: log, start: time.Now(), conns: map[uint64]*conn{}, idle: map[string][]*conn{},
		expiry: map[uint64]event.Time{}, calls: map[uint64]*conn{}}
	for range cfg.Peers {
		e.peers = append(e.peers, &peerLink{dialed: -redialEvery})
	}
	err := gnet.Rotate(e, []string{"tcp://" + cfg.Bind, "tcp://" + cfg.PeerBind},
		gnet.WithNumEventLoop(1), gnet.WithTicker(true), gnet.WithReuseAddr(true),
		gnet.WithReadBufferCap(64<<10), gnet.WithLogLevel(logging.ErrorLevel), gnet.WithLogger(quiet{}))
	return errors.Join(err, e.failed)
}

func (e *engine) now() event.Time { return time.Since(e.start) }

// OnTick runs on gnet's ticker goroutine: it only hands the work to the loop.
func (e *engine) OnTick() (time.Duration, gnet.Action) {
	if e.loop.Load() == nil {
		// gnet tells its loop only through a connection, so the first tick
		// opens one to ourselves.
		if c, err := net.DialTimeout("tcp", e.cfg.Bind, dialTimeout); err != nil {
			e.log.Error("no event loop", "err", err)
		} else {
			_ = c.Close()
		}
		return 4 * tickEvery, gnet.None
	}
	_ = e.eventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		e.tick(tickEvery / 2)
		return nil
	}))
	return tickEvery, gnet.None
}

// tick lets time pass, unless it did so within the given time. It is called by
// the ticker, and between two inputs: while inputs keep the loop busy, neither
// the ticker's goroutine nor a dial's comes to run, and a leader that answers
// reports all the time would lose its term, as its renewals are due by time.
func (e *engine) tick(least time.Duration) {
	now := e.now()
	if now-e.ticked < least {
		return
	}
	if e.ticked > 0 && now-e.ticked > tickEvery {
		runtime.Gosched()
	}
	e.ticked = now
	for id, at := range e.expiry {
		if now >= at {
			e.finishCall(id, 0, nil)
		}
	}
	for i, p := range e.peers {
		if p.conn == nil && !p.busy && now-p.dialed >= redialEvery {
			p.busy, p.dialed = true, now
			e.dial(&conn{kind: kindPeerOut, addr: e.cfg.Peers[i], peer: i})
		}
	}
	if now-e.swept >= time.Second {
		e.swept = now
		e.sweep(now)
	}
	e.core.Clock(now, time.Now())
	e.step(func() { e.core.Tick(now, &e.out) })
}

// sweep closes connections that idle, stall or read too slowly.
func (e *engine) sweep(now event.Time) {
	for _, c := range e.conns {
		quiet := now - c.since
		switch c.kind {
		case kindHTTP, kindPeerIn:
			if (c.half && quiet > halfRequest) || (!c.busy && quiet > idleIn) {
				e.drop(c)
				continue
			}
		case kindCall:
			if !c.busy && quiet > idleOut {
				e.drop(c)
				continue
			}
		}
		if c.g.OutboundBuffered() > maxUnsent {
			e.drop(c)
		}
	}
}

// step runs one input through the core, then carries out the effects; inputs
// raised meanwhile follow in order.
func (e *engine) step(f func()) {
	if e.inStep {
		e.pending = append(e.pending, f)
		return
	}
	e.inStep = true
	f()
	e.perform()
	for len(e.pending) > 0 {
		next := e.pending[0]
		e.pending = e.pending[1:]
		next()
		e.perform()
	}
	e.inStep = false
}

func (e *engine) perform() {
	replies, calls, frames := e.out.Replies, e.out.Calls, e.out.Frames
	for _, r := range replies {
		e.reply(r)
	}
	for _, c := range calls {
		e.startCall(c)
	}
	for _, f := range frames {
		e.sendFrame(f)
	}
	e.out.Reset()
}

func (e *engine) reply(r event.Reply) {
	c := e.conns[r.Conn]
	if c == nil {
		return
	}
	c.busy = false
	c.since = e.now()
	c.close = c.close || (c.from == worker && e.workers > e.workerRoom())
	_, _ = c.g.Write(httpwire.AppendResponse(nil, r.Status, r.Body, r.RetryAfter, c.close))
	if c.close {
		e.drop(c)
		return
	}
	c.rest = e.resting[c.from].PushBack(c)
	if c.g.InboundBuffered() > 0 {
		e.pending = append(e.pending, func() { e.readHTTP(c) })
	}
}

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

func (e *engine) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	if e.loop.Load() == nil {
		e.loop.Store(loopBox{g.EventLoop()})
	}
	if out, ok := g.Context().(*conn); ok {
		out.g = g
		e.add(out)
		if out.kind == kindPeerOut {
			p := e.peers[out.peer]
			p.busy, p.conn = false, out
		} else if _, ok := e.expiry[out.call.ID]; ok {
			e.issue(out, out.call)
		} else {
			e.keep(out) // the call gave up meanwhile
		}
		return nil, gnet.None
	}
	c := &conn{kind: kindHTTP, g: g}
	if g.LocalAddr().String() == e.cfg.PeerBind {
		c.kind = kindPeerIn
	} else if !e.makeRoom() {
		return nil, gnet.Close
	}
	e.incoming++
	g.SetContext(c)
	e.add(c)
	if c.kind == kindHTTP {
		c.rest = e.resting[user].PushBack(c)
	}
	return nil, gnet.None
}

// outgoingKept is how many sockets are kept for outgoing connections. Those
// without a call give way before any other.
func (e *engine) outgoingKept() int {
	return max(len(e.conns)-e.incoming-e.spare.Len()+outgoingMore, e.cfg.MaxConnections/outgoingRoom)
}

// workerRoom is how many workers may stay connected between two reports.
// Machines may be more than sockets: beyond that a worker is told with its
// answer that the connection ends, and dials again for its next report. Closed
// with the answer, it never meets a report that is on its way; and of workers
// that report in turn, closing the one that was answered longest ago would end
// each connection just before it is needed.
func (e *engine) workerRoom() int {
	return e.cfg.MaxConnections - e.outgoingKept() - e.cfg.MaxConnections/userRoom
}

// makeRoom tells whether one more incoming connection may stay. A spare
// outgoing one gives way (direct commands leave one for each machine), then the
// user connection that has been idle for longest, with none left a probe's, then
// a worker's; none with an answer due.
func (e *engine) makeRoom() bool {
	if e.incoming+e.outgoingKept()+e.spare.Len() < e.cfg.MaxConnections {
		return true
	}
	for _, idle := range []*list.List{&e.spare, &e.resting[user], &e.resting[probe], &e.resting[worker]} {
		if first := idle.Front(); first != nil {
			e.drop(first.Value.(*conn))
			return true
		}
	}
	return false
}

// unrest takes a connection off the list of those between two requests.
func (e *engine) unrest(c *conn) {
	if c.rest == nil {
		return
	}
	idle := &e.resting[c.from]
	if c.kind == kindCall {
		idle = &e.spare
	}
	idle.Remove(c.rest)
	c.rest = nil
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

func (e *engine) setParty(c *conn, p party) {
	if c.from == worker {
		e.workers--
	}
	if c.from = p; p == worker {
		e.workers++
	}
}

func (e *engine) add(c *conn) {
	e.lastConn++
	c.id, c.since = e.lastConn, e.now()
	e.conns[c.id] = c
}

func (e *engine) drop(c *conn) {
	c.gone = true
	e.unrest(c)
	e.unkeep(c)
	if c.g != nil {
		_ = c.g.Close()
	}
}

func (e *engine) OnClose(g gnet.Conn, _ error) gnet.Action {
	c, ok := g.Context().(*conn)
	if !ok || e.conns[c.id] == nil {
		return gnet.None
	}
	delete(e.conns, c.id)
	e.unrest(c)
	e.setParty(c, user)
	switch c.kind {
	case kindHTTP, kindPeerIn:
		e.incoming--
	case kindPeerOut:
		if e.peers[c.peer].conn == c {
			e.peers[c.peer].conn = nil
		}
	case kindCall:
		e.unkeep(c)
		if c.busy {
			e.calls[c.call.ID] = nil
			e.finishCall(c.call.ID, 0, nil)
		}
	}
	return gnet.None
}

func (e *engine) OnTraffic(g gnet.Conn) gnet.Action {
	c, ok := g.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	e.tick(tickEvery)
	if c.gone {
		return gnet.None
	}
	c.since = e.now()
	switch c.kind {
	case kindHTTP:
		if c.busy {
			if g.InboundBuffered() > httpwire.MaxHead+httpwire.MaxBody {
				return gnet.Close
			}
			return gnet.None
		}
		e.step(func() { e.readHTTP(c) })
	case kindPeerIn:
		return e.readFrames(c)
	case kindCall:
		return e.readResponse(c)
	case kindPeerOut:
		return gnet.Close // nothing is ever answered on it
	}
	return gnet.None
}

// readHTTP takes one request; it runs inside a step.
func (e *engine) readHTTP(c *conn) {
	if e.conns[c.id] != c || c.busy {
		return
	}
	in, _ := c.g.Peek(-1)
	if len(in) == 0 {
		return
	}
	e.unrest(c)
	m, n, err := httpwire.ParseRequest(in)
	if errors.Is(err, httpwire.ErrIncomplete) {
		c.half = true
		return
	}
	c.half = false
	if err != nil {
		// A body over the limit is a malformed submission to its user, too.
		_, _ = c.g.Write(httpwire.AppendResponse(nil, 400, nil, 0, true))
		e.drop(c)
		return
	}
	c.busy, c.close = true, m.Close
	e.setParty(c, partyOf(m.Target))
	r := event.Request{Conn: c.id, Method: m.Method, Path: m.Target, Body: append([]byte(nil), m.Body...)}
	_, _ = c.g.Discard(n)
	e.core.Request(e.now(), r, &e.out)
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

func (e *engine) readFrames(c *conn) gnet.Action {
	for {
		in, _ := c.g.Peek(-1)
		c.half = len(in) > 0
		if len(in) < 4 {
			return gnet.None
		}
		size := int(binary.BigEndian.Uint32(in))
		if size > maxFrame {
			return gnet.Close
		}
		if len(in) < 4+size {
			return gnet.None
		}
		f := event.PeerFrame{Peer: -1, Data: append([]byte(nil), in[4:4+size]...)}
		_, _ = c.g.Discard(4 + size)
		e.step(func() { e.core.Frame(e.now(), f, &e.out) })
	}
}

func (e *engine) sendFrame(f event.PeerFrame) {
	c := e.peers[f.Peer].conn
	if c == nil {
		return // frames are hints; the next one follows soon
	}
	b := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(f.Data)), uint32(len(f.Data)))
	_, _ = c.g.Write(append(b, f.Data...))
}

// quiet keeps gnet's own messages out of our log, errors excepted.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(f string, a ...any) {
	slog.Debug("gnet", "msg", fmt.Sprintf(f, a...))
}
func (quiet) Fatalf(f string, a ...any) {
	slog.Error("gnet", "msg", fmt.Sprintf(f, a...))
}
