package server

import (
	"net/http"
	"sync"

	"github.com/cicadamill/cicadamill/internal/config/live"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/target/remote"
)

// dialer finds the client of an engine by name. It gathers the addresses anew
// when the list of engines changes, and keeps clients by address, so that a
// client lives as long as its engine stays in the configuration.
type dialer struct {
	applied *live.Applied
	http    *http.Client

	mu      sync.Mutex
	first   *site.Engine
	count   int
	address map[string]string
	clients map[string]engine.Client
}

func newDialer(applied *live.Applied, client *http.Client) *dialer {
	return &dialer{applied: applied, http: client, clients: map[string]engine.Client{}}
}

// find returns the client of an engine of the configuration in force.
func (d *dialer) find(target string) (engine.Client, bool) {
	engines := d.applied.Config().Engines
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow(engines)
	address, ok := d.address[target]
	if !ok {
		return nil, false
	}
	client, ok := d.clients[address]
	if !ok {
		client = remote.New(address, d.http)
		d.clients[address] = client
	}
	return client, true
}

// follow takes over a list of engines. Lists never change after they are in
// force, so one that is the same in memory has the same content.
func (d *dialer) follow(engines []site.Engine) {
	if len(engines) == d.count && (d.count == 0 || &engines[0] == d.first) {
		return
	}
	d.count, d.first = len(engines), nil
	if len(engines) > 0 {
		d.first = &engines[0]
	}
	d.address = make(map[string]string, len(engines))
	kept := make(map[string]engine.Client, len(d.clients))
	for _, e := range engines {
		d.address[e.Name] = e.Address
		if client, ok := d.clients[e.Address]; ok {
			kept[e.Address] = client
		}
	}
	d.clients = kept
}
