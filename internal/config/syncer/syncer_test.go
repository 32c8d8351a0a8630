package syncer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/config/syncer"
)

var begin = time.Unix(1000, 0)

// drawMessage draws a message that the caller of Update may send. Results of a
// fetch are drawn only while a fetch is running.
func drawMessage(t *rapid.T, fetching bool) syncer.Message {
	version := rapid.Uint64Range(0, 6).Draw(t, "version")
	peer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer")
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return syncer.PeerVersion{Peer: peer, Version: version}
	case 1:
		return syncer.HeadRead{Version: version, Sum: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "sum")}
	case 2:
		return syncer.ConfigReceived{Version: version, Sum: "x"}
	case 3:
		return syncer.PeersChanged{Addresses: []string{"a", "b", "c"}, Nodes: 4}
	case 4:
		if fetching {
			return syncer.ConfigReceived{Version: version, Sum: "x", From: peer, Fetched: true}
		}
	case 5:
		if fetching {
			return syncer.FetchFailed{Peer: peer}
		}
	}
	return syncer.Tick{}
}

func TestAnyOrderOfMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, now := syncer.New(rapid.Uint64().Draw(t, "seed")), begin
		applied, fetching := uint64(0), false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			message := drawMessage(t, fetching)
			switch m := message.(type) {
			case syncer.ConfigReceived:
				fetching = fetching && !m.Fetched
			case syncer.FetchFailed:
				fetching = false
			}
			var commands []syncer.Command
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "millis")) * time.Millisecond)
			state, commands = state.Update(now, message)
			for _, command := range commands {
				switch c := command.(type) {
				case syncer.Apply:
					require.Greater(t, c.Version, applied, "the active version never decreases")
					applied = c.Version
				case syncer.FetchPeer, syncer.FetchTable:
					require.False(t, fetching, "only one fetch may run at a time")
					fetching = true
				}
			}
			require.Equal(t, applied, state.Version())
		}
	})
}

func TestReportedVersionIsFetchedAndForwarded(t *testing.T) {
	state, _ := syncer.New(1).Update(begin, syncer.PeersChanged{Addresses: []string{"a", "b", "c", "d", "e"}, Nodes: 6})
	state, commands := state.Update(begin, syncer.PeerVersion{Peer: "a", Version: 7})
	assert.Equal(t, []syncer.Command{syncer.FetchPeer{Peer: "a"}}, commands)
	state, commands = state.Update(begin, syncer.ConfigReceived{Version: 7, Sum: "x", From: "a", Fetched: true})
	require.Len(t, commands, 2)
	assert.Equal(t, syncer.Apply{Version: 7, Sum: "x"}, commands[0])
	assert.Len(t, commands[1].(syncer.NotifyPeers).Peers, 3)
	assert.NotContains(t, commands[1].(syncer.NotifyPeers).Peers, "a")
	_, commands = state.Update(begin, syncer.PeerVersion{Peer: "b", Version: 7})
	assert.Empty(t, commands)
}

func TestFailedFetchTriesAnotherPeer(t *testing.T) {
	state, _ := syncer.New(1).Update(begin, syncer.PeerVersion{Peer: "a", Version: 7})
	state, _ = state.Update(begin, syncer.PeerVersion{Peer: "b", Version: 7})
	state, commands := state.Update(begin, syncer.FetchFailed{Peer: "a"})
	assert.Empty(t, commands, "no fetch before the retry interval")
	_, commands = state.Update(begin.Add(time.Second), syncer.Tick{})
	assert.Contains(t, commands, syncer.FetchPeer{Peer: "b"})
}

func TestFlags(t *testing.T) {
	tests := map[string]struct {
		head syncer.HeadRead
		want syncer.Flag
	}{
		"older":         {syncer.HeadRead{Version: 3, Sum: "x"}, syncer.TableOlder{Table: 3, Active: 7}},
		"empty":         {syncer.HeadRead{}, syncer.TableOlder{Active: 7}},
		"other content": {syncer.HeadRead{Version: 7, Sum: "y"}, syncer.TableDiffers{Version: 7}},
		"same":          {syncer.HeadRead{Version: 7, Sum: "x"}, nil},
		"newer":         {syncer.HeadRead{Version: 8, Sum: "z"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state, _ := syncer.New(1).Update(begin, syncer.ConfigReceived{Version: 7, Sum: "x"})
			state, commands := state.Update(begin, test.head)
			if test.want == nil {
				assert.NotContains(t, fmt.Sprintf("%T", commands), "Warn")
				return
			}
			assert.Equal(t, []syncer.Command{syncer.SetFlag{Flag: test.want}}, commands)
			assert.EqualValues(t, 7, state.Version())
			_, commands = state.Update(begin, test.head)
			assert.Empty(t, commands, "the same flag is reported once")
		})
	}
}

func TestTrackedPeersAreBounded(t *testing.T) {
	state := syncer.New(1)
	for i := range 10000 {
		state, _ = state.Update(begin, syncer.PeerVersion{Peer: fmt.Sprint(i), Version: 7})
	}
	assert.Less(t, len(fmt.Sprintf("%+v", state)), 5000)
}

// TestReadsDoNotGrowWithTheFleet simulates all nodes of a fleet for ten minutes.
// A new version appears every five seconds and is reported to each node. The
// rate of table reads must stay below a bound that doesn't depend on fleet size.
func TestReadsDoNotGrowWithTheFleet(t *testing.T) {
	const step, span = 500 * time.Millisecond, 10 * time.Minute
	for _, nodes := range []int{8, 480} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			states := make([]syncer.State, nodes)
			for i := range states {
				states[i], _ = syncer.New(uint64(i+1)).Update(begin, syncer.PeersChanged{Addresses: []string{"a", "b"}, Nodes: nodes})
			}
			reads, version := 0, uint64(0)
			for at := time.Duration(0); at < span; at += step {
				if at%(5*time.Second) == 0 {
					version++
				}
				for i := range states {
					reads += runStep(&states[i], begin.Add(at), version)
				}
			}
			rate := float64(reads) / span.Seconds()
			t.Logf("%d nodes: %.2f reads of the table a second", nodes, rate)
			assert.Less(t, rate, 6.0)
			for _, state := range states {
				require.Equal(t, version, state.Version())
			}
		})
	}
}

// runStep executes the commands of one node and returns the number of table reads.
func runStep(state *syncer.State, now time.Time, version uint64) int {
	reads := 0
	queue := []syncer.Message{syncer.PeerVersion{Peer: "a", Version: version}, syncer.Tick{}}
	for len(queue) > 0 {
		message := queue[0]
		queue = queue[1:]
		var commands []syncer.Command
		*state, commands = state.Update(now, message)
		for _, command := range commands {
			switch command.(type) {
			case syncer.ReadHead:
				reads++
				queue = append(queue, syncer.HeadRead{Version: version, Sum: "x"})
			case syncer.FetchPeer:
				queue = append(queue, syncer.ConfigReceived{Version: version, Sum: "x", From: "a", Fetched: true})
			case syncer.FetchTable:
				reads++
				queue = append(queue, syncer.ConfigReceived{Version: version, Sum: "x", Fetched: true})
			}
		}
	}
	return reads
}
