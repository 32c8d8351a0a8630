// Package syncer decides when a node fetches a new configuration and from where.
// A node fetches from a peer as soon as the peer reports a newer version, and
// polls the table slowly, with jitter, in case no report arrives. The active
// version of a node never decreases.
package syncer

import (
	"math/rand/v2"
	"time"
)

const (
	// minPollInterval is the minimum mean interval between reads of the head row by
	// one node. It applies to small fleets; see meanPollInterval.
	minPollInterval = 30 * time.Second
	// maxFleetReadsPerSecond is the maximum mean rate of head reads by the whole
	// fleet; smaller fleets read less often.
	maxFleetReadsPerSecond = 4
	// firstPollSpread is the range of the random delay before the first read. It
	// spreads the load when many nodes start together.
	firstPollSpread = 2 * time.Second
	// retryInterval is the minimum delay after a failed fetch. The actual delay is
	// up to twice as long.
	retryInterval = 300 * time.Millisecond
	// fanout is the number of peers that a node notifies when it activates a new
	// version.
	fanout = 3
	// maxTrackedPeers is the maximum number of peers whose reported version is kept.
	maxTrackedPeers = 64
)

// State is the synchronization state of one node. It performs no I/O: messages
// go in through [State.Update], and commands come out.
type State struct {
	// version and sum identify the active configuration.
	version uint64
	sum     string
	nodes   int
	peers   []string
	// peerVersions holds the newer versions reported by peers. peerOrder lists the
	// same peers, the one tracked longest first.
	peerVersions map[string]uint64
	peerOrder    []string
	// tableVersion is the version last read from the head row.
	tableVersion uint64
	fetching     bool
	// retryAt is the earliest time of the next fetch.
	retryAt time.Time
	// pollAt is the time of the next head read; zero before the first tick.
	pollAt time.Time
	flag   Flag
	seed   uint64
	// draws counts the random numbers drawn from seed.
	draws uint64
}

// New returns the state of a node whose active configuration is the bootstrap
// configuration from its settings. Each node needs a different seed, so that
// the nodes' polls don't coincide.
//
//	state := syncer.New(seed)
//	state, commands = state.Update(now, syncer.PeerVersion{Peer: address, Version: 7})
func New(seed uint64) State {
	return State{seed: seed, peerVersions: map[string]uint64{}, nodes: 1}
}

// Version returns the active version; zero means the bootstrap configuration.
func (s State) Version() uint64 { return s.version }

// Update processes a message and returns the new state and the commands to
// execute.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case Tick:
		return s.tick(now)
	case PeersChanged:
		return s.setPeers(m), nil
	case PeerVersion:
		return s.peerReported(now, m)
	case HeadRead:
		return s.headRead(now, m)
	case ConfigReceived:
		return s.configReceived(now, m)
	case FetchFailed:
		return s.fetchFailed(now, m)
	default:
		return s, nil
	}
}

func (s State) tick(now time.Time) (State, []Command) {
	if s.pollAt.IsZero() {
		s.pollAt = now.Add(s.jitter(firstPollSpread))
	}
	var commands []Command
	if !now.Before(s.pollAt) {
		s.pollAt = now.Add(s.meanPollInterval()/2 + s.jitter(s.meanPollInterval()))
		commands = append(commands, ReadHead{})
	}
	next, fetch := s.fetch(now)
	return next, append(commands, fetch...)
}

// meanPollInterval grows with the fleet, so that the total read rate of the table
// doesn't exceed maxFleetReadsPerSecond in a large fleet.
func (s State) meanPollInterval() time.Duration {
	return max(minPollInterval, time.Duration(s.nodes)*time.Second/maxFleetReadsPerSecond)
}

func (s State) setPeers(m PeersChanged) State {
	s.peers = m.Addresses
	s.nodes = max(1, m.Nodes)
	return s
}

func (s State) peerReported(now time.Time, m PeerVersion) (State, []Command) {
	if m.Version <= s.version {
		return s, nil
	}
	s = s.recordPeer(m)
	return s.fetch(now)
}

// recordPeer stores the version reported by a peer. When it already tracks
// maxTrackedPeers other peers, it drops the one tracked longest.
func (s State) recordPeer(m PeerVersion) State {
	if _, known := s.peerVersions[m.Peer]; !known {
		if len(s.peerOrder) == maxTrackedPeers {
			delete(s.peerVersions, s.peerOrder[0])
			s.peerOrder = s.peerOrder[1:]
		}
		s.peerOrder = append(s.peerOrder, m.Peer)
	}
	s.peerVersions[m.Peer] = max(m.Version, s.peerVersions[m.Peer])
	return s
}

// fetch starts a fetch unless one is running or the retry delay after a failed
// one has not passed. It prefers a peer that reported a newer version and falls
// back to the table.
func (s State) fetch(now time.Time) (State, []Command) {
	if s.fetching || now.Before(s.retryAt) {
		return s, nil
	}
	if peer, ok := s.newestPeer(); ok {
		s.fetching = true
		return s, []Command{FetchPeer{Peer: peer, Have: s.version, Sum: s.sum}}
	}
	if s.tableVersion > s.version {
		s.fetching = true
		return s, []Command{FetchTable{Version: s.tableVersion}}
	}
	return s, nil
}

// newestPeer picks, at random, one of the peers that reported the highest version.
func (s State) newestPeer() (string, bool) {
	best, count, picked := s.version, 0, ""
	for _, peer := range s.peerOrder {
		version, known := s.peerVersions[peer]
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
		return s.setFlag(TableOlder{Table: m.Version, Active: s.version})
	case m.Version == s.version && m.Version > 0 && m.Sum != s.sum:
		return s.setFlag(TableDiffers{Version: m.Version})
	}
	s, commands := s.setFlag(nil)
	s.tableVersion = m.Version
	s, more := s.fetch(now)
	return s, append(commands, more...)
}

// setFlag records a flag and emits [SetFlag] only when the flag changes.
func (s State) setFlag(flag Flag) (State, []Command) {
	if flag == s.flag {
		return s, nil
	}
	s.flag = flag
	return s, []Command{SetFlag{Flag: flag}}
}

func (s State) configReceived(now time.Time, m ConfigReceived) (State, []Command) {
	if m.Fetched {
		s.fetching = false
	}
	if m.Version <= s.version {
		return s, nil
	}
	s.version, s.sum = m.Version, m.Sum
	s = s.dropReached()
	commands := []Command{Apply{Version: m.Version, Sum: m.Sum, Config: m.Config, Changes: m.Changes}}
	if peers := s.pickPeers(m.From); len(peers) > 0 {
		commands = append(commands, NotifyPeers{Peers: peers, Version: m.Version})
	}
	s, cleared := s.setFlag(nil)
	s, more := s.fetch(now)
	return s, append(append(commands, cleared...), more...)
}

// dropReached drops the peers whose reported version is not newer than the active
// version.
func (s State) dropReached() State {
	kept := s.peerOrder[:0:0]
	for _, peer := range s.peerOrder {
		if s.peerVersions[peer] <= s.version {
			delete(s.peerVersions, peer)
			continue
		}
		kept = append(kept, peer)
	}
	s.peerOrder = kept
	return s
}

// pickPeers draws the peers to notify of a new version.
func (s State) pickPeers(except string) []string {
	random := rand.New(rand.NewPCG(s.seed, s.version))
	var picked []string
	for _, at := range random.Perm(len(s.peers)) {
		if s.peers[at] != except && len(picked) < fanout {
			picked = append(picked, s.peers[at])
		}
	}
	return picked
}

func (s State) fetchFailed(now time.Time, m FetchFailed) (State, []Command) {
	s.fetching = false
	s.retryAt = now.Add(retryInterval + s.jitter(retryInterval))
	if _, known := s.peerVersions[m.Peer]; known {
		delete(s.peerVersions, m.Peer)
		s = s.dropPeer(m.Peer)
	}
	return s, nil
}

func (s State) dropPeer(dropped string) State {
	kept := s.peerOrder[:0:0]
	for _, peer := range s.peerOrder {
		if peer != dropped {
			kept = append(kept, peer)
		}
	}
	s.peerOrder = kept
	return s
}

// jitter returns a random duration from zero up to d.
func (s *State) jitter(d time.Duration) time.Duration {
	s.draws++
	return time.Duration(rand.New(rand.NewPCG(s.seed, s.draws)).Int64N(int64(d)))
}
