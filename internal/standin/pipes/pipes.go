// Package pipes is an in-memory network. Unlike sockets, its connections let HTTP
// clients and servers run in the virtual time of testing/synctest.
package pipes

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// Net is an in-memory network that connects dialers to listeners by address.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns a network without listeners.
//
//	network := pipes.New()
//	go server.Serve(network.Listen("10.0.0.1:7000"))
//	client := network.Client()
func New() *Net { return &Net{listeners: map[string]*listener{}} }

// Listen returns a listener at an address. It replaces an earlier listener at the
// same address.
func (n *Net) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{net: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to a listener, with the signature of
// [http.Transport.DialContext].
func (n *Net) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, errors.Errorf("nobody listens at %s", address)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.Errorf("nobody listens at %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Client returns an HTTP client on this network, which opens a connection for each
// request.
func (n *Net) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial, DisableKeepAlives: true, DisableCompression: true}}
}

type listener struct {
	net     *Net
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

// Addr implements [net.Listener].
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }
