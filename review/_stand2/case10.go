package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// secondModel is the second model of the engines; its name comes after that of the first.
	secondModel = "writer"
	// versionTime is versionMs of the settings.
	versionTime = 15 * time.Second
)

// pairEngine is a stand-in of an engine with two models.
type pairEngine struct {
	site    *site
	id      string
	address string
	born    int64

	mu       sync.Mutex
	versions map[string]int
	seq      int
	busy     bool
	// loading is the model whose weights are loaded; empty for none.
	loading string
}

// twoModels names new weights of both models of the engines, one after the other, and
// checks that the engines get them.
func twoModels(ctx context.Context, s *site) ([]string, error) {
	var engines []*pairEngine
	for i := range 6 {
		e := &pairEngine{site: s, id: fmt.Sprintf("i-pair%d", i+1), versions: map[string]int{model: 1, secondModel: 1}}
		if err := e.start(ctx); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	if err := s.configure(configuration{version: 1, models: []string{secondModel}}); err != nil {
		return nil, err
	}
	for _, name := range []string{model, secondModel} {
		if err := s.nameWeightsOf(name, 1); err != nil {
			return nil, err
		}
	}
	if err := s.startGateways(ctx, 3); err != nil {
		return nil, err
	}
	named := map[string]int{}
	if trouble() {
		for _, name := range []string{model, secondModel} {
			if err := s.nameWeightsOf(name, 2); err != nil {
				return nil, err
			}
			named[name] = 2
			if !sleep(ctx, versionTime) {
				return nil, ctx.Err()
			}
		}
	}
	// More than 1.5 x versionMs have passed since the last naming.
	if !sleep(ctx, versionTime) {
		return nil, ctx.Err()
	}
	statuses := map[string]int{}
	for n := 0; n < 20; n++ {
		for _, name := range []string{model, secondModel} {
			status := s.askModel(s.gateways[n%len(s.gateways)], tenants[0], fmt.Sprintf("%s-%d", name, n), name)
			statuses[fmt.Sprintf("%s %d", name, status)]++
		}
	}
	s.record.add("answers by model and status: %v", statuses)
	var broken []string
	for name, version := range named {
		var older []string
		for _, e := range engines {
			if has := e.has(); has[name] < version {
				older = append(older, fmt.Sprintf("%s has %d", e.id, has[name]))
			}
		}
		if len(older) > 1 && 10*len(older) > len(engines) {
			broken = append(broken, fmt.Sprintf("VERSION: weights %d of %s were named over %v ago: %s; answers %v", version, name, versionTime*3/2, strings.Join(older, ", "), statuses))
		}
	}
	return broken, nil
}

func (e *pairEngine) has() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.versions)
}

func (e *pairEngine) models() []map[string]any {
	has := e.has()
	var all []map[string]any
	for _, name := range slices.Sorted(maps.Keys(has)) {
		all = append(all, map[string]any{"name": name, "version": has[name], "adapters": []any{}})
	}
	return all
}

func (e *pairEngine) publish() error {
	models := e.models()
	e.mu.Lock()
	seq := e.seq
	e.mu.Unlock()
	return e.site.store.Put("servers", e.id, map[string]any{
		"service": enginesName, "address": e.address, "zone": zone, "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": seq,
		"born": e.born, "stage": "unified", "models": models,
	})
}

func (e *pairEngine) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address, e.born = listener.Addr().String(), time.Now().UnixMilli()
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for sleep(ctx, heartbeat) {
			_ = e.publish()
		}
		_ = server.Close()
	}()
	return e.publish()
}

// ServeHTTP implements [http.Handler].
func (e *pairEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	refuse := func(status int) {
		w.Header().Set("X-Cicadamill-Request-Id", r.Header.Get("X-Cicadamill-Request-Id"))
		w.Header().Set("X-Cicadamill-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if r.Header.Get("X-Cicadamill-Expect-Instance") != e.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/cicadamill/report":
		models := e.models()
		e.mu.Lock()
		defer e.mu.Unlock()
		answer(w, map[string]any{"stage": "unified", "models": models, "busy": e.busy, "seq": e.seq, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 100_000, "handles": 0, "born": e.born})
	case "/cicadamill/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		answer(w, map[string]any{"bootEpoch": e.born, "next": 1, "lost": false, "events": []any{}})
	case "/cicadamill/kv-list":
		answer(w, map[string]any{"bootEpoch": e.born, "next": 1, "held": []any{}})
	case "/cicadamill/order":
		e.order(w, r)
	default:
		id, name := r.Header.Get("X-Cicadamill-Request-Id"), r.Header.Get("X-Cicadamill-Model")
		has := e.has()[name]
		e.mu.Lock()
		loading := e.loading == name
		e.mu.Unlock()
		if loading {
			refuse(http.StatusServiceUnavailable)
			return
		}
		if expected := r.Header.Get("X-Cicadamill-Expect-Version"); expected != "" && expected != strconv.Itoa(has) {
			refuse(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		e.site.record.add("%s runs %s on weights %d of %s", e.id, id, has, name)
		w.Header().Set("X-Cicadamill-Request-Id", id)
		w.Header().Set("X-Cicadamill-Response-Seal", "seal."+e.id+"."+id)
		w.Header().Set("X-Cicadamill-Weight-Versions", strconv.Itoa(has))
		w.Header().Set("Content-Type", "text/event-stream")
		time.Sleep(workTime)
		for k := 1; k <= 3; k++ {
			fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", k, id, k)
		}
	}
}

// order carries out an order for the model that it names; the other is not affected.
func (e *pairEngine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		orderBody
		Model string `json:"model"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := e.accept(o.Model, o.orderBody)
	e.site.record.add("%s gets an order for weights %d of %s from %s: %d", e.id, o.Version, o.Model, o.Holder, status)
	w.WriteHeader(status)
}

func (e *pairEngine) accept(name string, o orderBody) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	has, known := e.versions[name]
	switch {
	case !known:
		return http.StatusBadRequest
	case has == o.Version:
		return http.StatusOK
	case e.busy || o.Expected != nil && *o.Expected != e.seq:
		return http.StatusConflict
	}
	e.busy, e.loading = true, name
	e.seq++
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		e.busy, e.loading, e.versions[name] = false, "", o.Version
		e.mu.Unlock()
		_ = e.publish()
	})
	return http.StatusAccepted
}
