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
	maxLookUps     = 8
)

// readLists reads the platform's list until the context ends; the channel is
// closed when nothing of it is left.
func (g *Gossip) readLists(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func(ctx context.Context) {
		defer close(ended)
		if g.options.List == nil {
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

// readList returns when to read again. The longer the list, the rarer one node
// reads it; what one node sees there spreads to all.
func (g *Gossip) readList(ctx context.Context) time.Duration {
	jitter := 0.75 + 0.5*rand.Float64()
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	all, err := g.options.List.List(limited)
	if err != nil {
		g.options.Scope.Counter("host_list_failures").Inc(1)
		return time.Duration(jitter * float64(listInterval))
	}
	g.options.Scope.Counter("host_list_reads").Inc(1)
	g.listed(ctx, all)
	length := time.Duration(len(all)*bytesPerHost) * time.Second / bytesPerSecond
	return time.Duration(jitter * float64(max(listInterval, length)))
}

func (g *Gossip) listed(ctx context.Context, all []hosts.Host) {
	var message member.Listed
	for _, h := range all {
		switch {
		case h.Kind == entryKind:
			message.Nodes = append(message.Nodes, member.Host{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre, Leaving: h.Leaving})
		case h.Leaving:
			message.LeavingTargets = append(message.LeavingTargets, h.Name)
		}
	}
	before := g.lagged
	g.lookUp(ctx, message.LeavingTargets)
	g.update(message)
	for _, name := range message.LeavingTargets {
		if _, known := before[name]; !known && g.options.Leaving != nil {
			g.options.Leaving(name)
		}
	}
}

// lookUp asks targets that the list newly shows as leaving for their
// incarnation, since only a mark with one can be told to other nodes.
func (g *Gossip) lookUp(ctx context.Context, leaving []string) {
	next := make(map[string]bool, len(leaving))
	asked := 0
	for _, name := range leaving {
		if g.lagged[name] || g.options.Dial == nil {
			next[name] = true
			continue
		}
		if asked++; asked > maxLookUps {
			continue
		}
		next[name] = g.ask(ctx, name)
	}
	g.lagged = next
}

func (g *Gossip) ask(ctx context.Context, name string) bool {
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
	g.Saw(name, load.Incarnation, load.Leaving)
	return true
}
