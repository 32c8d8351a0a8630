package server_test

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/admin"
	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
	"github.com/cicadamill/cicadamill/internal/node/server"
	"github.com/cicadamill/cicadamill/internal/standin/inproc"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
)

// applyTimeout is the longest that a change may take to be in force on all nodes.
const applyTimeout = 5 * time.Second

// startPeers runs two nodes that know each other and returns their addresses and
// the text of their bootstrap configuration.
func startPeers(t *testing.T) (first, second server.Addresses, text string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	site, _, err := inproc.New(ctx)
	require.NoError(t, err)
	ended := make(chan error, 2)
	run := func(name string, peers ...string) server.Addresses {
		node := server.New(local.Settings{
			Name: name, DataCentre: "local", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
			Peers: peers, Bootstrap: site.Config, TableAddress: site.TableAddress, ObjectAddress: site.ObjectAddress,
		}, hclog.NewNullLogger())
		go func(ctx context.Context) { ended <- node.Serve(ctx) }(ctx)
		return <-node.Ready()
	}
	first = run("node-1")
	second = run("node-2", first.Peer)
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
		assert.NoError(t, <-ended)
	})
	return first, second, string(site.Config)
}

func client(address string) *admin.Client {
	return admin.New("http", address, &http.Client{Timeout: applyTimeout})
}

// requireVersion waits until a node has the version in force.
func requireVersion(t *testing.T, address string, version uint64) admin.Status {
	t.Helper()
	var status admin.Status
	require.Eventually(t, func() bool {
		var err error
		status, err = client(address).Status(t.Context())
		return err == nil && status.Version == version
	}, applyTimeout, 20*time.Millisecond)
	return status
}

func TestChangeReachesEveryNodeAndReplacesKeys(t *testing.T) {
	first, second, text := startPeers(t)
	status := func(address, key string) int {
		response, _ := postChat(t, address, key, "What do posts cost?", true)
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, status(second.Caller, inproc.MembersKey))
	next := strings.Replace(text, auth.Hash(inproc.MembersKey), auth.Hash("new-key"), 1)
	accepted, err := client(first.Operator).Submit(t.Context(), admin.Submission{Nonce: rand.Text(), Text: next})
	require.NoError(t, err)
	assert.EqualValues(t, 1, accepted.Version)
	for _, node := range []server.Addresses{first, second} {
		requireVersion(t, node.Operator, 1)
		assert.Equal(t, http.StatusOK, status(node.Caller, "new-key"))
		assert.Equal(t, http.StatusUnauthorized, status(node.Caller, inproc.MembersKey))
	}
}

func TestStreamsGoOnThroughChanges(t *testing.T) {
	first, _, text := startPeers(t)
	bodies := make(chan string, 4)
	for range cap(bodies) {
		go func() {
			_, body := postChat(t, first.Caller, inproc.MembersKey, "What do posts cost?", true)
			bodies <- body
		}()
	}
	for version := range uint64(5) {
		next := strings.Replace(text, auth.Hash(inproc.MembersKey), auth.Hash(rand.Text()), 1)
		_, err := client(first.Operator).Submit(t.Context(), admin.Submission{Base: version, Nonce: rand.Text(), Text: next})
		require.NoError(t, err)
	}
	for range cap(bodies) {
		body := <-bodies
		if strings.Contains(body, "unauthorized") {
			continue // The request arrived after its key had been replaced.
		}
		assert.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)
	}
	requireVersion(t, first.Operator, 5)
}

func TestOneOfTwoConcurrentSubmissionsWins(t *testing.T) {
	first, second, text := startPeers(t)
	_, err := client(first.Operator).Submit(t.Context(), admin.Submission{Nonce: rand.Text(), Text: text})
	require.NoError(t, err)
	_, err = client(second.Operator).Submit(t.Context(), admin.Submission{Nonce: rand.Text(), Text: text})
	var refusal *admin.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, admin.Conflict, refusal.Code)
	assert.EqualValues(t, 1, refusal.Current)
}

func TestSubmissionSentTwiceIsAcceptedOnce(t *testing.T) {
	first, second, text := startPeers(t)
	submission := admin.Submission{Nonce: rand.Text(), Text: text}
	for _, node := range []server.Addresses{first, second} {
		accepted, err := client(node.Operator).Submit(t.Context(), submission)
		require.NoError(t, err)
		assert.EqualValues(t, 1, accepted.Version)
	}
	history, err := client(first.Operator).History(t.Context(), 10)
	require.NoError(t, err)
	assert.Len(t, history.Entries, 1)
}

// codeOf returns the code of a refusal by the operators' API.
func codeOf(t *testing.T, err error) string {
	t.Helper()
	var refusal *admin.Refusal
	require.ErrorAs(t, err, &refusal)
	return refusal.Code
}

func TestPlatformOutagesAreReported(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	site, _, err := inproc.New(ctx)
	require.NoError(t, err)
	node := server.New(local.Settings{
		Name: "node-1", CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", Bootstrap: site.Config,
		TableAddress: site.TableAddress, ObjectAddress: site.ObjectAddress,
	}, hclog.NewNullLogger())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- node.Serve(ctx) }(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	c := client((<-node.Ready()).Operator)
	submission := admin.Submission{Nonce: "n", Text: string(site.Config), TimeoutMillis: 300}

	site.Table.SetFault(func(tables.Request) tables.Fault { return tables.Unavailable })
	_, err = c.Submit(t.Context(), submission)
	assert.Equal(t, admin.PlatformUnavailable, codeOf(t, err))
	_, err = c.History(t.Context(), 5)
	assert.Equal(t, admin.PlatformUnavailable, codeOf(t, err))

	var lost atomic.Bool
	site.Table.SetFault(func(r tables.Request) tables.Fault {
		switch {
		case r.Write && slices.Contains(r.Keys, "config/head"):
			lost.Store(true)
			return tables.LoseReply
		case lost.Load():
			return tables.Unavailable
		}
		return tables.None
	})
	_, err = c.Submit(t.Context(), submission)
	assert.Equal(t, admin.OutcomeUnknown, codeOf(t, err))

	site.Table.SetFault(nil)
	accepted, err := c.Submit(t.Context(), submission)
	require.NoError(t, err, "a repeat with the same nonce resolves the outcome")
	assert.EqualValues(t, 1, accepted.Version)
}

func TestMalformedOperatorRequestsAreRefused(t *testing.T) {
	first, _, _ := startPeers(t)
	_, err := client(first.Operator).Submit(t.Context(), admin.Submission{Text: "{}"})
	assert.Equal(t, admin.BadRequest, codeOf(t, err), "no nonce")
	_, err = client(first.Operator).History(t.Context(), 0)
	assert.Equal(t, admin.BadRequest, codeOf(t, err))
	_, err = client(first.Operator).Show(t.Context(), 99)
	assert.Equal(t, admin.NotFound, codeOf(t, err))
	status, body := get(t, first.Operator, admin.ConfigPath+"?version=x")
	assert.Equal(t, http.StatusBadRequest, status)
	assert.Contains(t, body, admin.BadRequest)
}

func TestBadTextIsRefusedByTheNode(t *testing.T) {
	first, _, text := startPeers(t)
	_, err := client(first.Operator).Submit(t.Context(), admin.Submission{Nonce: "n", Text: strings.Replace(text, `"share": 3`, `"share": -3`, 1)})
	var refusal *admin.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, admin.InvalidConfiguration, refusal.Code)
	require.Len(t, refusal.Issues, 1)
	assert.Equal(t, "workspaces[0].share", refusal.Issues[0].Path)
	requireVersion(t, first.Operator, 0)
}
