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
	dataCentre   = "d"
	readyTries   = 600
	readyPause   = 50 * time.Millisecond
	maxTokens    = 24
	keyA         = "key-a"
	keyB         = "key-b"
	serviceName  = "bookings"
	actionPath   = "/deliveries"
	prefillCost  = "20us"
	decodeCost   = "4ms"
	cachedBlocks = "48"
)

// scene is all processes of one test.
type scene struct {
	platform, service *process
	engines, routers  []*process
	addresses         map[string]string
	ports             *ports
	binary, folder    string
}

// open starts a site and waits until every router answers.
func open(ctx context.Context, t *testing.T, routers, engines int) *scene {
	t.Helper()
	s := &scene{addresses: map[string]string{}, ports: newPorts(), binary: build(t), folder: t.TempDir()}
	s.platform = s.add(t, "platform", "standin", "platform")
	s.service = s.add(t, "service", "standin", "service")
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i+1)
		s.engines = append(s.engines, s.add(t, name, "standin", "engine", "--name", name, "--print-calls", "--max-running", "6", "--max-waiting", "4", "--poison", poison,
			"--prefill-per-token", prefillCost, "--decode-per-token", decodeCost, "--cache-blocks", cachedBlocks, "--block-tokens", "500"))
	}
	for i := range routers {
		name := fmt.Sprintf("node-%d", i+1)
		s.addresses[name] = s.ports.take(t)
		s.addresses[name+"/peer"] = s.ports.take(t)
		s.addresses[name+"/operator"] = s.ports.take(t)
	}
	for i := range routers {
		name := fmt.Sprintf("node-%d", i+1)
		s.routers = append(s.routers, newProcess(s.binary, name, "serve", "--settings", s.settings(t, name, routers)))
	}
	t.Cleanup(s.close)
	for _, p := range s.all() {
		require.NoError(t, p.start(ctx))
	}
	s.list(t, routers, engines)
	for _, p := range s.routers {
		s.await(t, p)
	}
	return s
}

func (s *scene) add(t *testing.T, name string, args ...string) *process {
	t.Helper()
	s.addresses[name] = s.ports.take(t)
	return newProcess(s.binary, name, append(args, "--listen", s.addresses[name])...)
}

func (s *scene) all() []*process {
	all := append([]*process{s.platform, s.service}, s.engines...)
	return append(all, s.routers...)
}

func (s *scene) close() {
	for _, p := range s.all() {
		p.kill()
	}
}

// settings writes the settings of one router.
func (s *scene) settings(t *testing.T, name string, routers int) string {
	t.Helper()
	config, err := json.Marshal(s.config())
	require.NoError(t, err)
	settings := local.Settings{
		Name: name, DataCentre: dataCentre, CallerAddress: s.addresses[name], PeerAddress: s.addresses[name+"/peer"],
		OperatorAddress: s.addresses[name+"/operator"], TableAddress: s.addresses["platform"],
		ObjectAddress: s.addresses["platform"], HostsAddress: s.addresses["platform"], Bootstrap: config,
	}
	for i := range routers {
		if peer := fmt.Sprintf("node-%d", i+1); peer != name {
			settings.Peers = append(settings.Peers, s.addresses[peer+"/peer"])
		}
	}
	encoded, err := json.Marshal(settings)
	require.NoError(t, err)
	path := filepath.Join(s.folder, name+".json")
	require.NoError(t, os.WriteFile(path, encoded, 0o600))
	return path
}

func (s *scene) config() site.Config {
	config := site.Config{
		Site: "procs", Regions: []site.Region{{Name: "r", DataCentres: []string{dataCentre}}},
		Weights: site.Weights{TailTTFT: 1, Recomputation: 1},
		Models:  []site.Model{{Name: "quay-7b", WeightVersion: "1", BlockTokens: 500}},
		Services: []site.Service{{
			Name:    serviceName,
			Targets: []site.Target{{Name: "service", Address: s.addresses["service"], DataCentre: dataCentre}},
			Calls: []site.Call{
				{Method: http.MethodGet, Path: "/", Idempotent: true},
				{Method: http.MethodPost, Path: actionPath},
			},
		}},
	}
	application := site.Application{Name: "assistant", Model: "quay-7b"}
	for _, p := range s.engines {
		config.Engines = append(config.Engines, site.Engine{
			Name: p.name, Address: s.addresses[p.name], DataCentre: dataCentre, Model: "quay-7b", CacheBlocks: 48, ChecksFence: true,
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

// list tells the platform which hosts there are.
func (s *scene) list(t *testing.T, routers, engines int) {
	t.Helper()
	var all []hosts.Host
	for i := range routers {
		name := fmt.Sprintf("node-%d", i+1)
		all = append(all, hosts.Host{Name: name, Address: s.addresses[name+"/peer"], DataCentre: dataCentre, Kind: "entry"})
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i+1)
		all = append(all, hosts.Host{Name: name, Address: s.addresses[name], DataCentre: dataCentre, Kind: "target"})
	}
	all = append(all, hosts.Host{Name: "service", Address: s.addresses["service"], DataCentre: dataCentre, Kind: "target"})
	require.Eventually(t, func() bool { return s.post(http.MethodPut, "platform", "/v1/hosts", all) == nil }, readyTries*readyPause, readyPause)
}

// await waits until a router says that it is ready.
func (s *scene) await(t *testing.T, p *process) {
	t.Helper()
	for range readyTries {
		response, err := http.Get("http://" + s.addresses[p.name] + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(readyPause)
	}
	require.Fail(t, "not ready", p.tail())
}

// post sends JSON to a stand-in.
func (s *scene) post(method, name, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+s.addresses[name]+path, bytes.NewReader(encoded))
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

// effects reads how often each key took effect.
func (s *scene) effects(t *testing.T) map[string]int {
	t.Helper()
	response, err := http.Get("http://" + s.addresses["service"] + "/effects")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	effects := map[string]int{}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&effects))
	return effects
}

// count finds a caller's key among the effects, whose keys may name the
// workspace too.
func (s *scene) count(effects map[string]int, key string) int {
	total := 0
	for name, count := range effects {
		if name == key || strings.HasSuffix(name, key) {
			total += count
		}
	}
	return total
}
