// Package pool keeps the connections to targets, a group for each start of a
// target, so that no connection outlives what it led to.
package pool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/target/guard"
)

const (
	// dialTimeout bounds a new connection. Hosts are milliseconds apart; a
	// dropped opening packet is sent again after one second.
	dialTimeout = 1200 * time.Millisecond
	// idleTimeout is how long a connection is kept: less than the shortest time
	// after which targets close one, since a request that crosses their close
	// may or may not have run.
	idleTimeout = 3 * time.Second
	// probeIdle, probeInterval and probeCount find a connection that has gone
	// silent within two and a half seconds.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// minConns is how many connections a node may have to a target whatever its
	// part of the target's bound is.
	minConns = 2
	// headBytes bounds the head of an answer.
	headBytes = 64 << 10
	bufBytes  = 4 << 10
)

// Pool holds the connections. See [New].
type Pool struct {
	mu     sync.Mutex
	groups map[string]*group
	dialed func(target string)
}

type group struct {
	born      int64
	address   string
	conns     int
	transport *http.Transport
}

// New returns a pool without connections. The function dialed, which may be
// nil, is told of each new one.
//
//	conns := pool.New(nil)
//	response, err := conns.Send(request, target, 8, once)
func New(dialed func(target string)) *Pool {
	return &Pool{groups: map[string]*group{}, dialed: dialed}
}

// Send sends a request to a target over one of at most maxConns connections.
// The guard tells whether a byte of it has left.
func (p *Pool) Send(request *http.Request, target roster.Target, maxConns int, once *guard.Once) (*http.Response, error) {
	transport := p.transport(target, max(maxConns, minConns))
	return transport.RoundTrip(request.WithContext(once.Context(request.Context())))
}

func (p *Pool) transport(t roster.Target, conns int) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[t.ID]
	if ok && g.born == t.Born && g.address == t.Address && g.conns == conns {
		return g.transport
	}
	if ok {
		g.transport.CloseIdleConnections()
	}
	g = &group{born: t.Born, address: t.Address, conns: conns, transport: p.newTransport(t.ID, conns)}
	p.groups[t.ID] = g
	return g.transport
}

func (p *Pool) newTransport(id string, conns int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if p.dialed != nil {
				p.dialed(id)
			}
			return guard.Wrap(c), nil
		},
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headBytes,
		ReadBufferSize:         bufBytes,
		WriteBufferSize:        bufBytes,
	}
}

// Keep closes the idle connections of targets that are not on the list.
func (p *Pool) Keep(targets map[string]roster.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, g := range p.groups {
		if t, ok := targets[id]; !ok || t.Born != g.born {
			g.transport.CloseIdleConnections()
			delete(p.groups, id)
		}
	}
}
