package main

import (
	"net"
	"net/http"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

// The names in the configuration of all cases.
const (
	hostName  = "jepu9.example"
	modelName = "daka510000"
	apiKey    = "ctnfzs989anu6wsjnban"
	engines   = "lm-servers"
	plain     = "co-op-app"
)

// startStore serves a sound store and returns it with its address.
func startStore() (*fake.Store, string) {
	store := fake.NewStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	go func() { _ = http.Serve(listener, store) }()
	return store, listener.Addr().String()
}

// route is a route of the configuration.
type route struct {
	name, prefix, service, kind string
	timeout, objective          time.Duration
	attempts                    int
	resumable                   bool
}

// plainConns is the number of connections that a plain target takes from all hosts.
const plainConns = 110

// configure writes the operators' configuration.
func configure(store *fake.Store, routes []route) { configureConns(store, routes, plainConns) }

func configureConns(store *fake.Store, routes []route, maxConns int) {
	var wire []map[string]any
	for _, r := range routes {
		wire = append(wire, map[string]any{
			"name": r.name, "host": hostName, "prefix": r.prefix, "service": r.service, "kind": r.kind,
			"timeoutMs": r.timeout.Milliseconds(), "objectiveMs": r.objective.Milliseconds(), "attempts": r.attempts, "priority": 1, "resumable": r.resumable,
		})
	}
	err := store.Put("op", "config", map[string]any{
		"version": 3, "routes": wire,
		"tenants": []map[string]any{{"name": "sese880", "apiKeys": []string{apiKey}}},
		"services": []map[string]any{
			{"name": engines, "maxConns": 620, "engineAddr": map[string]any{
				"slots": 128, "kvCapacity": 129972, "kvTokenBytes": 35136, "linkMbps": 740000, "models": []map[string]any{{"name": modelName}},
			}},
			{"name": plain, "maxConns": maxConns},
		},
		"limits": map[string]any{"headerBytes": 16 << 10, "bodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	})
	if err != nil {
		fail("configuration: %v", err)
	}
	if err := store.Put("op", "version/"+modelName, map[string]any{"model": modelName, "version": 1}); err != nil {
		fail("weights: %v", err)
	}
}
