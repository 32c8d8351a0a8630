package soak_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cicadamill/cicadamill/internal/target/egress"
)

// mode is how a proxy treats its connections.
type mode int

// The modes of a proxy.
const (
	forward mode = iota
	// reset resets open and new connections.
	reset
	// silence discards all data. A connection that has lost data stays silent in
	// every later mode.
	silence
	// dropReplies is like silence, for data from the server only.
	dropReplies
	// delay forwards each read after a pause.
	delay
)

const (
	bufferBytes = 4 << 10
	addedDelay  = 60 * time.Millisecond
)

// proxy forwards TCP connections to an upstream address and injects network faults.
type proxy struct {
	upstream func() string
	address  string

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	mode     mode
	pairs    map[*connPair]struct{}
}

// connPair is one connection through a proxy.
type connPair struct {
	client, server net.Conn
	// silenced holds the sources whose data is discarded for good: forwarding what
	// follows a gap would corrupt the stream.
	silenced map[net.Conn]bool
}

func newProxy(address string, upstream func() string) (*proxy, error) {
	p := &proxy{address: address, upstream: upstream, pairs: map[*connPair]struct{}{}}
	return p, p.setListening(true)
}

// setListening makes the proxy accept new connections, at the same address each time,
// or refuse them.
func (p *proxy) setListening(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !on && p.listener != nil:
		_ = p.listener.Close()
		p.listener = nil
	case on && p.listener == nil && !p.closed:
		listener, err := net.Listen("tcp", p.address)
		if err != nil {
			return err
		}
		p.listener, p.address = listener, listener.Addr().String()
		go func(context.Context) { p.serve(listener) }(context.Background())
	}
	return nil
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	// Closing a listener does not fail.
	_ = p.setListening(false)
	p.setMode(reset)
}

// setMode changes the mode for open and new connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for pair := range p.pairs {
		if m == reset {
			resetConn(pair.client)
			resetConn(pair.server)
		}
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	switch c := c.(type) {
	case *net.TCPConn:
		_ = c.SetLinger(0)
	case *serverConn:
		_ = c.linger(0)
	}
	_ = c.Close()
}

// serverConn is a connection whose reads end with a reset also if a write got it.
type serverConn struct {
	net.Conn
	linger func(seconds int) error
}

func (p *proxy) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go func(context.Context) { p.handle(client) }(context.Background())
	}
}

func (p *proxy) handle(client net.Conn) {
	p.mu.Lock()
	refused := p.mode == reset
	p.mu.Unlock()
	if refused {
		resetConn(client)
		return
	}
	dialed, err := net.DialTimeout("tcp", p.upstream(), time.Second)
	if err != nil {
		resetConn(client)
		return
	}
	server := &serverConn{Conn: egress.Wrap(dialed), linger: dialed.(*net.TCPConn).SetLinger}
	pair := &connPair{client: client, server: server, silenced: map[net.Conn]bool{}}
	p.mu.Lock()
	p.pairs[pair] = struct{}{}
	p.mu.Unlock()
	done := make(chan struct{})
	go func(context.Context) { p.relay(pair, client, server); close(done) }(context.Background())
	p.relay(pair, server, client)
	<-done
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}

// relay copies data in one direction until a read or write fails, and then closes
// both ends. It passes a reset on as one, and resets a connection that has lost data: an
// answer without a length must not look complete.
func (p *proxy) relay(pair *connPair, from, to net.Conn) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil && (errors.Is(err, syscall.ECONNRESET) || p.lostData(pair, from)) {
			resetConn(to)
		}
		if err != nil {
			return
		}
		if p.discards(pair, from) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) lostData(pair *connPair, from net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pair.silenced[from]
}

func (p *proxy) discards(pair *connPair, from net.Conn) bool {
	p.mu.Lock()
	m := p.mode
	if m == silence || m == dropReplies && from == pair.server {
		pair.silenced[from] = true
	}
	silenced := pair.silenced[from]
	p.mu.Unlock()
	if m == delay {
		time.Sleep(addedDelay)
	}
	return silenced
}
