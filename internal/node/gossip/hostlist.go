package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cicadamill/cicadamill/internal/fleet/member"
	"github.com/cicadamill/cicadamill/internal/infra/hosts"
)

const (
	entryKind = "entry"

	listInterval   = 5 * time.Second
	listTimeout    = 5 * time.Second
	bytesPerHost   = 120
	bytesPerSecond = 1 << 10
	maxLookups     = 8
)

// readLists reads the host list at intervals until the context ends. The channel
// that it returns is closed when its goroutine has ended.
func (g *Gossip) readLists(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func(ctx context.Context) {
		defer close(ended)
		if g.options.HostList == nil {
			return
		}
		wait := time.Duration(0)
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			wait = g.readList(ctx)
		}
	}(ctx)
	return ended
}

// readList reads the host list once and returns the time until the next read. The
// longer the list, the longer the interval, so that each node reads about
// bytesPerSecond. Changes reach all nodes by gossip from the first one that sees
// them.
func (g *Gossip) readList(ctx context.Context) time.Duration {
	jitter := 0.75 + 0.5*rand.Float64()
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	all, err := g.options.HostList.List(limited)
	if err != nil {
		g.options.Scope.Counter("host_list_failures").Inc(1)
		return time.Duration(jitter * float64(listInterval))
	}
	g.options.Scope.Counter("host_list_reads").Inc(1)
	g.applyList(ctx, all)
	length := time.Duration(len(all)*bytesPerHost) * time.Second / bytesPerSecond
	return time.Duration(jitter * float64(max(listInterval, length)))
}

func (g *Gossip) applyList(ctx context.Context, all []hosts.Host) {
	var message member.HostList
	for _, h := range all {
		switch {
		case h.Kind == entryKind:
			message.Nodes = append(message.Nodes, member.Host{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre, Leaving: h.Leaving})
		case h.Leaving:
			message.LeavingTargets = append(message.LeavingTargets, h.Name)
		}
	}
	before := g.lookedUp
	g.lookUp(ctx, message.LeavingTargets)
	g.update(message)
	for _, name := range message.LeavingTargets {
		if _, known := before[name]; !known && g.options.OnTargetLeaving != nil {
			g.options.OnTargetLeaving(name)
		}
	}
}

// lookUp requests the incarnations of targets that the list newly reports as
// leaving, because a leaving mark can only be gossiped with an incarnation. It
// requests at most maxLookups per read; the others follow at the next reads.
func (g *Gossip) lookUp(ctx context.Context, leaving []string) {
	next := make(map[string]bool, len(leaving))
	requests := 0
	for _, name := range leaving {
		if g.lookedUp[name] || g.options.Dial == nil {
			next[name] = true
			continue
		}
		if requests++; requests > maxLookups {
			continue
		}
		next[name] = g.requestIncarnation(ctx, name)
	}
	g.lookedUp = next
}

func (g *Gossip) requestIncarnation(ctx context.Context, name string) bool {
	client, ok := g.options.Dial(name)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	load, err := client.Load(ctx)
	if err != nil {
		return false
	}
	g.TargetReported(name, load.Incarnation, load.Leaving)
	return true
}
