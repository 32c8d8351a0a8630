package host

import (
	"context"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/caches"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
)

const (
	// warmInterval and warmTries are how often a host that has started asks a peer
	// what is in caches: peers hear of each other within 0.2 s.
	warmInterval = 150 * time.Millisecond
	warmTries    = 10
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

func (h *Host) reached(name string, at caches.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads[name] = at
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
