// Package caches reads the event streams in which engines and stores report the
// contents of their caches. Each cache is assigned to one node, which reads its
// events and passes them on to the other nodes.
package caches

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

const (
	// eventsWait is how long a call waits for events.
	eventsWait = 800 * time.Millisecond
	// batchDelay is the pause between calls, so that events in quick succession
	// are read in one call.
	batchDelay = 100 * time.Millisecond
	// callTimeout is how long a call may take beyond its wait.
	callTimeout = 500 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 400 * time.Millisecond
	// assignInterval is how often the assignment of caches to nodes is updated.
	assignInterval = 300 * time.Millisecond
	// firstAssignInterval replaces it until a cache is assigned: after a start of all nodes,
	// prompts are read again until the contents of the caches are known.
	firstAssignInterval = 50 * time.Millisecond
)

// Source is a cache with an event stream.
type Source struct {
	// Name is the name of the engine or store.
	Name string
	// Address is its IP number and port.
	Address string
	// Instance identifies the engine instance that is meant; empty for stores.
	Instance string
}

// Events is a batch of events from a cache.
type Events struct {
	// Start identifies the process start of the cache.
	Start uint64
	// Next is the event number to read from next.
	Next uint64
	// Lost is true if the cache no longer has all events since the requested
	// number.
	Lost bool
	// Parts are the prompt parts whose state in the cache has changed.
	Parts []pick.CacheEvent
}

// Position is how far a cache's event stream has been read.
type Position struct {
	// Start identifies the process start of the cache.
	Start uint64 `json:"start"`
	// Next is the event number to read from next.
	Next uint64 `json:"next"`
}

// Client reads the event streams of caches. It is implemented by the adapter to a
// platform.
type Client interface {
	// Events returns the events from a number on. If there are none, it waits for
	// some, at most for the given time.
	Events(ctx context.Context, source Source, from uint64, wait time.Duration) (Events, error)
	// Contents returns the full contents of a cache.
	Contents(ctx context.Context, source Source) (Events, error)
}

// Options configures [Follower].
type Options struct {
	// Name is this node's name.
	Name string
	// Client reads the event streams.
	Client Client
	// Sources returns all caches.
	Sources func() []Source
	// Nodes returns the nodes that the caches are assigned to, this one included.
	Nodes func() []place.Target
	// Apply applies events of a cache. If whole is true, parts describe the cache
	// from the beginning, not relative to earlier events.
	Apply func(name string, parts []pick.CacheEvent, whole bool)
	// Position returns how far any node has read a cache's events, so that a node
	// that takes over the cache need not start from the beginning.
	Position func(name string) (Position, bool)
	// SetPosition is called with the position after each read.
	SetPosition func(name string, at Position)
	// Forget discards the recorded contents of a cache that has restarted or whose
	// events were lost.
	Forget func(name string)
	// Scope receives the metrics.
	Scope tally.Scope
	// Logger logs lost events.
	Logger hclog.Logger
}

// Follower reads the event streams of the caches assigned to this node. It is a
// suture service. See [New].
type Follower struct {
	options   Options
	followers map[Source]context.CancelFunc
	// assigned are the caches assigned to this node. They were computed from nodes
	// and sources.
	nodes    []place.Target
	sources  map[Source]bool
	assigned map[Source]bool
}

// New returns a service that follows the caches assigned to this node.
//
//	supervisor.Add(caches.New(options))
func New(options Options) *Follower {
	return &Follower{options: options, followers: map[Source]context.CancelFunc{}}
}

// Serve runs until the context ends and all followers have stopped.
func (f *Follower) Serve(ctx context.Context) error {
	timer := time.NewTimer(firstAssignInterval)
	defer timer.Stop()
	ended := make(chan Source)
	for {
		select {
		case <-ctx.Done():
			for len(f.followers) > 0 {
				delete(f.followers, <-ended)
			}
			return ctx.Err()
		case source := <-ended:
			delete(f.followers, source)
		case <-timer.C:
			f.updateFollowers(ctx, ended)
			interval := assignInterval
			if len(f.assigned) == 0 {
				interval = firstAssignInterval
			}
			timer.Reset(interval)
		}
	}
}

// updateFollowers starts followers of caches newly assigned to this node, and
// stops those of caches that no longer are.
func (f *Follower) updateFollowers(ctx context.Context, ended chan<- Source) {
	assigned := f.assign()
	for source, cancel := range f.followers {
		if !assigned[source] {
			cancel()
		}
	}
	for source := range assigned {
		if _, ok := f.followers[source]; ok {
			continue
		}
		following, cancel := context.WithCancel(ctx)
		f.followers[source] = cancel
		go func(ctx context.Context) {
			f.follow(ctx, source)
			ended <- source
		}(following)
	}
}

// assign returns the caches assigned to this node by rendezvous hashing. It
// returns the last result if neither the caches nor the nodes have changed
// since.
func (f *Follower) assign() map[Source]bool {
	sources := map[Source]bool{}
	for _, source := range f.options.Sources() {
		sources[source] = true
	}
	nodes := f.options.Nodes()
	if f.assigned != nil && slices.Equal(nodes, f.nodes) && maps.Equal(sources, f.sources) {
		return f.assigned
	}
	f.nodes, f.sources, f.assigned = nodes, sources, map[Source]bool{}
	for source := range sources {
		best := place.Rank(place.Hash(source.Name), nodes, 1)
		if len(best) > 0 && nodes[best[0]].Name == f.options.Name {
			f.assigned[source] = true
		}
	}
	return f.assigned
}

// follow reads the events of one cache until the context ends.
func (f *Follower) follow(ctx context.Context, source Source) {
	position, known := f.options.Position(source.Name)
	for ctx.Err() == nil {
		events, whole, err := f.read(ctx, source, position.Next, known)
		pause := batchDelay
		switch {
		case err != nil:
			f.options.Scope.Counter("cache_events_failed").Inc(1)
			pause = retryDelay
		case position.Start != 0 && events.Start != position.Start:
			f.options.Forget(source.Name)
			position = Position{Start: events.Start}
			continue
		default:
			f.options.Apply(source.Name, events.Parts, whole)
			position = Position{Start: events.Start, Next: events.Next}
			known = true
			f.options.SetPosition(source.Name, position)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// read returns the next events. If events were lost, or no position is known from which
// to read them, it returns the full contents of the cache, which are shorter than all
// events that led to them.
func (f *Follower) read(ctx context.Context, source Source, from uint64, known bool) (next Events, whole bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, eventsWait+callTimeout)
	defer cancel()
	if !known {
		held, err := f.options.Client.Contents(ctx, source)
		return held, true, err
	}
	events, err := f.options.Client.Events(ctx, source, from, eventsWait)
	if err != nil || !events.Lost {
		return events, from == 0, err
	}
	f.options.Logger.Info("cache events lost; reading the full contents", "cache", source.Name, "from", from)
	f.options.Scope.Counter("cache_events_lost").Inc(1)
	held, err := f.options.Client.Contents(ctx, source)
	if err == nil {
		f.options.Forget(source.Name)
	}
	return held, true, err
}
