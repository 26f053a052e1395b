package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards the connections of one path of the network. While the path is cut,
// bytes are held back and delivered in order afterwards, also if their sender has closed
// the connection meanwhile. A connection that is opened while the path is cut never
// completes.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open *sync.Cond
	held bool
	era  int // counts the cuts
}

func newProxy(target string) *proxy {
	p := &proxy{listener: listen(), target: target}
	p.open = sync.NewCond(&p.mu)
	go p.accept()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// cut cuts or restores the path.
func (p *proxy) cut(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held && !p.held {
		p.era++
	}
	p.held = held
	p.open.Broadcast()
}

// waitOpen waits until the path is not cut.
func (p *proxy) waitOpen() (waited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.held {
		waited = true
		p.open.Wait()
	}
	return waited
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client.(*net.TCPConn))
	}
}

func (p *proxy) serve(client *net.TCPConn) {
	if p.waitOpen() {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	go p.copy(server.(*net.TCPConn), client)
	p.copy(client, server.(*net.TCPConn))
}

// copy forwards one direction until it ends.
func (p *proxy) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.waitOpen()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// reset closes a connection so that the other side sees a failure.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
