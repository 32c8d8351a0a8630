package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

// Names of the deployment.
const (
	hostName    = "posts.example"
	model       = "reader"
	enginesName = "assistant"
	plainName   = "desk"
	zone        = "east"
)

// plainTargets is the number of targets of the plain service, which come first in the list
// of engines.
const plainTargets = 4

// tenants are the tenants of the deployment.
var tenants = []string{"members", "sellers"}

// keyOf returns the API key of a tenant.
func keyOf(tenant string) string { return "key-" + tenant }

// heartbeat is how often engines write their entries.
const heartbeat = 1200 * time.Millisecond

// site is a small deployment: a store, engines and gateways.
type site struct {
	record  *record
	folder  string
	store   *fake.Store
	server  *http.Server
	address string
	// silence is true while an engine leaves its orders unanswered.
	silence atomic.Bool
	// slots is how many requests each engine runs at once.
	slots int

	mu       sync.Mutex
	engines  []*engine
	gateways []*gateway
	uses     []use
	// runs are the engines that ran each request.
	runs map[string][]string
}

func newSite(r *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, folder: folder, store: fake.NewStore(), slots: 8, runs: map[string][]string{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address, s.server = listener.Addr().String(), &http.Server{Handler: s.store}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// close ends all processes and listeners.
func (s *site) close() {
	for _, g := range s.gateways {
		g.kill()
	}
	for _, e := range s.engines {
		e.close()
	}
	_ = s.server.Close()
	_ = os.RemoveAll(s.folder)
}

// storeRow reads a row of the system's own table, as a watcher of the platform may.
func (s *site) storeRow(key string) (value []byte) {
	request := httptest.NewRequest(http.MethodGet, "/cicadamill/rows-get?table=cicadamill&from="+key+"&to="+key+"%00", nil)
	answer := httptest.NewRecorder()
	s.store.ServeHTTP(answer, request)
	var page struct {
		Rows []struct {
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	if json.Unmarshal(answer.Body.Bytes(), &page) != nil || len(page.Rows) == 0 {
		return nil
	}
	return page.Rows[0].Value
}

// configuration is what the operator writes.
type configuration struct {
	version int
	// isolated is the tenant that shares no cached parts with others; empty for none.
	isolated string
	// models are the models of the engines besides the first one.
	models []string
}

func (s *site) configure(c configuration) error {
	route := func(name, prefix, service, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "service": service, "kind": kind, "timeoutMs": 5000, "objectiveMs": 500,
			"attempts": 2, "priority": 1, "resumable": kind == "stream", "gapTargetMs": 300,
		}
	}
	var all []map[string]any
	for _, name := range tenants {
		all = append(all, map[string]any{"name": name, "apiKeys": []string{keyOf(name)}, "isolated": name == c.isolated})
	}
	models := []map[string]any{{"name": model}}
	for _, name := range c.models {
		models = append(models, map[string]any{"name": name})
	}
	s.record.add("operator writes configuration %d, isolated tenant %q", c.version, c.isolated)
	defer func() { s.record.add("store has acknowledged configuration %d", c.version) }()
	return s.store.Put("op", "config", map[string]any{
		"version": c.version, "tenants": all,
		"routes": []map[string]any{route("checks", "/checks/", enginesName, "stream"), route("bookings", "/bookings/", plainName, "unsafe"), route("status", "/status/", plainName, "safe")},
		"services": []map[string]any{
			{"name": enginesName, "maxConns": 620, "engineAddr": map[string]any{
				"slots": s.slots, "kvCapacity": 130_000, "kvTokenBytes": 35136, "linkMbps": 700_000, "models": models,
			}},
			{"name": plainName, "maxConns": 100},
		},
		"limits": map[string]any{"headerBytes": 16 << 10, "bodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 20_000},
	})
}

// nameWeights names new weights of the model.
func (s *site) nameWeights(version int) error { return s.nameWeightsOf(model, version) }

func (s *site) nameWeightsOf(model string, version int) error {
	s.record.add("operator names weights %d of %s", version, model)
	return s.store.Put("op", "version/"+model, map[string]any{"model": model, "version": version})
}

// gateway is one host: a process that runs the command of the deploy file.
type gateway struct {
	site                               *site
	name, front, ready, peer, settings string
	metrics                            string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// addGateways adds hosts, each with a settings file; none is started.
func (s *site) addGateways(count int) error {
	for i := range count {
		g := &gateway{site: s, name: fmt.Sprintf("front-%s-%d", zone, i+1)}
		for _, address := range []*string{&g.front, &g.ready, &g.peer, &g.metrics} {
			port, err := freePort()
			if err != nil {
				return err
			}
			*address = port
		}
		s.gateways = append(s.gateways, g)
	}
	var seeds []string
	for _, g := range s.gateways {
		seeds = append(seeds, g.peer)
	}
	for _, g := range s.gateways {
		g.settings = filepath.Join(s.folder, g.name+".conf")
		text := fmt.Sprintf(`node=%s
role=gateway
machineClass=front
zone=%s
listen.front=%s
listen.ready=%s
listen.control=%s
seeds=%s
limits.cpuShare=0.4
limits.memoryMb=134
heartbeatMs=%d
bounds.contactMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.configApplyMs=2000
bounds.leaseMs=%d
bounds.versionMs=15000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=56
bounds.requireFence=false
platform.address=%s
`, g.name, zone, g.front, g.ready, g.peer, strings.Join(seeds[:min(3, len(seeds))], ","), heartbeat.Milliseconds(), leaseTime.Milliseconds(), s.address)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// leaseTime is leaseMs of the settings.
const leaseTime = 3 * time.Second

// Hosts listen on ports below the ephemeral range, so that no outgoing connection takes a
// port while its host is down.
const (
	firstPort = 12_000
	portCount = 18_000
)

var portsTried atomic.Int64

// freePort returns a loopback address whose port is free.
func freePort() (string, error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*61+portsTried.Add(1))%portCount
		address := fmt.Sprint("127.0.0.1:", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no port is free")
}

// start starts the process.
func (g *gateway) start() error {
	_, port, err := net.SplitHostPort(g.metrics)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.site.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/cicadamill", "gateway", "--metrics", port)
	command.Env = append(os.Environ(), "CICADAMILL_SETTINGS="+g.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		g.site.record.add("%s has ended", g.name)
		close(ended)
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.command, g.ended = command, ended
	g.site.record.add("%s is started", g.name)
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(sent syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.site.record.add("%s gets %v", g.name, sent)
	_ = g.command.Process.Signal(sent)
}

// wait waits for the end of the process.
func (g *gateway) wait() {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	<-ended
}

// kill ends the process if it runs.
func (g *gateway) kill() {
	g.mu.Lock()
	command, ended := g.command, g.ended
	g.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-ended
}

// restart stops the process as the platform does, and starts it again once it has ended.
func (g *gateway) restart(ctx context.Context) {
	g.signal(syscall.SIGTERM)
	g.wait()
	if sleep(ctx, restartPause) {
		_ = g.start()
	}
}

// restartPause is the short delay before an ended process is started again.
const restartPause = 300 * time.Millisecond

// awaitReady waits until all hosts are ready.
func (s *site) awaitReady(ctx context.Context) error {
	for _, g := range s.gateways {
		for {
			answer, err := http.Get("http://" + g.ready + "/cicadamill/readyz")
			if err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if !sleep(ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s isn't ready", g.name)
			}
		}
	}
	return nil
}

// startSmall starts a deployment with engines and hosts, and waits until it is ready.
func (s *site) startSmall(ctx context.Context, engines, hosts int) error {
	for i := range plainTargets {
		if err := s.addEngine(fmt.Sprintf("i-desk%d", i+1), plainName, false); err != nil {
			return err
		}
	}
	for i := range engines {
		if err := s.addEngine(fmt.Sprintf("i-engine%d", i+1), enginesName, true); err != nil {
			return err
		}
	}
	if err := s.configure(configuration{version: 1}); err != nil {
		return err
	}
	if err := s.nameWeights(1); err != nil {
		return err
	}
	return s.startGateways(ctx, hosts)
}

// startGateways starts hosts and waits until they are ready.
func (s *site) startGateways(ctx context.Context, hosts int) error {
	if err := s.addGateways(hosts); err != nil {
		return err
	}
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	sleep(ctx, 4*time.Second)
	return ctx.Err()
}

// use is a cached part that a request went on from.
type use struct{ request, tenant, part, salt, maker, engine string }

func (s *site) addUses(all []use) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range all {
		s.record.add("%s of %s uses part %s under %q at %s, made by a request of %s", u.request, u.tenant, u.part, u.salt, u.engine, u.maker)
	}
	s.uses = append(s.uses, all...)
}

// engineAt returns the engine that listens at an address; nil if there is none.
func (s *site) engineAt(address string) *engine {
	for _, e := range s.engines {
		if e.address == address {
			return e
		}
	}
	return nil
}
