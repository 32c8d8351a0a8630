package orders_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/node/orders"
	"github.com/cicadamill/cicadamill/internal/standin/model"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/target/guard"
	"github.com/cicadamill/cicadamill/internal/target/remote"
)

// plant is a site in one process: engines behind pipes, one table, and nodes.
type plant struct {
	t       *testing.T
	table   *tables.Store
	scope   tally.TestScope
	engines map[string]*model.Engine
	doors   map[string]chan net.Conn
	config  atomic.Pointer[site.Config]
	// obeyed counts the orders that reached an engine, asked the reads of its
	// report, by its name.
	mu     sync.Mutex
	obeyed map[string]int
	asked  map[string]int
	stops  []func()
}

func newPlant(t *testing.T, count int, checksFence bool) *plant {
	p := &plant{
		t: t, table: tables.New(), scope: tally.NewTestScope("", nil),
		engines: map[string]*model.Engine{}, doors: map[string]chan net.Conn{}, obeyed: map[string]int{}, asked: map[string]int{},
	}
	config := site.Config{Models: []site.Model{{Name: "m", WeightVersion: "1"}}}
	for i := range count {
		name := fmt.Sprintf("e%d", i)
		config.Engines = append(config.Engines, site.Engine{Name: name, Address: name, Model: "m", ChecksFence: checksFence})
		p.engines[name] = model.New(model.Options{
			Name: name, Model: "m", WeightVersion: "1", BlockTokens: 2000, CacheBlocks: 4, MaxRunning: 4,
			WeightLoad: 2 * time.Second, IgnoresFence: !checksFence,
		})
		p.open(name)
	}
	p.config.Store(&config)
	return p
}

// open serves an engine behind pipes.
func (p *plant) open(name string) {
	door := make(chan net.Conn)
	p.doors[name] = door
	inner := p.engines[name].Handler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/orders/") {
			p.mu.Lock()
			p.obeyed[name]++
			p.mu.Unlock()
		}
		if r.URL.Path == "/load" {
			p.mu.Lock()
			p.asked[name]++
			p.mu.Unlock()
		}
		inner.ServeHTTP(w, r)
	})}
	ended := make(chan error, 1)
	go func(context.Context) { ended <- server.Serve(listener{door: door, closed: make(chan struct{})}) }(p.t.Context())
	p.stops = append(p.stops, func() {
		assert.NoError(p.t, server.Close())
		<-ended
	})
}

type listener struct {
	door   chan net.Conn
	closed chan struct{}
}

func (l listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.door:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l listener) Close() error   { close(l.closed); return nil }
func (l listener) Addr() net.Addr { return &net.IPAddr{} }

// node starts a node; the function pause runs before each connection to an
// engine is made. The result stops the node.
func (p *plant) node(pause func()) (stop func()) {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		pause()
		near, far := net.Pipe()
		name, _, _ := strings.Cut(address, ":")
		select {
		case p.doors[name] <- far:
			return guard.Wrap(near), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}}
	options := orders.Defaults
	options.Table, options.Scope, options.Logger = p.table, p.scope, hclog.NewNullLogger()
	options.Config = func() site.Config { return *p.config.Load() }
	options.Dial = func(name string) (engine.Client, bool) {
		return remote.New(name, &http.Client{Transport: transport}), true
	}
	ctx, cancel := context.WithCancel(p.t.Context())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- orders.New(options).Serve(ctx) }(ctx)
	return func() {
		cancel()
		<-ended
	}
}

func (p *plant) want(version string) {
	config := *p.config.Load()
	config.Models = []site.Model{{Name: "m", WeightVersion: version, Adapters: []site.Adapter{{Name: "a", Version: version}}}}
	p.config.Store(&config)
}

// at counts the engines that serve a version.
func (p *plant) at(version string) int {
	count := 0
	for name, e := range p.engines {
		load := p.load(name, e)
		if load.WeightVersion == version && load.Role != "drain" && !load.Loading && load.Adapters["a"] == version {
			count++
		}
	}
	return count
}

func (p *plant) load(name string, _ *model.Engine) engine.Load {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		p.doors[name] <- far
		return near, nil
	}}
	load, err := remote.New(name, &http.Client{Transport: transport}).Load(p.t.Context())
	require.NoError(p.t, err)
	return load
}

func (p *plant) orders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, count := range p.obeyed {
		total += count
	}
	return total
}

func (p *plant) stop() {
	for _, stop := range p.stops {
		stop()
	}
}

func nothing() {}

// TestSettledEnginesAreAskedSeldom counts the reports that are read while
// nothing changes, and sees that a change still begins at once.
func TestSettledEnginesAreAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlant(t, 3, true)
		stop := p.node(nothing)
		time.Sleep(20 * time.Second)
		before := p.reads("e0")
		time.Sleep(time.Minute)
		assert.LessOrEqual(t, p.reads("e0")-before, 7)
		before = p.reads("e0")
		p.want("2")
		time.Sleep(3 * time.Second)
		assert.GreaterOrEqual(t, p.reads("e0")-before, 2)
		time.Sleep(time.Minute)
		assert.Equal(t, 3, p.at("2"))
		stop()
		p.stop()
	})
}

func (p *plant) reads(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked[name]
}

func TestRollOutSurvivesItsHolder(t *testing.T) {
	for name, checksFence := range map[string]bool{"checks fencing numbers": true, "ignores fencing numbers": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlant(t, 6, checksFence)
				first := p.node(nothing)
				time.Sleep(5 * time.Second)
				second := p.node(nothing)
				time.Sleep(25 * time.Second)
				p.want("2")
				time.Sleep(6 * time.Second)
				first()
				between := p.at("2")
				assert.Less(t, between, 6)
				time.Sleep(3 * time.Minute)
				assert.Equal(t, 6, p.at("2"))
				second()
				p.stop()
			})
		})
	}
}

func TestNoOrdersWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlant(t, 3, true)
		stop := p.node(nothing)
		time.Sleep(30 * time.Second)
		p.table.SetFault(func(tables.Request) tables.Fault { return tables.Down })
		time.Sleep(20 * time.Second)
		p.want("2")
		time.Sleep(time.Minute)
		assert.Zero(t, p.orders())
		p.table.SetFault(nil)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, 3, p.at("2"))
		stop()
		p.stop()
	})
}

// TestLostLeaseRepliesAreReadBack loses the reply of every write.
func TestLostLeaseRepliesAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlant(t, 3, true)
		p.table.SetFault(func(r tables.Request) tables.Fault {
			if r.Write {
				return tables.LoseReply
			}
			return tables.None
		})
		stop := p.node(nothing)
		p.want("2")
		time.Sleep(3 * time.Minute)
		assert.Equal(t, 3, p.at("2"))
		stop()
		p.stop()
	})
}

// TestLapsingHolderSendsNothing takes the table away and then asks for orders
// when the lease covers no whole order any more, also with a pause between the
// decision and the first byte. The engines would obey.
func TestLapsingHolderSendsNothing(t *testing.T) {
	for name, pause := range map[string]time.Duration{"no pause": 0, "paused until the lease has lapsed": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlant(t, 3, false)
				var paused atomic.Bool
				stop := p.node(func() {
					if paused.Load() {
						time.Sleep(pause)
					}
				})
				time.Sleep(30 * time.Second)
				p.table.SetFault(func(tables.Request) tables.Fault { return tables.Down })
				time.Sleep(7 * time.Second)
				p.want("2")
				paused.Store(true)
				time.Sleep(time.Minute)
				assert.Zero(t, p.orders())
				stop()
				p.stop()
			})
		})
	}
}

func TestFencingNumbers(t *testing.T) {
	tests := map[string]struct {
		checks bool
		want   bool
	}{
		"checked": {checks: true, want: true},
		"ignored": {checks: false, want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlant(t, 1, test.checks)
				transport := &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					p.doors["e0"] <- far
					return near, nil
				}}
				client := remote.New("e0", &http.Client{Transport: transport})
				require.NoError(t, client.Order(t.Context(), engine.SetRole{Fence: 9, Role: "serve"}))
				err := client.Order(t.Context(), engine.SetRole{Fence: 8, Role: "drain"})
				var failure *engine.Error
				assert.Equal(t, test.want, errors.As(err, &failure) && failure.Code == engine.Fenced)
				p.stop()
			})
		})
	}
}
