package host

import (
	"context"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/caches"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/trail"
	"github.com/cicadamill/cicadamill/internal/gate/tree"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

const (
	// warmInterval and warmTries are how often a host that has started asks a peer
	// what is in caches: peers hear of each other within 0.2 s.
	warmInterval = 150 * time.Millisecond
	warmTries    = 10
	// reportPositions is how often others are told how far a cache has been read.
	reportPositions = time.Second
	// maxPositions bounds what waits to be told of positions.
	maxPositions = 1024
	// maxCrashes bounds what waits to be told of crashes.
	maxCrashes = 1024
	// minStrength stands for a strength that is not known.
	minStrength = 0.1
)

// cacheSources lists the engines and stores that tell of their caches.
func (h *Host) cacheSources() []caches.Source {
	p := h.plan.Load()
	if p == nil {
		return nil
	}
	var sources []caches.Source
	for id, t := range h.listedTargets() {
		if p.Services[t.Service].Engines != nil {
			sources = append(sources, caches.Source{Name: id, Address: t.Address, Instance: id})
		}
	}
	for _, s := range p.Stores {
		sources = append(sources, caches.Source{Name: s.Name, Address: s.Address})
	}
	return sources
}

func (h *Host) learn(name string, parts []pick.Cached, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picks.Learn(name, parts, whole)
}

func (h *Host) position(name string) (caches.Position, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.heard[name]
	return at, ok
}

// reached notes how far this host has read a cache. Others are told now and then:
// one that takes the cache over reads the rest again.
func (h *Host) reached(name string, at caches.Position) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[name] = at
	if now.Sub(h.reported[name]) < reportPositions {
		return
	}
	h.reported[name] = now
	h.reads.Add(trail.Origin{}, read{cache: name, at: at})
}

// read is how far a cache has been read.
type read struct {
	cache string
	at    caches.Position
}

// nodes returns the hosts among which caches are divided, the stronger ones with
// more of them.
func (h *Host) nodes() []place.Target {
	up := append(h.peers.Up(time.Now()), h.self())
	nodes := make([]place.Target, 0, len(up))
	for _, n := range up {
		weight := n.Strength
		if weight <= 0 {
			weight = h.settings.Strength
		}
		nodes = append(nodes, place.Target{Name: n.Name, Hash: place.Hash(n.Name), Weight: max(weight, minStrength)})
	}
	return nodes
}

func (h *Host) self() tree.Node {
	return tree.Node{Name: h.settings.Name, DataCentre: h.settings.DataCentre, Strength: h.settings.Strength}
}

func (h *Host) parts() []pick.Placed {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picks.Parts()
}

// warm takes over, once after a start, what a peer believes to be in caches.
func (h *Host) warm(ctx context.Context) error {
	for range warmTries {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(warmInterval):
		}
		parts, err := h.peers.AskParts(ctx)
		if err != nil || len(parts) == 0 || !h.listed.Load() {
			continue
		}
		h.mu.Lock()
		h.picks.HearParts(parts)
		h.mu.Unlock()
		h.logger.Info("parts taken from a peer", "parts", len(parts))
		break
	}
	<-ctx.Done()
	return ctx.Err()
}

func (h *Host) forget(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picks.Forget(name)
}
