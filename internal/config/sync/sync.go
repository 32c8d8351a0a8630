// Package sync decides how a node learns of new configurations: from peers as
// soon as it hears of one, from the table by a slow jittered poll as the floor.
// The version on a node only rises.
package sync

import (
	"math/rand/v2"
	"time"
)

const (
	// pollInterval is the mean time between reads of the head row by one node
	// in a small fleet.
	pollInterval = 30 * time.Second
	// fleetReads bounds the head reads a second of the whole fleet.
	fleetReads = 4
	// firstPoll spreads the first reads of nodes that start together.
	firstPoll = 2 * time.Second
	// retryInterval follows a failed fetch.
	retryInterval = 300 * time.Millisecond
	// fanout is how many peers hear at once of a version that is new here.
	fanout   = 3
	maxHeard = 64
)

// State is what a node knows of versions.
type State struct {
	version  uint64
	sum      string
	nodes    int
	peers    []string
	heard    map[string]uint64
	order    []string
	table    uint64
	fetching bool
	retry    time.Time
	poll     time.Time
	flag     Flag
	seed     uint64
	draws    uint64
}

// New returns the state of a node that has nothing in force but its settings'
// bootstrap configuration. Nodes need different seeds.
//
//	state := sync.New(seed)
//	state, commands = state.Update(now, sync.Heard{Peer: address, Version: 7})
func New(seed uint64) State {
	return State{seed: seed, heard: map[string]uint64{}, nodes: 1}
}

// Version returns the version in force; zero means the bootstrap configuration.
func (s State) Version() uint64 { return s.version }

// Update takes a message and returns the new state and what to do.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case Tick:
		return s.tick(now)
	case Peers:
		return s.setPeers(m), nil
	case Heard:
		return s.hear(now, m)
	case HeadRead:
		return s.headRead(now, m)
	case Offered:
		return s.offered(now, m)
	case FetchFailed:
		return s.failed(now, m)
	default:
		return s, nil
	}
}

func (s State) tick(now time.Time) (State, []Command) {
	if s.poll.IsZero() {
		s.poll = now.Add(s.draw(firstPoll))
	}
	var commands []Command
	if !now.Before(s.poll) {
		s.poll = now.Add(s.interval()/2 + s.draw(s.interval()))
		commands = append(commands, ReadHead{})
	}
	next, fetch := s.fetch(now)
	return next, append(commands, fetch...)
}

// interval grows with the fleet, so that the table's reads do not.
func (s State) interval() time.Duration {
	return max(pollInterval, time.Duration(s.nodes)*time.Second/fleetReads)
}

func (s State) setPeers(m Peers) State {
	s.peers = m.Addresses
	s.nodes = max(1, m.Nodes)
	return s
}

func (s State) hear(now time.Time, m Heard) (State, []Command) {
	if m.Version <= s.version {
		return s, nil
	}
	s = s.remember(m)
	return s.fetch(now)
}

// remember keeps what a bounded number of peers have, the latest to speak.
func (s State) remember(m Heard) State {
	if _, known := s.heard[m.Peer]; !known {
		if len(s.order) == maxHeard {
			delete(s.heard, s.order[0])
			s.order = s.order[1:]
		}
		s.order = append(s.order, m.Peer)
	}
	s.heard[m.Peer] = max(m.Version, s.heard[m.Peer])
	return s
}

// fetch asks a peer that has a newer version, or else the table.
func (s State) fetch(now time.Time) (State, []Command) {
	if s.fetching || now.Before(s.retry) {
		return s, nil
	}
	if peer, ok := s.newest(); ok {
		s.fetching = true
		return s, []Command{FetchPeer{Peer: peer, Have: s.version, Sum: s.sum}}
	}
	if s.table > s.version {
		s.fetching = true
		return s, []Command{FetchTable{Version: s.table}}
	}
	return s, nil
}

// newest picks one of the peers that have the highest version heard of.
func (s State) newest() (string, bool) {
	best, count, picked := s.version, 0, ""
	for _, peer := range s.order {
		version, known := s.heard[peer]
		switch {
		case !known || version <= s.version || version < best:
			continue
		case version > best:
			best, count = version, 0
		}
		count++
		if s.draws++; rand.New(rand.NewPCG(s.seed, s.draws)).IntN(count) == 0 {
			picked = peer
		}
	}
	return picked, picked != ""
}

func (s State) headRead(now time.Time, m HeadRead) (State, []Command) {
	switch {
	case m.Version < s.version:
		return s.raise(TableOlder{Table: m.Version, InForce: s.version})
	case m.Version == s.version && m.Version > 0 && m.Sum != s.sum:
		return s.raise(Forked{Version: m.Version})
	}
	s, commands := s.raise(nil)
	s.table = m.Version
	s, more := s.fetch(now)
	return s, append(commands, more...)
}

// raise tells of a flag once, until it changes.
func (s State) raise(flag Flag) (State, []Command) {
	if flag == s.flag {
		return s, nil
	}
	s.flag = flag
	return s, []Command{Warn{Flag: flag}}
}

func (s State) offered(now time.Time, m Offered) (State, []Command) {
	if m.Fetched {
		s.fetching = false
	}
	if m.Version <= s.version {
		return s, nil
	}
	s.version, s.sum = m.Version, m.Sum
	s = s.forget()
	commands := []Command{Apply{Version: m.Version, Sum: m.Sum, Config: m.Config, Changes: m.Changes}}
	if peers := s.pick(m.From); len(peers) > 0 {
		commands = append(commands, Tell{Peers: peers, Version: m.Version})
	}
	s, cleared := s.raise(nil)
	s, more := s.fetch(now)
	return s, append(append(commands, cleared...), more...)
}

// forget drops what is no longer news.
func (s State) forget() State {
	kept := s.order[:0:0]
	for _, peer := range s.order {
		if s.heard[peer] <= s.version {
			delete(s.heard, peer)
			continue
		}
		kept = append(kept, peer)
	}
	s.order = kept
	return s
}

// pick draws the peers that hear of a new version at once.
func (s State) pick(except string) []string {
	random := rand.New(rand.NewPCG(s.seed, s.version))
	var picked []string
	for _, at := range random.Perm(len(s.peers)) {
		if s.peers[at] != except && len(picked) < fanout {
			picked = append(picked, s.peers[at])
		}
	}
	return picked
}

func (s State) failed(now time.Time, m FetchFailed) (State, []Command) {
	s.fetching = false
	s.retry = now.Add(retryInterval + s.draw(retryInterval))
	if _, known := s.heard[m.Peer]; known {
		delete(s.heard, m.Peer)
		s = s.forgetPeer(m.Peer)
	}
	return s, nil
}

func (s State) forgetPeer(gone string) State {
	kept := s.order[:0:0]
	for _, peer := range s.order {
		if peer != gone {
			kept = append(kept, peer)
		}
	}
	s.order = kept
	return s
}

// draw returns a random part of a duration.
func (s *State) draw(d time.Duration) time.Duration {
	s.draws++
	return time.Duration(rand.New(rand.NewPCG(s.seed, s.draws)).Int64N(int64(d)))
}
