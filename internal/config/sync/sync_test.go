package sync_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/config/sync"
)

var begin = time.Unix(1000, 0)

// drawMessage draws a message that the caller of Update may send. Results of a
// fetch are drawn only while a fetch is running.
func drawMessage(t *rapid.T, fetching bool) sync.Message {
	version := rapid.Uint64Range(0, 6).Draw(t, "version")
	peer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer")
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return sync.Heard{Peer: peer, Version: version}
	case 1:
		return sync.HeadRead{Version: version, Sum: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "sum")}
	case 2:
		return sync.Offered{Version: version, Sum: "x"}
	case 3:
		return sync.Peers{Addresses: []string{"a", "b", "c"}, Nodes: 4}
	case 4:
		if fetching {
			return sync.Offered{Version: version, Sum: "x", From: peer, Fetched: true}
		}
	case 5:
		if fetching {
			return sync.FetchFailed{Peer: peer}
		}
	}
	return sync.Tick{}
}

func TestAnyOrderOfMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, now := sync.New(rapid.Uint64().Draw(t, "seed")), begin
		applied, fetching := uint64(0), false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			message := drawMessage(t, fetching)
			switch m := message.(type) {
			case sync.Offered:
				fetching = fetching && !m.Fetched
			case sync.FetchFailed:
				fetching = false
			}
			var commands []sync.Command
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "millis")) * time.Millisecond)
			state, commands = state.Update(now, message)
			for _, command := range commands {
				switch c := command.(type) {
				case sync.Apply:
					require.Greater(t, c.Version, applied, "the active version never decreases")
					applied = c.Version
				case sync.FetchPeer, sync.FetchTable:
					require.False(t, fetching, "only one fetch may run at a time")
					fetching = true
				}
			}
			require.Equal(t, applied, state.Version())
		}
	})
}

func TestReportedVersionIsFetchedAndForwarded(t *testing.T) {
	state, _ := sync.New(1).Update(begin, sync.Peers{Addresses: []string{"a", "b", "c", "d", "e"}, Nodes: 6})
	state, commands := state.Update(begin, sync.Heard{Peer: "a", Version: 7})
	assert.Equal(t, []sync.Command{sync.FetchPeer{Peer: "a"}}, commands)
	state, commands = state.Update(begin, sync.Offered{Version: 7, Sum: "x", From: "a", Fetched: true})
	require.Len(t, commands, 2)
	assert.Equal(t, sync.Apply{Version: 7, Sum: "x"}, commands[0])
	assert.Len(t, commands[1].(sync.Tell).Peers, 3)
	assert.NotContains(t, commands[1].(sync.Tell).Peers, "a")
	_, commands = state.Update(begin, sync.Heard{Peer: "b", Version: 7})
	assert.Empty(t, commands)
}

func TestFailedFetchTriesAnotherPeer(t *testing.T) {
	state, _ := sync.New(1).Update(begin, sync.Heard{Peer: "a", Version: 7})
	state, _ = state.Update(begin, sync.Heard{Peer: "b", Version: 7})
	state, commands := state.Update(begin, sync.FetchFailed{Peer: "a"})
	assert.Empty(t, commands, "no fetch before the retry interval")
	_, commands = state.Update(begin.Add(time.Second), sync.Tick{})
	assert.Contains(t, commands, sync.FetchPeer{Peer: "b"})
}

func TestFlags(t *testing.T) {
	tests := map[string]struct {
		head sync.HeadRead
		want sync.Flag
	}{
		"older":         {sync.HeadRead{Version: 3, Sum: "x"}, sync.TableOlder{Table: 3, InForce: 7}},
		"empty":         {sync.HeadRead{}, sync.TableOlder{InForce: 7}},
		"other content": {sync.HeadRead{Version: 7, Sum: "y"}, sync.Forked{Version: 7}},
		"same":          {sync.HeadRead{Version: 7, Sum: "x"}, nil},
		"newer":         {sync.HeadRead{Version: 8, Sum: "z"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state, _ := sync.New(1).Update(begin, sync.Offered{Version: 7, Sum: "x"})
			state, commands := state.Update(begin, test.head)
			if test.want == nil {
				assert.NotContains(t, fmt.Sprintf("%T", commands), "Warn")
				return
			}
			assert.Equal(t, []sync.Command{sync.Warn{Flag: test.want}}, commands)
			assert.EqualValues(t, 7, state.Version())
			_, commands = state.Update(begin, test.head)
			assert.Empty(t, commands, "the same flag is reported once")
		})
	}
}

func TestTrackedPeersAreBounded(t *testing.T) {
	state := sync.New(1)
	for i := range 10000 {
		state, _ = state.Update(begin, sync.Heard{Peer: fmt.Sprint(i), Version: 7})
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
			states := make([]sync.State, nodes)
			for i := range states {
				states[i], _ = sync.New(uint64(i+1)).Update(begin, sync.Peers{Addresses: []string{"a", "b"}, Nodes: nodes})
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
func runStep(state *sync.State, now time.Time, version uint64) int {
	reads := 0
	queue := []sync.Message{sync.Heard{Peer: "a", Version: version}, sync.Tick{}}
	for len(queue) > 0 {
		message := queue[0]
		queue = queue[1:]
		var commands []sync.Command
		*state, commands = state.Update(now, message)
		for _, command := range commands {
			switch command.(type) {
			case sync.ReadHead:
				reads++
				queue = append(queue, sync.HeadRead{Version: version, Sum: "x"})
			case sync.FetchPeer:
				queue = append(queue, sync.Offered{Version: version, Sum: "x", From: "a", Fetched: true})
			case sync.FetchTable:
				reads++
				queue = append(queue, sync.Offered{Version: version, Sum: "x", Fetched: true})
			}
		}
	}
	return reads
}
