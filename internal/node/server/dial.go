package server

import (
	"net/http"
	"sync"

	"github.com/cicadamill/cicadamill/internal/config/live"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/target/remote"
)

// dialer looks up engine clients by name. It rebuilds its address map when the
// list of engines changes and caches clients by address, so that a client is
// reused as long as the configuration lists its address.
type dialer struct {
	applied *live.Applied
	http    *http.Client

	mu        sync.Mutex
	first     *site.Engine
	count     int
	addresses map[string]string
	clients   map[string]engine.Client
}

func newDialer(applied *live.Applied, client *http.Client) *dialer {
	return &dialer{applied: applied, http: client, clients: map[string]engine.Client{}}
}

// find returns the client of an engine in the current configuration.
func (d *dialer) find(target string) (engine.Client, bool) {
	engines := d.applied.Config().Engines
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(engines)
	address, ok := d.addresses[target]
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

// refresh rebuilds the address map if the list of engines is a new one. An
// applied list is never modified, so comparing its length and the address of its
// first element is enough.
func (d *dialer) refresh(engines []site.Engine) {
	if len(engines) == d.count && (d.count == 0 || &engines[0] == d.first) {
		return
	}
	d.count, d.first = len(engines), nil
	if len(engines) > 0 {
		d.first = &engines[0]
	}
	d.addresses = make(map[string]string, len(engines))
	kept := make(map[string]engine.Client, len(d.clients))
	for _, e := range engines {
		d.addresses[e.Name] = e.Address
		if client, ok := d.clients[e.Address]; ok {
			kept[e.Address] = client
		}
	}
	d.clients = kept
}
