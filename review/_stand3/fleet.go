package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
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

// restartDelay is the time between the end of a process and its restart.
const restartDelay = 500 * time.Millisecond

// moreBounds are the bounds of a small deployment that [fake.Settings] doesn't write.
const moreBounds = `machineClass=front
role=gateway
serves=front,control
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.lostSlackMs=200
bounds.configApplyMs=2000
bounds.backMs=250
bounds.stretchMs=5000
bounds.recoveryS=12
bounds.transitMs=120
bounds.requireFence=false
bounds.thawMs=300
bounds.versionAllMs=17000
limits.cores=1
limits.maxFds=4100
discovery=platform
entry=vip
heartbeatMs=1200
`

// gateway is one host, which is a process of the deploy file's program.
type gateway struct {
	binary, folder, metrics string
	settings                fake.Settings

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// Hosts listen on ports below the ephemeral range, so that no outgoing connection takes a
// port while its host is down.
const (
	firstPort = 12_000
	portCount = 18_000
)

var nextPort atomic.Int64

func freeAddress() (string, error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*61+nextPort.Add(1))%portCount
		address := fmt.Sprint("127.0.0.1:", port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no port is free")
}

func newGateway(binary, folder, name, store string) (*gateway, error) {
	g := &gateway{binary: binary, folder: folder, settings: fake.Settings{Name: name, DataCentre: "east", Store: store}}
	var metrics string
	for _, address := range []*string{&g.settings.Front, &g.settings.Ready, &g.settings.Peer, &metrics} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	_, g.metrics, _ = net.SplitHostPort(metrics)
	return g, nil
}

func (g *gateway) start() error {
	path := filepath.Join(g.folder, g.settings.Name+".conf")
	if err := os.WriteFile(path, []byte(g.settings.Text()+moreBounds), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.folder, g.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(g.binary, "gateway", "--metrics", g.metrics)
	command.Env = append(os.Environ(), fake.Env(path))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { _ = command.Wait(); close(ended) }()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.command, g.ended = command, ended
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.command.Process.Signal(s)
}

// restart stops the process with SIGTERM as the platform does, and starts it again.
func (g *gateway) restart(ctx context.Context, r *record) {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	r.add("SIGTERM to %s", g.settings.Name)
	g.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(fake.Grace):
		r.add("SIGKILL to %s after the grace period", g.settings.Name)
		g.signal(syscall.SIGKILL)
		<-ended
	case <-ctx.Done():
		return
	}
	r.add("%s has ended", g.settings.Name)
	select {
	case <-time.After(restartDelay):
	case <-ctx.Done():
		return
	}
	if err := g.start(); err != nil {
		r.add("%s doesn't start: %v", g.settings.Name, err)
	}
	r.add("%s started again", g.settings.Name)
}

func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.settings.Ready + fake.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// deployment is a store, targets and hosts on loopback addresses.
type deployment struct {
	store    *fake.Store
	address  string
	server   *http.Server
	config   fake.Config
	engines  []*engine
	plain    []*fake.Target
	gateways []*gateway
}

func newDeployment(o options, recorder *ledger, engines, plain int) (*deployment, error) {
	d := &deployment{store: fake.NewStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = listener.Addr().String()
	d.server = &http.Server{Handler: d.store}
	go func() { _ = d.server.Serve(listener) }()
	d.config = fake.Config{Version: 1, Keys: map[string][]string{"members": {"key-members"}}}
	if err := errors.Join(d.config.Write(d.store), fake.PublishWeights(d.store, 1)); err != nil {
		return nil, err
	}
	for i := range engines {
		e, err := newEngine(fmt.Sprint("engine-", i+1), d.store, recorder)
		if err != nil {
			return nil, err
		}
		d.engines = append(d.engines, e)
	}
	for i := range plain {
		t := fake.NewTarget(&fake.Target{ID: fmt.Sprint("plain-", i+1), Service: fake.Plain, Slots: 8}, d.store, recorder)
		if err := t.Start(); err != nil {
			return nil, err
		}
		d.plain = append(d.plain, t)
	}
	for i := range o.hosts {
		g, err := newGateway(o.binary, o.folder, fmt.Sprintf("front-%02d", i+1), d.address)
		if err != nil {
			return nil, err
		}
		d.gateways = append(d.gateways, g)
	}
	for _, g := range d.gateways {
		for _, seed := range d.gateways[:min(3, len(d.gateways))] {
			g.settings.Seeds = append(g.settings.Seeds, seed.settings.Peer)
		}
	}
	return d, nil
}

// start starts all hosts and waits until they are ready.
func (d *deployment) start(ctx context.Context) error {
	for _, g := range d.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return wait(ctx, 10*time.Second, "the hosts aren't ready", func() bool {
		for _, g := range d.gateways {
			if !g.ready() {
				return false
			}
		}
		return true
	})
}

func (d *deployment) close() {
	for _, g := range d.gateways {
		g.kill()
	}
	_ = d.server.Close()
	for _, e := range d.engines {
		_ = e.server.Close()
	}
}

// holder returns the host that holds the lease for orders, as the store has it; nil if
// none does.
func (d *deployment) holder() *gateway {
	query := url.Values{"table": {"cicadamill"}, "part": {""}, "from": {"orders/lease"}, "to": {"orders/lease\x00"}}
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.address + "/cicadamill/rows-get?" + query.Encode())
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var page struct {
		Rows []struct {
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	var lease struct {
		Holder string `json:"holder"`
	}
	if json.NewDecoder(response.Body).Decode(&page) != nil || len(page.Rows) == 0 || json.Unmarshal(page.Rows[0].Value, &lease) != nil {
		return nil
	}
	for _, g := range d.gateways {
		if name, _, _ := strings.Cut(lease.Holder, "/"); name == g.settings.Name {
			return g
		}
	}
	return nil
}

// wait waits until a condition holds.
func wait(ctx context.Context, timeout time.Duration, failure string, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if condition() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return errors.New(failure)
}
