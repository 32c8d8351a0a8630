package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of an engine.
const (
	// loadTime is the time to load weights, as on the sheet of the smallest site.
	loadTime = 1300 * time.Millisecond
	// lateOrder is after how long an unanswered order is carried out: 2 to 12 s.
	lateOrder = 4 * time.Second
	// streamEvents is the number of events of a stream, eventGap the time between two.
	streamEvents = 40
	eventGap     = 25 * time.Millisecond
	// workTime is the time of a plain call.
	workTime = 15 * time.Millisecond
)

// engine is a stand-in of an engine, or of a plain target without a model.
type engine struct {
	site        *site
	id, service string
	hasModel    bool
	address     string
	born        int64
	server      *http.Server
	stop        context.CancelFunc

	mu      sync.Mutex
	version int
	seq     int
	busy    bool
	silent  bool
	// extra is after how many answers one is followed by bytes of no request; zero for
	// none. answered counts them.
	extra, answered int
	orders          []orderSeen
	// parts are the cached parts.
	parts map[cachedPart]string
}

// orderSeen is an order that reached an engine.
type orderSeen struct {
	at     time.Time
	engine string
	holder string
	fence  uint64
	status int
	// inTrouble is true while some engine leaves its orders unanswered.
	inTrouble bool
}

// connKey is the key of the state of a connection, connState that state.
type connKey struct{}

type connState struct{ extraDue bool }

// cachedPart names a part in an engine's memory.
type cachedPart struct{ salt, id string }

// addEngine starts an engine and lists it.
func (s *site) addEngine(id, service string, hasModel bool) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &engine{
		site: s, id: id, service: service, hasModel: hasModel, address: listener.Addr().String(), born: time.Now().UnixMilli(), stop: stop, version: 1, parts: map[cachedPart]string{},
	}
	e.server = &http.Server{Handler: e, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &connState{})
	}}
	go func() { _ = e.server.Serve(listener) }()
	s.engines = append(s.engines, e)
	if err := e.publish(); err != nil {
		return err
	}
	go func() {
		for sleep(ctx, heartbeat) {
			_ = e.publish()
		}
	}()
	return nil
}

func (e *engine) close() {
	e.stop()
	_ = e.server.Close()
}

// publish writes the entry.
func (e *engine) publish() error {
	e.mu.Lock()
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": zone, "version": "1", "slots": e.site.slots, "state": "ready", "coldLeftMs": 0, "seq": e.seq, "born": e.born,
	}
	if e.hasModel {
		entry["stage"], entry["models"] = "unified", e.models()
	}
	e.mu.Unlock()
	return e.site.store.Put("servers", e.id, entry)
}

// models is the list of models; the caller holds the lock.
func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": model, "version": e.version, "adapters": []any{}}}
}

// setSilent sets whether orders get no answer and are carried out late.
func (e *engine) setSilent(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = on
	e.site.silence.Store(on)
}

// ServeHTTP implements [http.Handler].
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Cicadamill-Expect-Instance"); expected != "" && expected != e.id {
		e.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Cicadamill-Instance-Id", e.id)
	case "/cicadamill/report":
		e.mu.Lock()
		report := map[string]any{"stage": "unified", "models": e.models(), "busy": e.busy, "seq": e.seq, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 100_000, "handles": 0, "born": e.born}
		e.mu.Unlock()
		answer(w, report)
	case "/cicadamill/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		answer(w, map[string]any{"bootEpoch": e.born, "next": 1, "lost": false, "events": []any{}})
	case "/cicadamill/kv-list":
		answer(w, map[string]any{"bootEpoch": e.born, "next": 1, "held": []any{}})
	case "/cicadamill/order":
		e.order(w, r)
	default:
		e.serve(w, r)
	}
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (e *engine) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("X-Cicadamill-Request-Id", r.Header.Get("X-Cicadamill-Request-Id"))
	w.Header().Set("X-Cicadamill-Not-Executed", "1")
	w.WriteHeader(status)
}

type orderBody struct {
	Version  int    `json:"version"`
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fenceToken"`
	Expected *int   `json:"expected"`
}

// order answers an order to load weights, or carries it out late without an answer.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	status := 0
	if !silent {
		status = e.accept(o)
	}
	e.mu.Lock()
	e.orders = append(e.orders, orderSeen{at: at, engine: e.id, holder: o.Holder, fence: o.Fence, status: status, inTrouble: e.site.silence.Load()})
	e.mu.Unlock()
	if !silent {
		e.site.record.add("%s gets an order for weights %d from %s, fence %d: %d", e.id, o.Version, o.Holder, o.Fence, status)
		w.WriteHeader(status)
		return
	}
	e.site.record.add("%s gets an order for weights %d from %s, fence %d: no answer", e.id, o.Version, o.Holder, o.Fence)
	time.AfterFunc(lateOrder, func() {
		e.site.record.add("%s carries out the order of %s for weights %d late: %d", e.id, o.Holder, o.Version, e.accept(o))
	})
	<-r.Context().Done()
}

// accept begins to carry out an order and returns the status.
func (e *engine) accept(o orderBody) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.version == o.Version:
		return http.StatusOK
	case e.busy || o.Expected != nil && *o.Expected != e.seq:
		return http.StatusConflict
	}
	e.busy = true
	e.seq++
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		e.busy, e.version = false, o.Version
		e.mu.Unlock()
		_ = e.publish()
	})
	return http.StatusAccepted
}

// serve runs a request of a client.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Cicadamill-Request-Id")
	e.mu.Lock()
	version, busy := e.version, e.busy
	e.mu.Unlock()
	expected := r.Header.Get("X-Cicadamill-Expect-Version")
	switch {
	case expected != "" && expected != strconv.Itoa(version):
		e.refuse(w, r, http.StatusMisdirectedRequest)
		return
	case busy:
		e.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.site.record.add("%s runs %s of tenant %q", e.id, id, r.Header.Get("X-Cicadamill-Tenant"))
	e.countRun(id)
	if e.extraDue(r) {
		e.answerAfterExtra(w, id)
		return
	}
	e.usePrefix(r.Header)
	w.Header().Set("X-Cicadamill-Request-Id", id)
	w.Header().Set("X-Cicadamill-Response-Seal", "seal."+e.id+"."+id)
	time.Sleep(workTime)
	if !e.hasModel {
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Cicadamill-Weight-Versions", strconv.Itoa(version))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for k := from + 1; k <= streamEvents; k++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", k, id, k)
		if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// ordersSeen returns the orders that reached the engine.
func (e *engine) ordersSeen() []orderSeen {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]orderSeen(nil), e.orders...)
}

// usePrefix uses the cached parts of a prompt, from the first on, and keeps the others as
// made by the tenant of the request.
func (e *engine) usePrefix(header http.Header) {
	tenant, salt, id := header.Get("X-Cicadamill-Tenant"), header.Get("X-Cicadamill-Cache-Salt"), header.Get("X-Cicadamill-Request-Id")
	var used []use
	made := map[cachedPart]string{}
	if source := e.site.engineAt(header.Get("X-Cicadamill-Kv-Fetch")); source != nil {
		made = source.cached()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	found := true
	for entry := range strings.SplitSeq(header.Get("X-Cicadamill-Prefix-Hash"), ",") {
		part, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		if part == "" {
			continue
		}
		key := cachedPart{salt, part}
		maker, here := e.parts[key]
		if !here {
			maker, here = made[key]
		}
		found = found && here
		if !found {
			e.parts[key] = tenant
			continue
		}
		e.parts[key] = maker
		used = append(used, use{request: id, tenant: tenant, part: part, salt: salt, maker: maker, engine: e.id})
	}
	e.site.addUses(used)
}

// cached returns a copy of the cached parts.
func (e *engine) cached() map[cachedPart]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.parts)
}

// setExtra lets one in so many answers be followed by bytes that belong to no request.
func (e *engine) setExtra(oneIn int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extra = oneIn
}

// extraDue reports whether the answer before on this connection is followed by such bytes,
// which come where the answer to this request is expected. It decides about the next ones.
func (e *engine) extraDue(r *http.Request) bool {
	state, ok := r.Context().Value(connKey{}).(*connState)
	if !ok {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	due := state.extraDue
	e.answered++
	state.extraDue = e.extra > 0 && e.answered%e.extra == 0
	return due
}

// extraResponse is what follows a complete answer.
const extraResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Cicadamill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// answerAfterExtra sends the late bytes, and the answer of the request once it has run.
func (e *engine) answerAfterExtra(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	e.site.record.add("%s sends bytes of no request after the answer before, while it runs %s", e.id, id)
	_, _ = io.WriteString(conn, extraResponse)
	time.Sleep(workTime)
	body := "done " + id
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Cicadamill-Request-Id: %s\r\nX-Cicadamill-Response-Seal: seal.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, e.id, id, len(body), body)
}

// countRun counts a run of a request.
func (e *engine) countRun(id string) {
	e.site.mu.Lock()
	defer e.site.mu.Unlock()
	e.site.runs[id] = append(e.site.runs[id], e.id)
}
