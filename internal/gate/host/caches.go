package host

import (
	"context"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/caches"
	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/tree"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

const (
	// A host that has just started asks a peer for the cache contents every
	// warmupInterval, up to warmupAttempts times. Peers discover each other within
	// 0.2 s.
	warmupInterval = 150 * time.Millisecond
	warmupAttempts = 10
	// rootCompletion and childCompletion are how long after the start a host asks once more
	// for all that is known, when all caches have been read: roots first, as their
	// children ask them. If all hosts have started, most is reported before they are in
	// touch.
	rootCompletion, childCompletion = 900 * time.Millisecond, 1300 * time.Millisecond
	// rowsTimeout is how long a host that has just started waits for the rows of the
	// other hosts before it follows caches.
	rowsTimeout = 2 * time.Second
	// positionInterval is the minimum time between two reports of a cache's
	// position.
	positionInterval = time.Second
	// maxPositions bounds the positions kept for messages to peers.
	maxPositions = 1024
	// minStrength is the lower bound of a host's weight, used when its strength is
	// unknown.
	minStrength = 0.1
)

// cacheSources returns the engines and stores that publish cache events; none until the
// host has read which other hosts there are. Alone it would follow all caches: the events
// of 143 of them block a link of 10 Mbit/s for seconds.
func (h *Host) cacheSources() []caches.Source {
	p := h.plan.Load()
	if p == nil || !h.rowsRead.Load() && time.Since(h.startedAt) < rowsTimeout {
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

func (h *Host) applyCacheEvents(name string, parts []pick.CacheEvent, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.ApplyCacheEvents(name, parts, whole)
}

func (h *Host) cachePosition(name string) (caches.Position, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.cachePositions[name]
	return at, ok
}

// recordPosition records up to where this host has read a cache's events. Other
// hosts receive the position only periodically; a host that takes over the cache
// reads the events after it again.
func (h *Host) recordPosition(name string, at caches.Position) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cachePositions[name] = at
	if now.Sub(h.positionReportedAt[name]) < positionInterval {
		return
	}
	h.positionReportedAt[name] = now
	h.positionUpdates.Add(oplog.Origin{}, positionUpdate{cache: name, at: at})
}

// positionUpdate is the position up to which a cache's events have been read.
type positionUpdate struct {
	cache string
	at    caches.Position
}

// nodes returns the hosts among which the caches are divided, weighted by strength.
func (h *Host) nodes() []place.Target {
	up := append(h.peers.Expected(time.Now()), h.self())
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

func (h *Host) parts() []pick.Placement {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picker.CachedParts()
}

// warmUp copies a peer's cache contents once after the start.
func (h *Host) warmUp(ctx context.Context) error {
	for range warmupAttempts {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(warmupInterval):
		}
		parts, err := h.peers.FetchParts(ctx)
		if err != nil || len(parts) == 0 || !h.targetsListed.Load() {
			continue
		}
		h.mu.Lock()
		h.picker.MergeParts(parts)
		h.mu.Unlock()
		h.logger.Info("copied cache contents from a peer", "parts", len(parts))
		break
	}
	h.completeParts(ctx)
	<-ctx.Done()
	return ctx.Err()
}

// completeParts copies the cache contents that hosts have learned since they started.
func (h *Host) completeParts(ctx context.Context) {
	after := rootCompletion
	if h.peers.Parent() != "" {
		after = childCompletion
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(after - time.Since(h.startedAt)):
	}
	parts, err := h.peers.CompleteParts(ctx)
	h.mu.Lock()
	h.picker.MergeParts(parts)
	h.mu.Unlock()
	h.logger.Info("copied cache contents again", "parts", len(parts), "error", err)
}

func (h *Host) clearCache(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.ClearCache(name)
}
