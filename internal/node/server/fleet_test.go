package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/infra/hosts"
	"github.com/cicadamill/cicadamill/internal/node/server"
	"github.com/cicadamill/cicadamill/internal/standin/inproc"
)

// convergeTimeout limits the wait for state that spreads by gossip.
const convergeTimeout = time.Minute

// fleet is a group of nodes that share one set of stand-ins.
type fleet struct {
	t     *testing.T
	site  *inproc.Site
	nodes []*runningNode
}

type runningNode struct {
	server.Addresses
	stop  context.CancelFunc
	ended chan error
}

func newFleet(t *testing.T, count int, change func(*local.Settings)) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	site, _, err := inproc.New(ctx)
	require.NoError(t, err)
	f := &fleet{t: t, site: site}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
			assert.NoError(t, <-n.ended)
		}
		cancel()
	})
	for i := range count {
		f.start(fmt.Sprint("node-", i), change)
	}
	return f
}

func (f *fleet) start(name string, change func(*local.Settings)) *runningNode {
	settings := local.Settings{
		Name: name, DataCentre: "local", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		Bootstrap: f.site.Config, HostsAddress: f.site.HostsAddress,
	}
	for _, n := range f.nodes {
		settings.Peers = append(settings.Peers, n.Peer)
	}
	if change != nil {
		change(&settings)
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := server.New(settings, hclog.NewNullLogger())
	n := &runningNode{stop: cancel, ended: make(chan error, 1)}
	go func(ctx context.Context) { n.ended <- node.Serve(ctx) }(ctx)
	n.Addresses = <-node.Ready()
	f.nodes = append(f.nodes, n)
	return n
}

// metric returns the sum of a metric over its labels.
func (f *fleet) metric(n *runningNode, name string) float64 {
	_, page := get(f.t, n.Operator, "/metrics")
	sum := 0.0
	for line := range strings.Lines(page) {
		fields := strings.Fields(line)
		if len(fields) == 2 && strings.HasPrefix(fields[0], "cicadamill_"+name) {
			value, err := strconv.ParseFloat(fields[1], 64)
			require.NoError(f.t, err)
			sum += value
		}
	}
	return sum
}

func (f *fleet) wait(n *runningNode, name string, minimum float64) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.metric(n, name) >= minimum }, convergeTimeout, 20*time.Millisecond, name)
}

// homeAndOther returns the home node of the cell and another node.
func (f *fleet) homeAndOther() (*runningNode, *runningNode) {
	for _, n := range f.nodes {
		f.wait(n, "fleet_nodes_up", float64(len(f.nodes)))
	}
	for i, n := range f.nodes {
		postChat(f.t, n.Caller, inproc.MembersKey, "hi", true)
		other := f.nodes[(i+1)%len(f.nodes)]
		f.wait(n, "fleet_steer_", 1)
		if f.metric(n, "fleet_steer_local") > 0 {
			return n, other
		}
	}
	require.Fail(f.t, "no node is home for the cell")
	return nil, nil
}

func TestRequestsAreForwardedToTheHomeNode(t *testing.T) {
	f := newFleet(t, 3, nil)
	home, other := f.homeAndOther()
	response, body := postChat(t, other.Caller, inproc.MembersKey, nestedPrompt(), true)
	require.Equal(t, http.StatusOK, response.StatusCode, body)
	assert.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
	again, _ := postChat(t, home.Caller, inproc.MembersKey, nestedPrompt(), true)
	assert.Equal(t, "8000", again.Header.Get("X-Cicadamill-Cached-Tokens"))
	f.wait(home, "fleet_steer_taken", 1)
	f.wait(other, "fleet_steer_forwarded", 1)
	assert.Zero(t, f.metric(other, "fleet_steer_lost"))
}

// openStream starts a stream of 32 chunks and returns after the first line. The
// function that it returns reads the rest.
func openStream(t *testing.T, address string) func() string {
	t.Helper()
	body := `{"model":"assistant","stream":true,"max_tokens":32,"messages":[{"role":"user","content":"long"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+inproc.MembersKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	require.NoError(t, err)
	return func() string {
		defer func() { _ = response.Body.Close() }()
		rest, err := io.ReadAll(reader)
		require.NoError(t, err)
		return first + string(rest)
	}
}

// TestStopCutsNothing stops the home node of the cell while it streams to its own
// callers and to those of another node. All streams must be complete.
func TestStopCutsNothing(t *testing.T) {
	for name, own := range map[string]int{"own and forwarded work": 4, "forwarded work alone": 0} {
		t.Run(name, func(t *testing.T) { stopHome(t, own) })
	}
}

func stopHome(t *testing.T, own int) {
	f := newFleet(t, 2, func(s *local.Settings) { s.Drain.BalancerLagMillis = 50 })
	home, other := f.homeAndOther()
	var streams []func() string
	for range own {
		streams = append(streams, openStream(t, home.Caller))
	}
	for range 4 {
		streams = append(streams, openStream(t, other.Caller))
	}
	home.stop()
	for _, read := range streams {
		whole := read()
		assert.Equal(t, 32, strings.Count(whole, "id: "))
		assert.True(t, strings.HasSuffix(whole, "data: [DONE]\n\n"))
	}
	require.NoError(t, <-home.ended)
	home.ended <- nil
	response, _ := postChat(t, other.Caller, inproc.MembersKey, "after", true)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	f.wait(other, "fleet_steer_local", 1)
	assert.Zero(t, f.metric(other, "fleet_steer_lost_unknown"), "a stream was cut and resumed on another node")
}

// TestBalancerLag checks that a stopping node is not ready but healthy and still
// serves requests until the load balancer has noticed.
func TestBalancerLag(t *testing.T) {
	f := newFleet(t, 1, func(s *local.Settings) { s.Drain.BalancerLagMillis = 3000 })
	node := f.nodes[0]
	node.stop()
	require.Eventually(t, func() bool {
		status, _ := get(t, node.Caller, "/readyz")
		return status == http.StatusServiceUnavailable
	}, convergeTimeout, 10*time.Millisecond)
	status, _ := get(t, node.Caller, "/healthz")
	assert.Equal(t, http.StatusOK, status)
	response, body := postChat(t, node.Caller, inproc.MembersKey, "late", true)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
	assert.True(t, response.Close, "the response must close the connection")
}

// TestDrainLimitCutsStreams checks that a stream that the drain limit cuts off
// ends in a read error and without [DONE].
func TestDrainLimitCutsStreams(t *testing.T) {
	f := newFleet(t, 1, func(s *local.Settings) { s.Drain.LimitMillis = 1 })
	body := `{"model":"assistant","stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"long"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+f.nodes[0].Caller+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+inproc.MembersKey)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	f.nodes[0].stop()
	rest, err := io.ReadAll(response.Body)
	assert.Error(t, err)
	assert.NotContains(t, string(rest), "[DONE]")
}

// TestHerdRestart starts nodes whose table, object store, host list and peers all
// refuse connections. Each node must answer its first request from its bootstrap
// configuration.
func TestHerdRestart(t *testing.T) {
	nobody := "127.0.0.1:1"
	began := time.Now()
	f := newFleet(t, 8, func(s *local.Settings) {
		s.TableAddress, s.ObjectAddress, s.HostsAddress, s.Peers = nobody, nobody, nobody, []string{nobody}
	})
	for i, n := range f.nodes {
		response, body := postChat(t, n.Caller, inproc.MembersKey, "first", true)
		require.Equal(t, http.StatusOK, response.StatusCode, body)
		t.Logf("node %d answered %v after the first node was started", i, time.Since(began))
	}
}

// TestLeavingTargetSpreads marks the engines as leaving, either in their own
// reports or in the host list. All nodes must learn of it and refuse new
// requests.
func TestLeavingTargetSpreads(t *testing.T) {
	tests := map[string]func(f *fleet){
		"engine's own report": func(f *fleet) {
			for _, e := range f.site.Engines {
				e.SetLeaving(true)
			}
		},
		"host list": func(f *fleet) {
			var all []hosts.Host
			for name := range f.site.Engines {
				all = append(all, hosts.Host{Name: name, Kind: "target", Leaving: true})
			}
			f.site.Hosts.Set(all...)
			f.site.Hosts.Publish()
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, nil)
			f.homeAndOther()
			leave(f)
			began := time.Now()
			for _, n := range f.nodes {
				f.wait(n, "fleet_targets_leaving", float64(len(f.site.Engines)))
			}
			t.Log("all nodes export the leaving engines after", time.Since(began))
			for _, n := range f.nodes {
				response, body := postChat(t, n.Caller, inproc.MembersKey, "no", true)
				assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				assert.Contains(t, body, `"ran":"notRun"`)
			}
		})
	}
}
