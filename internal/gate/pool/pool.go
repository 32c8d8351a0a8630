// Package pool keeps HTTP connections to targets. Each process start of a
// target has connections of its own, so that none is reused after the target
// has restarted.
package pool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/target/answer"
	"github.com/cicadamill/cicadamill/internal/target/egress"
)

const (
	// dialTimeout limits connecting. Hosts are milliseconds apart, but a lost
	// SYN is sent again only after one second.
	dialTimeout = 1200 * time.Millisecond
	// idleTimeout is how long an idle connection is kept. It is less than the
	// shortest idle timeout of targets: a request sent while the target closes
	// the connection may or may not have run.
	idleTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a silent
	// connection within two and a half seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// minConns is the number of connections that a node may always open to a
	// target, even if its share of the target's limit is smaller.
	minConns = 2
	// bufferBytes is the size of the read and write buffers of a connection.
	bufferBytes = 4 << 10
)

// Pool is a pool of connections to targets. See [New].
type Pool struct {
	mu     sync.Mutex
	groups map[string]*group
	onDial func(target string)
}

// group holds the connections to one process start of a target.
type group struct {
	startedAt int64
	address   string
	conns     int
	transport *answer.Transport
}

// New returns a pool without connections. The function onDial, which may be
// nil, is called after each new connection to a target.
//
//	conns := pool.New(nil)
//	response, err := conns.Send(request, target, 8, guard)
func New(onDial func(target string)) *Pool {
	return &Pool{groups: map[string]*group{}, onDial: onDial}
}

// Send sends a request to a target over one of at most maxConns connections. The
// guard records whether any byte of the request was written.
func (p *Pool) Send(request *http.Request, target roster.Target, maxConns int, guard *egress.Guard) (*http.Response, error) {
	transport := p.transport(target, max(maxConns, minConns))
	return transport.RoundTrip(request.WithContext(guard.Context(request.Context())))
}

func (p *Pool) transport(t roster.Target, conns int) *answer.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[t.ID]
	if ok && g.startedAt == t.Born && g.address == t.Address && g.conns == conns {
		return g.transport
	}
	if ok {
		g.transport.CloseIdleConnections()
	}
	g = &group{startedAt: t.Born, address: t.Address, conns: conns, transport: p.newTransport(t.ID, conns)}
	p.groups[t.ID] = g
	return g.transport
}

func (p *Pool) newTransport(id string, conns int) *answer.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return answer.New(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if p.onDial != nil {
				p.onDial(id)
			}
			return egress.Wrap(c), nil
		},
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	})
}

// Keep closes the idle connections of targets that are not on the list or have
// restarted.
func (p *Pool) Keep(targets map[string]roster.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, g := range p.groups {
		if t, ok := targets[id]; !ok || t.Born != g.startedAt {
			g.transport.CloseIdleConnections()
			delete(p.groups, id)
		}
	}
}
