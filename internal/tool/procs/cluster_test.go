package procs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
	"github.com/cicadamill/cicadamill/internal/infra/hosts"
)

const (
	dataCentre    = "d"
	readyAttempts = 600
	readyInterval = 50 * time.Millisecond
	maxTokens     = 24
	keyA          = "key-a"
	keyB          = "key-b"
	serviceName   = "bookings"
	actionPath    = "/deliveries"
	prefillCost   = "20us"
	decodeCost    = "4ms"
	cachedBlocks  = "48"
)

// cluster holds the processes of one test. Addresses are keyed by the name of the
// process, with /peer and /operator for the other listeners of a router.
type cluster struct {
	platform, service *process
	engines, routers  []*process
	addresses         map[string]string
	ports             *portAllocator
	binary, folder    string
}

// startCluster starts the stand-ins and routers and waits until every router is
// ready.
func startCluster(ctx context.Context, t *testing.T, routers, engines int) *cluster {
	t.Helper()
	c := &cluster{addresses: map[string]string{}, ports: newPortAllocator(), binary: buildBinary(t), folder: t.TempDir()}
	c.platform = c.newStandin(t, "platform", "standin", "platform")
	c.service = c.newStandin(t, "service", "standin", "service")
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i+1)
		c.engines = append(c.engines, c.newStandin(t, name, "standin", "engine", "--name", name, "--print-calls", "--max-running", "6", "--max-waiting", "4", "--poison", poison,
			"--prefill-per-token", prefillCost, "--decode-per-token", decodeCost, "--cache-blocks", cachedBlocks, "--block-tokens", "500"))
	}
	for i := range routers {
		name := fmt.Sprintf("node-%d", i+1)
		c.addresses[name] = c.ports.allocate(t)
		c.addresses[name+"/peer"] = c.ports.allocate(t)
		c.addresses[name+"/operator"] = c.ports.allocate(t)
	}
	for i := range routers {
		name := fmt.Sprintf("node-%d", i+1)
		c.routers = append(c.routers, newProcess(c.binary, name, "serve", "--settings", c.writeSettings(t, name, routers)))
	}
	t.Cleanup(c.close)
	for _, p := range c.processes() {
		require.NoError(t, p.start(ctx))
	}
	c.publishHosts(t, routers, engines)
	for _, p := range c.routers {
		c.awaitReady(t, p)
	}
	return c
}

func (c *cluster) newStandin(t *testing.T, name string, args ...string) *process {
	t.Helper()
	c.addresses[name] = c.ports.allocate(t)
	return newProcess(c.binary, name, append(args, "--listen", c.addresses[name])...)
}

func (c *cluster) processes() []*process {
	all := append([]*process{c.platform, c.service}, c.engines...)
	return append(all, c.routers...)
}

func (c *cluster) close() {
	for _, p := range c.processes() {
		p.kill()
	}
}

// writeSettings writes the settings file of a router and returns its path.
func (c *cluster) writeSettings(t *testing.T, name string, routers int) string {
	t.Helper()
	config, err := json.Marshal(c.siteConfig())
	require.NoError(t, err)
	settings := local.Settings{
		Name: name, DataCentre: dataCentre, CallerAddress: c.addresses[name], PeerAddress: c.addresses[name+"/peer"],
		OperatorAddress: c.addresses[name+"/operator"], TableAddress: c.addresses["platform"],
		ObjectAddress: c.addresses["platform"], HostsAddress: c.addresses["platform"], Bootstrap: config,
	}
	for i := range routers {
		if peer := fmt.Sprintf("node-%d", i+1); peer != name {
			settings.Peers = append(settings.Peers, c.addresses[peer+"/peer"])
		}
	}
	encoded, err := json.Marshal(settings)
	require.NoError(t, err)
	path := filepath.Join(c.folder, name+".json")
	require.NoError(t, os.WriteFile(path, encoded, 0o600))
	return path
}

func (c *cluster) siteConfig() site.Config {
	config := site.Config{
		Site: "procs", Regions: []site.Region{{Name: "r", DataCentres: []string{dataCentre}}},
		Weights: site.Weights{TailTTFT: 1, Recomputation: 1},
		Models:  []site.Model{{Name: "quay-7b", WeightVersion: "1", BlockTokens: 500}},
		Services: []site.Service{{
			Name:    serviceName,
			Targets: []site.Target{{Name: "service", Address: c.addresses["service"], DataCentre: dataCentre}},
			Calls: []site.Call{
				{Method: http.MethodGet, Path: "/", Idempotent: true},
				{Method: http.MethodPost, Path: actionPath},
			},
		}},
	}
	application := site.Application{Name: "assistant", Model: "quay-7b"}
	for _, p := range c.engines {
		config.Engines = append(config.Engines, site.Engine{
			Name: p.name, Address: c.addresses[p.name], DataCentre: dataCentre, Model: "quay-7b", CacheBlocks: 48, ChecksFence: true,
		})
		application.Engines = append(application.Engines, p.name)
	}
	config.Applications = []site.Application{application}
	for name, key := range map[string]string{"a": keyA, "b": keyB} {
		config.Workspaces = append(config.Workspaces, site.Workspace{
			Name: name, Share: 1, KeyHashes: []string{auth.Hash(key)}, Applications: []string{"assistant"}, Services: []string{serviceName},
		})
	}
	return config
}

// publishHosts writes the list of all hosts to the platform.
func (c *cluster) publishHosts(t *testing.T, routers, engines int) {
	t.Helper()
	var all []hosts.Host
	for i := range routers {
		name := fmt.Sprintf("node-%d", i+1)
		all = append(all, hosts.Host{Name: name, Address: c.addresses[name+"/peer"], DataCentre: dataCentre, Kind: "entry"})
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i+1)
		all = append(all, hosts.Host{Name: name, Address: c.addresses[name], DataCentre: dataCentre, Kind: "target"})
	}
	all = append(all, hosts.Host{Name: "service", Address: c.addresses["service"], DataCentre: dataCentre, Kind: "target"})
	require.Eventually(t, func() bool { return c.sendJSON(http.MethodPut, "platform", "/v1/hosts", all) == nil }, readyAttempts*readyInterval, readyInterval)
}

// awaitReady waits until the readiness probe of a router succeeds.
func (c *cluster) awaitReady(t *testing.T, p *process) {
	t.Helper()
	for range readyAttempts {
		response, err := http.Get("http://" + c.addresses[p.name] + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(readyInterval)
	}
	require.Fail(t, "not ready", p.tail())
}

// sendJSON sends a JSON body to a stand-in.
func (c *cluster) sendJSON(method, name, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+c.addresses[name]+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: %s", path, response.Status)
	}
	return nil
}

// readEffects returns the number of effects by key from the service.
func (c *cluster) readEffects(t *testing.T) map[string]int {
	t.Helper()
	response, err := http.Get("http://" + c.addresses["service"] + "/effects")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	effects := map[string]int{}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&effects))
	return effects
}

// countEffects returns the number of effects of a caller's key. The keys of the
// service may have the workspace as a prefix.
func (c *cluster) countEffects(effects map[string]int, key string) int {
	total := 0
	for name, count := range effects {
		if name == key || strings.HasSuffix(name, key) {
			total += count
		}
	}
	return total
}
