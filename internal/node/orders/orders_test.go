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
	"github.com/cicadamill/cicadamill/internal/target/egress"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/target/remote"
)

// cluster is a site in one process: engines behind in-memory connections, a
// table, and nodes.
type cluster struct {
	// suspended is the total time for which the nodes were suspended, in nanoseconds.
	// Only the boot-time clock counts it.
	suspended   atomic.Int64
	t           *testing.T
	table       *tables.Store
	scope       tally.TestScope
	engines     map[string]*model.Engine
	connections map[string]chan net.Conn
	config      atomic.Pointer[site.Config]
	// orderCounts counts the orders that reached an engine and reportCounts the
	// reads of its report, by its name.
	mu           sync.Mutex
	orderCounts  map[string]int
	reportCounts map[string]int
	stops        []func()
}

func newCluster(t *testing.T, count int, checksFence bool) *cluster {
	c := &cluster{
		t: t, table: tables.New(), scope: tally.NewTestScope("", nil),
		engines: map[string]*model.Engine{}, connections: map[string]chan net.Conn{}, orderCounts: map[string]int{}, reportCounts: map[string]int{},
	}
	config := site.Config{Models: []site.Model{{Name: "m", WeightVersion: "1"}}}
	for i := range count {
		name := fmt.Sprintf("e%d", i)
		config.Engines = append(config.Engines, site.Engine{Name: name, Address: name, Model: "m", ChecksFence: checksFence})
		c.engines[name] = model.New(model.Options{
			Name: name, Model: "m", WeightVersion: "1", BlockTokens: 2000, CacheBlocks: 4, MaxRunning: 4,
			WeightLoadTime: 2 * time.Second, IgnoresFence: !checksFence,
		})
		c.serveEngine(name)
	}
	c.config.Store(&config)
	return c
}

// serveEngine serves an engine over in-memory connections.
func (c *cluster) serveEngine(name string) {
	connections := make(chan net.Conn)
	c.connections[name] = connections
	inner := c.engines[name].Handler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/orders/") {
			c.mu.Lock()
			c.orderCounts[name]++
			c.mu.Unlock()
		}
		if r.URL.Path == "/load" {
			c.mu.Lock()
			c.reportCounts[name]++
			c.mu.Unlock()
		}
		inner.ServeHTTP(w, r)
	})}
	ended := make(chan error, 1)
	go func(context.Context) {
		ended <- server.Serve(listener{accepted: connections, closed: make(chan struct{})})
	}(c.t.Context())
	c.stops = append(c.stops, func() {
		assert.NoError(c.t, server.Close())
		<-ended
	})
}

type listener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (l listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l listener) Close() error   { close(l.closed); return nil }
func (l listener) Addr() net.Addr { return &net.IPAddr{} }

// node starts a node that calls pause before each connection to an engine. The
// result stops the node.
func (c *cluster) node(pause func()) (stop func()) {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		pause()
		near, far := net.Pipe()
		name, _, _ := strings.Cut(address, ":")
		select {
		case c.connections[name] <- far:
			return egress.Wrap(near), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}}
	options := orders.DefaultOptions
	options.Table, options.Scope, options.Logger = c.table, c.scope, hclog.NewNullLogger()
	options.Now = func() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }
	options.Config = func() site.Config { return *c.config.Load() }
	options.Dial = func(name string) (engine.Client, bool) {
		return remote.New(name, &http.Client{Transport: transport}), true
	}
	ctx, cancel := context.WithCancel(c.t.Context())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- orders.New(options).Serve(ctx) }(ctx)
	return func() {
		cancel()
		<-ended
	}
}

func (c *cluster) setVersion(version string) {
	config := *c.config.Load()
	config.Models = []site.Model{{Name: "m", WeightVersion: version, Adapters: []site.Adapter{{Name: "a", Version: version}}}}
	c.config.Store(&config)
}

// countAt returns the number of engines that serve a version.
func (c *cluster) countAt(version string) int {
	count := 0
	for name, e := range c.engines {
		load := c.load(name, e)
		if load.WeightVersion == version && load.Role != "drain" && !load.Loading && load.Adapters["a"] == version {
			count++
		}
	}
	return count
}

func (c *cluster) load(name string, _ *model.Engine) engine.LoadReport {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		c.connections[name] <- far
		return near, nil
	}}
	load, err := remote.New(name, &http.Client{Transport: transport}).Load(c.t.Context())
	require.NoError(c.t, err)
	return load
}

func (c *cluster) ordersReceived() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, count := range c.orderCounts {
		total += count
	}
	return total
}

func (c *cluster) stop() {
	for _, stop := range c.stops {
		stop()
	}
}

func noPause() {}

// TestSettledEnginesAreReadLessOften checks that reports are read less often while
// nothing changes, and that a change still starts within seconds.
func TestSettledEnginesAreReadLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, true)
		stop := c.node(noPause)
		time.Sleep(20 * time.Second)
		before := c.reportsRead("e0")
		time.Sleep(time.Minute)
		assert.LessOrEqual(t, c.reportsRead("e0")-before, 7)
		before = c.reportsRead("e0")
		c.setVersion("2")
		time.Sleep(3 * time.Second)
		assert.GreaterOrEqual(t, c.reportsRead("e0")-before, 2)
		time.Sleep(time.Minute)
		assert.Equal(t, 3, c.countAt("2"))
		stop()
		c.stop()
	})
}

func (c *cluster) reportsRead(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportCounts[name]
}

func TestRollOutSurvivesItsHolder(t *testing.T) {
	for name, checksFence := range map[string]bool{"checks fencing tokens": true, "ignores fencing tokens": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6, checksFence)
				first := c.node(noPause)
				time.Sleep(5 * time.Second)
				second := c.node(noPause)
				time.Sleep(25 * time.Second)
				c.setVersion("2")
				time.Sleep(6 * time.Second)
				first()
				between := c.countAt("2")
				assert.Less(t, between, 6)
				time.Sleep(3 * time.Minute)
				assert.Equal(t, 6, c.countAt("2"))
				second()
				c.stop()
			})
		})
	}
}

func TestNoOrdersWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, true)
		stop := c.node(noPause)
		time.Sleep(30 * time.Second)
		c.table.SetFault(func(tables.Request) tables.Fault { return tables.Unavailable })
		time.Sleep(20 * time.Second)
		c.setVersion("2")
		time.Sleep(time.Minute)
		assert.Zero(t, c.ordersReceived())
		c.table.SetFault(nil)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, 3, c.countAt("2"))
		stop()
		c.stop()
	})
}

// TestLostLeaseRepliesAreReadBack drops the reply of every write to the lease; the
// node must read back whether it was applied, and still roll the version out.
func TestLostLeaseRepliesAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, true)
		c.table.SetFault(func(r tables.Request) tables.Fault {
			if r.Write {
				return tables.LoseReply
			}
			return tables.None
		})
		stop := c.node(noPause)
		c.setVersion("2")
		time.Sleep(3 * time.Minute)
		assert.Equal(t, 3, c.countAt("2"))
		stop()
		c.stop()
	})
}

// TestLapsingHolderSendsNothing makes the table unavailable and changes the
// configuration when the lease no longer lasts for a whole order, once with a
// pause between the decision and the first byte. The engines don't check fencing
// tokens, so only the holder's own check prevents an order.
func TestLapsingHolderSendsNothing(t *testing.T) {
	for name, pause := range map[string]time.Duration{"no pause": 0, "paused until the lease has lapsed": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3, false)
				var paused atomic.Bool
				stop := c.node(func() {
					if paused.Load() {
						time.Sleep(pause)
					}
				})
				time.Sleep(30 * time.Second)
				c.table.SetFault(func(tables.Request) tables.Fault { return tables.Unavailable })
				time.Sleep(7 * time.Second)
				c.setVersion("2")
				paused.Store(true)
				time.Sleep(time.Minute)
				assert.Zero(t, c.ordersReceived())
				stop()
				c.stop()
			})
		})
	}
}

// TestSuspendedHolderSendsNothing suspends a node after it has decided to send an
// order and before the first byte, for longer than its lease. The monotonic clock
// doesn't count that time.
func TestSuspendedHolderSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, false)
		stop := c.node(func() {
			if c.config.Load().Models[0].WeightVersion == "2" {
				c.suspended.Add(int64(orders.DefaultOptions.Term))
			}
		})
		time.Sleep(30 * time.Second)
		c.setVersion("2")
		time.Sleep(time.Minute)
		assert.Zero(t, c.ordersReceived())
		stop()
		c.stop()
	})
}

func TestFencingTokens(t *testing.T) {
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
				c := newCluster(t, 1, test.checks)
				transport := &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					c.connections["e0"] <- far
					return near, nil
				}}
				client := remote.New("e0", &http.Client{Transport: transport})
				require.NoError(t, client.Order(t.Context(), engine.SetRole{Fence: 9, Role: "serve"}))
				err := client.Order(t.Context(), engine.SetRole{Fence: 8, Role: "drain"})
				var failure *engine.Error
				assert.Equal(t, test.want, errors.As(err, &failure) && failure.Code == engine.Fenced)
				c.stop()
			})
		})
	}
}
