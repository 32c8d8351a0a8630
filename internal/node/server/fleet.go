package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/entry/limit"
	"github.com/cicadamill/cicadamill/internal/fleet/homes"
	"github.com/cicadamill/cicadamill/internal/fleet/member"
	"github.com/cicadamill/cicadamill/internal/infra/weblst"
	"github.com/cicadamill/cicadamill/internal/node/cells"
	"github.com/cicadamill/cicadamill/internal/node/flow"
	"github.com/cicadamill/cicadamill/internal/node/gossip"
	"github.com/cicadamill/cicadamill/internal/node/loop"
	"github.com/cicadamill/cicadamill/internal/node/steer"
	"github.com/cicadamill/cicadamill/internal/peer/hop"
	"github.com/cicadamill/cicadamill/internal/peer/wire"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	gossipIdleConns   = 32
	gossipIdleTimeout = time.Minute
	gossipDialTimeout = 500 * time.Millisecond
	hopIdleConns      = 64
	hopBodyFactor     = 4
)

// fleet is this node among the others. Without an address for other nodes it
// decides alone.
type fleet struct {
	server   *Server
	gossip   *gossip.Gossip
	steer    *steer.Steer
	mux      *http.ServeMux
	listener net.Listener
	http     *http.Server
	// heard is told of nodes with a newer configuration; nil means nobody.
	heard func(version uint64, address string)
}

func newFleet(s *Server) *fleet {
	f := &fleet{server: s, mux: http.NewServeMux()}
	f.steer = steer.New(s.cells, nil, f, f.scope())
	return f
}

func (f *fleet) scope() tally.Scope { return f.server.watch.scope().SubScope("fleet") }

func (s *Server) newCells() *cells.Set {
	return cells.New(cells.Options{
		DataCentre: s.settings.DataCentre, Targets: engineList, Dial: s.dial,
		Prepare: func(l *loop.Loop) {
			l.WithImport(s.importer(l)).WithCounts(counter(s.watch.scope().SubScope("decide")))
		},
		Leaving: func() []string { return s.fleet.leavingTargets() },
		Flow:    append([]flow.Option{flow.WithGate(func(t, i string) bool { return s.fleet.isLeaving(t, i) })}, s.streams.flow...),
		Scope:   s.watch.scope().SubScope("fleet"), Supervised: s.supervised,
	})
}

// open opens the listener for other nodes, if the settings name one.
func (f *fleet) open() error {
	s := f.server
	if s.settings.PeerAddress == "" {
		return nil
	}
	listener, err := s.listen("peers", s.settings.PeerAddress, s.settings.PeerTLS)
	if err != nil {
		return err
	}
	scheme, transport, err := f.transport()
	if err != nil {
		_ = listener.Close()
		return err
	}
	f.listener = listener
	f.gossip = gossip.New(f.options(wire.New(scheme, gossipClient(transport.Clone()))))
	f.steer = steer.New(s.cells, hop.New(scheme, &http.Client{Transport: transport}, hop.Options{}), f.gossip, f.scope())
	f.mux.Handle("/v1/peer/", wire.Handler(f.gossip))
	f.mux.Handle(hop.Path, hop.Handler(f.steer.RunHere))
	limits := s.settings.Limits.WithDefaults()
	limits.BodyBytes *= hopBodyFactor
	f.http = limit.Server(s.drain.around(f.mux), limits)
	f.gossip.Applied(s.applied.Version())
	return nil
}

// transport connects to other nodes, with keys when the settings name them.
func (f *fleet) transport() (string, *http.Transport, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: hopIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true}
	if f.server.settings.PeerTLS == (local.KeyFiles{}) {
		return "http", transport, nil
	}
	keys, err := f.server.keys("peers", f.server.settings.PeerTLS)
	if err != nil {
		return "", nil, err
	}
	transport.TLSClientConfig = keys.Client()
	return "https", transport, nil
}

func gossipClient(transport *http.Transport) *http.Client {
	transport.MaxIdleConns = gossipIdleConns
	transport.IdleConnTimeout = gossipIdleTimeout
	transport.DialContext = (&net.Dialer{Timeout: gossipDialTimeout}).DialContext
	return &http.Client{Transport: transport}
}

func (f *fleet) options(peers *wire.Client) gossip.Options {
	s := f.server
	options := gossip.Options{
		Member: member.Options{
			Name: s.settings.Name, Address: f.listener.Addr().String(), DataCentre: s.settings.DataCentre,
			Incarnation: uint64(time.Now().UnixMilli()), Seed: rand.Uint64(), Peers: s.settings.Peers,
		},
		Peers: peers, Dial: s.dial, Cells: f.cells, Crashes: s.streams.guard.Entries, HearCrashes: s.streams.guard.Hear,
		Leaving: f.targetLeaving, Heard: f.newer, Scope: f.scope(), Logger: s.logger,
	}
	if s.settings.HostsAddress != "" {
		options.List = weblst.New(s.settings.HostsAddress, s.http)
	}
	return options
}

// cells lists the cells that have homes, weighed by their engines.
func (f *fleet) cells() []homes.Cell {
	all := f.server.cells.Cells()
	weighed := make([]homes.Cell, 0, len(all))
	for _, c := range all {
		weighed = append(weighed, homes.Cell{ID: c.ID, DataCentre: c.DataCentre, Weight: float64(len(c.Engines))})
	}
	return weighed
}

// add puts the parts that run into the supervisor.
func (f *fleet) add(supervisor *suture.Supervisor) {
	if f.gossip == nil {
		return
	}
	supervisor.Add(f.gossip)
	supervisor.Add(f)
}

// Serve answers other nodes until the context ends.
func (f *fleet) Serve(ctx context.Context) error {
	ended := make(chan error, 1)
	go func(context.Context) { ended <- f.http.Serve(f.listener) }(ctx)
	select {
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return err
	case <-ctx.Done():
		f.close()
		<-ended
		return ctx.Err()
	}
}

func (f *fleet) address() string {
	if f.listener == nil {
		return ""
	}
	return f.listener.Addr().String()
}

// leave hands the homes of this node over to others.
func (f *fleet) leave() {
	if f.gossip != nil {
		f.gossip.Leave()
	}
}

// shutdown waits until every request that other nodes brought has its answer.
func (f *fleet) shutdown(ctx context.Context) error {
	if f.http == nil {
		return nil
	}
	return f.http.Shutdown(ctx)
}

func (f *fleet) close() {
	if f.http != nil {
		_ = f.http.Close()
	}
}

func (f *fleet) applied(version uint64) {
	if f.gossip != nil {
		f.gossip.Applied(version)
	}
}

func (f *fleet) newer(version uint64, address string) {
	if f.heard != nil {
		f.heard(version, address)
	}
}

// saw takes an engine's report of itself.
func (f *fleet) saw(target string, load engine.Load) {
	f.server.reports.Store(target, load)
	if f.gossip != nil {
		f.gossip.Saw(target, load.Incarnation, load.Leaving)
	}
}

func (f *fleet) isLeaving(target, incarnation string) bool {
	return f.gossip != nil && f.gossip.IsLeaving(target, incarnation)
}

func (f *fleet) leavingTargets() []string {
	if f.gossip == nil {
		return nil
	}
	return f.gossip.LeavingTargets()
}

// targetLeaving tells the cells of a target that other nodes or the list showed.
func (f *fleet) targetLeaving(target string) {
	f.server.cells.Tell(context.Background(), target, cell.Leaving{Target: target})
}

// Homes implements [steer.Fleet] for a node alone.
func (f *fleet) Homes(string, string, int) []steer.Home { return nil }

// Doubt implements [steer.Fleet] for a node alone.
func (f *fleet) Doubt(string) {}
