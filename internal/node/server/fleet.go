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
	"github.com/cicadamill/cicadamill/internal/target/answer"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	gossipIdleConns   = 32
	gossipIdleTimeout = time.Minute
	gossipDialTimeout = 500 * time.Millisecond
	hopIdleConns      = 64
	hopBodyFactor     = 4
)

// fleet connects this node to the other nodes. If the settings have no peer
// address, the node handles all requests itself.
type fleet struct {
	server    *Server
	gossip    *gossip.Gossip
	forwarder *steer.Forwarder
	mux       *http.ServeMux
	listener  net.Listener
	http      *http.Server
	// onNewerVersion is called when another node announces a newer
	// configuration. It may be nil.
	onNewerVersion func(version uint64, address string)
}

func newFleet(s *Server) *fleet {
	f := &fleet{server: s, mux: http.NewServeMux()}
	f.forwarder = steer.New(s.cells, nil, f, f.scope())
	return f
}

func (f *fleet) scope() tally.Scope { return f.server.telemetry.scope().SubScope("fleet") }

func (s *Server) newCells() *cells.Set {
	return cells.New(cells.Options{
		DataCentre: s.settings.DataCentre, Targets: cellTargets, Dial: s.dial,
		Prepare: func(l *loop.Loop) {
			l.WithImport(s.importer(l)).WithCounts(decisionCounter(s.telemetry.scope().SubScope("decide")))
		},
		Leaving: func() []string { return s.fleet.leavingTargets() },
		Flow:    append([]flow.Option{flow.WithLeavingCheck(func(t, i string) bool { return s.fleet.isLeaving(t, i) })}, s.streams.flowOptions...),
		Scope:   s.telemetry.scope().SubScope("fleet"), OnSupervisorEvent: s.logSupervisorEvent,
	})
}

// open opens the peer listener if the settings have an address for it, and
// creates the gossip and forwarding clients.
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
	f.gossip = gossip.New(f.gossipOptions(wire.New(scheme, gossipClient(transport.Clone()))))
	f.forwarder = steer.New(s.cells, hop.New(scheme, &http.Client{Transport: answer.New(transport)}, hop.Options{}), f.gossip, f.scope())
	f.mux.Handle("/v1/peer/", wire.Handler(f.gossip))
	f.mux.Handle(hop.Path, hop.Handler(f.forwarder.RunForwarded))
	limits := s.settings.Limits.WithDefaults()
	limits.BodyBytes *= hopBodyFactor
	f.http = limit.Server(s.drain.wrap(f.mux), limits)
	f.gossip.AnnounceVersion(s.applied.Version())
	return nil
}

// transport returns the URL scheme and the transport for connections to other
// nodes. It uses TLS if the settings name key files.
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
	return &http.Client{Transport: answer.New(transport)}
}

func (f *fleet) gossipOptions(peers *wire.Client) gossip.Options {
	s := f.server
	options := gossip.Options{
		Member: member.Options{
			Name: s.settings.Name, Address: f.listener.Addr().String(), DataCentre: s.settings.DataCentre,
			Incarnation: uint64(time.Now().UnixMilli()), Seed: rand.Uint64(), Peers: s.settings.Peers,
		},
		Peers: peers, Dial: s.dial, Cells: f.weightedCells, CrashEntries: s.streams.guard.Entries, OnCrashEntries: s.streams.guard.Merge,
		OnTargetLeaving: f.targetLeaving, OnNewerVersion: f.newerVersion, Scope: f.scope(), Logger: s.logger,
	}
	if s.settings.HostsAddress != "" {
		options.HostList = weblst.New(s.settings.HostsAddress, s.http)
	}
	return options
}

// weightedCells returns all cells, each weighted by its number of engines, for
// the assignment of home nodes.
func (f *fleet) weightedCells() []homes.Cell {
	all := f.server.cells.Cells()
	weighted := make([]homes.Cell, 0, len(all))
	for _, c := range all {
		weighted = append(weighted, homes.Cell{ID: c.ID, DataCentre: c.DataCentre, Weight: float64(len(c.Engines))})
	}
	return weighted
}

// addTo adds gossip and the peer listener to the supervisor.
func (f *fleet) addTo(supervisor *suture.Supervisor) {
	if f.gossip == nil {
		return
	}
	supervisor.Add(f.gossip)
	supervisor.Add(f)
}

// Serve serves the peer listener until the context ends. A listener that was
// shut down is not restarted.
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

// leave announces that this node is leaving, so that its home cells move to
// other nodes.
func (f *fleet) leave() {
	if f.gossip != nil {
		f.gossip.Leave()
	}
}

// shutdown closes the peer listener and waits until all requests forwarded by
// other nodes are complete.
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

func (f *fleet) announceVersion(version uint64) {
	if f.gossip != nil {
		f.gossip.AnnounceVersion(version)
	}
}

func (f *fleet) newerVersion(version uint64, address string) {
	if f.onNewerVersion != nil {
		f.onNewerVersion(version, address)
	}
}

// targetReported stores an engine's load report and passes its incarnation and
// leaving mark to gossip.
func (f *fleet) targetReported(target string, load engine.LoadReport) {
	f.server.reports.Store(target, load)
	if f.gossip != nil {
		f.gossip.TargetReported(target, load.Incarnation, load.Leaving)
	}
}

func (f *fleet) isLeaving(target, incarnation string) bool {
	return f.gossip != nil && f.gossip.IsTargetLeaving(target, incarnation)
}

func (f *fleet) leavingTargets() []string {
	if f.gossip == nil {
		return nil
	}
	return f.gossip.LeavingTargets()
}

// targetLeaving notifies the cells of a target that other nodes or the host list
// report as leaving.
func (f *fleet) targetLeaving(target string) {
	f.server.cells.Send(context.Background(), target, cell.Leaving{Target: target})
}

// Homes implements [steer.Fleet] for a node without peers.
func (f *fleet) Homes(string, string, int) []steer.Home { return nil }

// ReportFailure implements [steer.Fleet] for a node without peers.
func (f *fleet) ReportFailure(string) {}
