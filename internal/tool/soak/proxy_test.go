package soak_test

import (
	"context"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

// The modes of a proxy.
const (
	pass mode = iota
	// reset breaks connections and refuses new ones.
	reset
	// silence swallows all that comes on a connection, for good.
	silence
	// oneWay swallows the answers.
	oneWay
	// delay holds each piece back.
	delay
)

const (
	pieceBytes = 4 << 10
	holdBack   = 60 * time.Millisecond
)

// proxy passes connections on to an address.
type proxy struct {
	listener net.Listener
	to       func() string

	mu    sync.Mutex
	mode  mode
	links map[*link]struct{}
}

// link is one connection through a proxy. One that has lost bytes stays silent.
type link struct {
	near, far net.Conn
	dead      map[net.Conn]bool
}

func newProxy(to func() string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, links: map[*link]struct{}{}}
	go func(context.Context) { p.serve() }(context.Background())
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(reset)
}

// set puts a mode in force; reset breaks the connections that are open.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for l := range p.links {
		if m == reset {
			cut(l.near)
			cut(l.far)
		}
	}
}

// cut closes a connection with a reset.
func cut(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func(context.Context) { p.pass(near) }(context.Background())
	}
}

func (p *proxy) pass(near net.Conn) {
	p.mu.Lock()
	refused := p.mode == reset
	p.mu.Unlock()
	if refused {
		cut(near)
		return
	}
	far, err := net.DialTimeout("tcp", p.to(), time.Second)
	if err != nil {
		cut(near)
		return
	}
	l := &link{near: near, far: far, dead: map[net.Conn]bool{}}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	ended := make(chan struct{})
	go func(context.Context) { p.copy(l, near, far); close(ended) }(context.Background())
	p.copy(l, far, near)
	<-ended
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy passes what comes from one end on to the other. When one end breaks, so
// does the other.
func (p *proxy) copy(l *link, from, to net.Conn) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		if p.swallows(l, from) {
			continue
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) swallows(l *link, from net.Conn) bool {
	p.mu.Lock()
	m := p.mode
	if m == silence || m == oneWay && from == l.far {
		l.dead[from] = true
	}
	dead := l.dead[from]
	p.mu.Unlock()
	if m == delay {
		time.Sleep(holdBack)
	}
	return dead
}
