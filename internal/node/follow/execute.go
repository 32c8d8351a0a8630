package follow

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/config/delta"
	"github.com/cicadamill/cicadamill/internal/config/share"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/config/syncer"
)

// execute executes a command. Network requests run in the background and deliver
// their results as messages.
func (f *Follower) execute(ctx context.Context, command syncer.Command) {
	switch c := command.(type) {
	case syncer.ReadHead:
		go f.readHead(ctx)
	case syncer.FetchPeer:
		go f.fetch(ctx, c.Peer, func(ctx context.Context) (syncer.ConfigReceived, error) { return f.fetchFromPeer(ctx, c) })
	case syncer.FetchTable:
		go f.fetch(ctx, "", func(ctx context.Context) (syncer.ConfigReceived, error) { return f.fetchFromTable(ctx, c.Version) })
	case syncer.Apply:
		f.apply(ctx, c)
	case syncer.NotifyPeers:
		for _, peer := range c.Peers {
			go f.sendHint(ctx, peer, c.Version)
		}
	case syncer.SetFlag:
		f.setFlag(c.Flag)
	}
}

func (f *Follower) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	f.options.Scope.Counter("config_head_reads").Inc(1)
	_, head, err := f.options.Store.Head(ctx)
	if err != nil {
		f.options.Scope.Counter("config_head_read_errors").Inc(1)
		return
	}
	f.deliver(ctx, syncer.HeadRead{Version: head.Version, Sum: head.Sum})
}

// fetch runs one fetch and delivers the configuration or [syncer.FetchFailed].
func (f *Follower) fetch(ctx context.Context, peer string, get func(context.Context) (syncer.ConfigReceived, error)) {
	limited, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	offered, err := get(limited)
	if err != nil {
		f.options.Scope.Counter("config_fetch_errors").Inc(1)
		f.options.Logger.Debug("configuration not fetched", "peer", peer, "error", err)
		f.deliver(ctx, syncer.FetchFailed{Peer: peer})
		return
	}
	f.deliver(ctx, offered)
}

// fetchFromPeer fetches the changes since the version in force. If their result
// doesn't match the digest, it fetches the whole configuration.
func (f *Follower) fetchFromPeer(ctx context.Context, c syncer.FetchPeer) (syncer.ConfigReceived, error) {
	f.options.Scope.Counter("config_peer_fetches").Inc(1)
	for _, have := range []syncer.FetchPeer{c, {Peer: c.Peer, Have: c.Have}} {
		answer, ok, err := f.options.Peers.Fetch(ctx, c.Peer, have.Have, have.Sum)
		if err != nil {
			return syncer.ConfigReceived{}, err
		}
		if !ok {
			return syncer.ConfigReceived{}, errors.New("the peer has no newer configuration")
		}
		config, err := answer.Build(f.current())
		if err == nil {
			return syncer.ConfigReceived{Version: answer.Version, Sum: answer.Sum, Config: config, Changes: answer.Changes, From: c.Peer, Fetched: true}, nil
		}
		f.options.Scope.Counter("config_sum_errors").Inc(1)
	}
	return syncer.ConfigReceived{}, errors.New("the peer's configuration does not match its digest")
}

func (f *Follower) fetchFromTable(ctx context.Context, version uint64) (syncer.ConfigReceived, error) {
	f.options.Scope.Counter("config_table_fetches").Inc(1)
	entry, err := f.options.Store.Entry(ctx, version)
	if err != nil {
		return syncer.ConfigReceived{}, err
	}
	if entry.Nonce == "" {
		return syncer.ConfigReceived{}, errors.NotFoundf("record of version %d", version)
	}
	text, err := f.options.Store.Text(ctx, entry)
	if err != nil {
		return syncer.ConfigReceived{}, err
	}
	config, err := site.Parse(text)
	if err != nil {
		return syncer.ConfigReceived{}, errors.Trace(err)
	}
	config = delta.Sort(config)
	return syncer.ConfigReceived{Version: version, Sum: delta.Sum(config), Config: config, Fetched: true}, nil
}

func (f *Follower) current() site.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func (f *Follower) sendHint(ctx context.Context, peer string, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	if err := f.options.Peers.SendHint(ctx, peer, share.Hint{Peer: f.options.Address, Version: version}); err != nil {
		f.options.Scope.Counter("config_hint_errors").Inc(1)
	}
}

func (f *Follower) apply(ctx context.Context, c syncer.Apply) {
	if err := f.options.Apply(ctx, c.Version, c.Config); err != nil {
		f.options.Logger.Error("configuration not applied", "version", c.Version, "error", err)
		return
	}
	f.options.Scope.Counter("config_applied").Inc(1)
	f.options.Scope.Gauge("config_version").Update(float64(c.Version))
	f.recordChanges(c)
}

// recordChanges stores the changes from the previous version, for peers that still
// have it in force. The list holds at most maxChanges and has no gap: if the
// command has no changes from the version in force, they are computed by
// comparing the two configurations.
func (f *Follower) recordChanges(c syncer.Apply) {
	f.mu.Lock()
	before, sum, last := f.config, f.sum, f.version
	f.mu.Unlock()
	changes := c.Changes
	if sum != "" && (len(changes) == 0 || changes[0].Base != last) {
		change := delta.Diff(last, before, c.Config)
		change.Version = c.Version
		changes = []delta.Change{change}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if sum != "" {
		f.changes = append(f.changes, changes...)
		f.changes = slices.Clone(f.changes[max(0, len(f.changes)-maxChanges):])
	}
	f.config, f.sum, f.version = c.Config, c.Sum, c.Version
}

func (f *Follower) setFlag(flag syncer.Flag) {
	f.mu.Lock()
	f.flag = flag
	f.mu.Unlock()
	if flag == nil {
		f.options.Scope.Gauge("config_flag").Update(0)
		f.options.Logger.Info("the table's configuration matches the one in force again")
		return
	}
	f.options.Scope.Gauge("config_flag").Update(1)
	f.options.Logger.Error(flag.String())
}

// deliver sends a message and waits for room in the inbox, because the state
// machine must receive the end of every fetch.
func (f *Follower) deliver(ctx context.Context, message syncer.Message) {
	select {
	case f.inbox <- message:
	case <-ctx.Done():
	}
}
