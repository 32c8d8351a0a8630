package share_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/delta"
	"github.com/cicadamill/cicadamill/internal/config/share"
	"github.com/cicadamill/cicadamill/internal/config/site"
)

// peer is a [share.Source] with a fixed answer that records the hints it receives.
type peer struct {
	answer share.Update
	hints  []share.Hint
}

func (p *peer) UpdateSince(have uint64, _ string) (share.Update, bool) {
	return p.answer, p.answer.Version > have
}

func (p *peer) ReceiveHint(from string, version uint64) {
	p.hints = append(p.hints, share.Hint{Peer: from, Version: version})
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return countingConn{accepted, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func serve(t *testing.T, p *peer) (address string, bytes *atomic.Int64) {
	t.Helper()
	bytes = &atomic.Int64{}
	server := httptest.NewUnstartedServer(share.Handler(p))
	server.Listener = countingListener{server.Listener, bytes}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), bytes
}

func newClient() *share.Client {
	return share.New("http", &http.Client{Transport: &http.Transport{DisableCompression: true}})
}

// configsWithChange returns a configuration with 200 engines, a copy with one more
// engine, and the change between them.
func configsWithChange() (before, after site.Config, change delta.Change) {
	for i := range 200 {
		before.Engines = append(before.Engines, site.Engine{Name: fmt.Sprintf("engine-%03d", i)})
	}
	before = delta.Sort(before)
	after = before
	after.Engines = append(after.Engines[:200:200], site.Engine{Name: "engine-999", Address: "10.0.0.1:8000", DataCentre: "dc-1", Model: "model-1", CacheBlocks: 100000})
	return before, after, delta.Diff(7, before, after)
}

func TestFetch(t *testing.T) {
	before, after, change := configsWithChange()
	sum := delta.Sum(after)
	tests := map[string]struct {
		answer share.Update
		have   uint64
		ok     bool
		bad    bool
	}{
		"changes":       {answer: share.Update{Version: 8, Sum: sum, Changes: []delta.Change{change}}, have: 7, ok: true},
		"whole, packed": {answer: share.Update{Version: 8, Sum: sum, Config: &after}, have: 7, ok: true},
		"nothing newer": {answer: share.Update{Version: 8, Sum: sum}, have: 8},
		"wrong sum":     {answer: share.Update{Version: 8, Sum: "x", Config: &after}, have: 7, ok: true, bad: true},
		"empty answer":  {answer: share.Update{Version: 8, Sum: sum}, have: 7, ok: true, bad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, &peer{answer: test.answer})
			answer, ok, err := newClient().Fetch(t.Context(), address, test.have, "y")
			require.NoError(t, err)
			require.Equal(t, test.ok, ok)
			if !ok {
				return
			}
			config, err := answer.Build(before)
			assert.Equal(t, test.bad, err != nil)
			if err == nil {
				assert.Equal(t, sum, delta.Sum(config))
			}
		})
	}
}

func TestSameContentUnderANewVersion(t *testing.T) {
	_, after, _ := configsWithChange()
	p := &peer{}
	address, _ := serve(t, p)
	for version := uint64(8); version < 11; version++ {
		p.answer = share.Update{Version: version, Sum: delta.Sum(after), Config: &after}
		answer, ok, err := newClient().Fetch(t.Context(), address, 7, "")
		require.NoError(t, err)
		require.True(t, ok)
		assert.Equal(t, version, answer.Version)
	}
}

func TestBadRequests(t *testing.T) {
	p := &peer{}
	address, _ := serve(t, p)
	response, err := http.Get("http://" + address + share.ConfigPath + "?have=x")
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	response, err = http.Post("http://"+address+share.HintPath, "application/json", http.NoBody)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	assert.Empty(t, p.hints)
}

// Load at the size planned for two years ahead.
const (
	changesPerDay = 16000
	// hintsPerChange counts the hints that one node sends and receives.
	hintsPerChange = 6
	// maxBytesPerSecond is the bound on the control traffic of one node.
	maxBytesPerSecond = 8000
)

func TestBytesOfAChange(t *testing.T) {
	_, after, change := configsWithChange()
	p := &peer{answer: share.Update{Version: 8, Sum: delta.Sum(after), Changes: []delta.Change{change}}}
	address, bytes := serve(t, p)
	client := newClient()
	sendHint := func() {
		require.NoError(t, client.SendHint(t.Context(), address, share.Hint{Peer: "10.0.0.1:8081", Version: 8}))
	}
	fetch := func() {
		_, ok, err := client.Fetch(t.Context(), address, 7, change.Sum)
		require.NoError(t, err)
		require.True(t, ok)
	}
	sendHint()
	measure := func(do func()) float64 {
		before := bytes.Load()
		do()
		return float64(bytes.Load() - before)
	}
	hint, fetched := measure(sendHint), measure(fetch)
	perSecond := (hintsPerChange*hint + 2*fetched) * changesPerDay / (24 * 3600)
	t.Logf("hint: %.0f bytes, change: %.0f bytes, total: %.0f bytes/s on a node", hint, fetched, perSecond)
	assert.Less(t, perSecond, float64(maxBytesPerSecond)/4)
}

// BenchmarkWhole fetches and builds a complete configuration of the size planned
// for two years ahead, like a node that has just started.
func BenchmarkWhole(b *testing.B) {
	var config site.Config
	for i := range 11000 {
		config.Engines = append(config.Engines, site.Engine{
			Name: fmt.Sprintf("engine-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8000", i%9, i/2250, i/9%250+1),
			DataCentre: fmt.Sprintf("dc-%d", i%9), Model: fmt.Sprintf("model-%d", i%6), CacheBlocks: 100000, ChecksFence: true,
		})
	}
	for i := range 2600 {
		hash := sha256.Sum256([]byte{byte(i), byte(i >> 8)})
		config.Workspaces = append(config.Workspaces, site.Workspace{Name: fmt.Sprintf("workspace-%04d", i), KeyHashes: []string{hex.EncodeToString(hash[:])}})
	}
	config = delta.Sort(config)
	bytes := &atomic.Int64{}
	server := httptest.NewUnstartedServer(share.Handler(&peer{answer: share.Update{Version: 8, Sum: delta.Sum(config), Config: &config}}))
	server.Listener = countingListener{server.Listener, bytes}
	server.Start()
	defer server.Close()
	client := newClient()
	for b.Loop() {
		answer, _, err := client.Fetch(b.Context(), server.Listener.Addr().String(), 0, "")
		if err != nil {
			b.Fatal(err)
		}
		if _, err := answer.Build(site.Config{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/fetch")
}
