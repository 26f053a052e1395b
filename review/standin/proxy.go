package main

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// proxy forwards the connections of one path of the network. While the path is cut,
// bytes are held back and delivered in order afterwards, also if their sender has closed
// the connection meanwhile. A connection that is opened while the path is cut is completed
// afterwards, unless its sender has given it up.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open *sync.Cond
	held bool
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
	p.held = held
	p.open.Broadcast()
}

// waitOpen waits until the path is not cut.
func (p *proxy) waitOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.held {
		p.open.Wait()
	}
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// await waits until the path is not cut and returns what the client has sent meanwhile.
// alive is false if the client has given up.
func (p *proxy) await(client *net.TCPConn) (sent []byte, alive bool) {
	buffer := make([]byte, 64<<10)
	for p.isCut() {
		_ = client.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		n, err := client.Read(buffer)
		sent = append(sent, buffer[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, false
		}
	}
	_ = client.SetReadDeadline(time.Time{})
	return sent, true
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
	sent, alive := p.await(client)
	if !alive {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err == nil {
		_, err = server.Write(sent)
	}
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
