// Package peers tells the other nodes what this one has under way, and hears the
// same of them, so that nodes which decide alone know of each other's work.
package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
)

// The paths of the peers' listener.
const (
	workPath = "/v1/peer/work"
	rowsPath = "/v1/peer/rows/"
	partPath = "/v1/peer/parts"
)

const (
	// workInterval is how often a node with few peers tells its work: a third of
	// the time to a first token, so that a count is old by less than one run.
	workInterval = 120 * time.Millisecond
	// messagesPerSecond bounds what a node sends; with many peers it tells each
	// of them less often.
	messagesPerSecond = 100
	// callTimeout bounds one message; peers are milliseconds away.
	callTimeout = 400 * time.Millisecond
	// heardAge is how long after its last message a peer counts as up.
	heardAge = 2 * time.Second
	// knownAge is how long after its last message a peer is still told and
	// counted: a peer may be cut off and yet send to targets.
	knownAge = 30 * time.Second
	// emptiedAge is how long the holder's word on emptied targets holds.
	emptiedAge = 1500 * time.Millisecond
	// maxMessageBytes bounds a message.
	maxMessageBytes = 4 << 20
)

// Options are what [Peers] need.
type Options struct {
	// Name is this node's name.
	Name string
	// Address is where it listens for peers.
	Address string
	// Compose returns this node's next message.
	Compose func() Message
	// Hear takes another node's message.
	Hear func(Message)
	// Rows returns what this node knows of a table after a version.
	Rows func(table string, after uint64) (feed.Page, bool)
	// Parts returns what this node believes to be in caches.
	Parts func() []pick.Placed
	// Scope takes the metrics.
	Scope tally.Scope
	// Logger hears of peers that come and go.
	Logger hclog.Logger
}

// Peers is a suture service and the handler of the peers' listener.
type Peers struct {
	options Options
	client  *http.Client

	mu      sync.Mutex
	known   map[string]*peer
	emptied Emptied
	told    time.Time
	leaving bool
}

type peer struct {
	address string
	heard   time.Time
	known   time.Time
	busy    bool
	up      bool
}

// New returns a service that knows no peer.
//
//	others := peers.New(options)
//	supervisor.Add(others)
//	others.Add("front-2", "10.0.0.2:7000")
func New(options Options) *Peers {
	dialer := &net.Dialer{Timeout: callTimeout}
	return &Peers{
		options: options, known: map[string]*peer{},
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1,
			IdleConnTimeout: 10 * time.Second, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10,
		}},
	}
}

// Add names a peer. One that is known by another address has moved there.
func (p *Peers) Add(name, address string) {
	if name == p.options.Name || address == "" || address == p.options.Address {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.known[name]; ok && old.address == address {
		return
	}
	p.known[name] = &peer{address: address, known: time.Now()}
}

// Nodes returns how many nodes there may be, this one included.
func (p *Peers) Nodes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.known)
}

// Emptied returns the targets that get no new work now.
func (p *Peers) Emptied(now time.Time) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]bool{}
	if now.Sub(p.told) < emptiedAge {
		for _, id := range p.emptied.Targets {
			all[id] = true
		}
	}
	return all
}

// Leave tells the others that this node ends.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// Serve runs until the context ends and no message is under way.
func (p *Peers) Serve(ctx context.Context) error {
	timer := time.NewTimer(workInterval)
	defer timer.Stop()
	ended := make(chan string)
	open := 0
	for {
		select {
		case <-ctx.Done():
			for ; open > 0; open-- {
				<-ended
			}
			return ctx.Err()
		case name := <-ended:
			open--
			p.free(name)
		case <-timer.C:
			targets := p.due(time.Now())
			if len(targets) > 0 {
				open += p.tell(ctx, targets, ended)
			}
			timer.Reset(p.interval() - workInterval/8 + rand.N(workInterval/4))
		}
	}
}

func (p *Peers) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(workInterval, time.Duration(len(p.known))*time.Second/messagesPerSecond)
}

// due returns the addresses of the peers that get a message now.
func (p *Peers) due(now time.Time) map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := map[string]string{}
	for name, known := range p.known {
		last := known.known
		if known.heard.After(last) {
			last = known.heard
		}
		if now.Sub(last) > knownAge {
			delete(p.known, name)
			continue
		}
		if up := now.Sub(known.heard) < heardAge; up != known.up {
			known.up = up
			p.options.Logger.Info("peer changed", "peer", name, "address", known.address, "up", up, "silentMs", now.Sub(last).Milliseconds())
		}
		if !known.busy {
			known.busy = true
			targets[name] = known.address
		}
	}
	return targets
}

func (p *Peers) free(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.known[name]; ok {
		known.busy = false
	}
}

// tell sends one message to several peers and returns how many are under way.
func (p *Peers) tell(ctx context.Context, targets map[string]string, ended chan<- string) int {
	message := p.options.Compose()
	message.From, message.Address = p.options.Name, p.options.Address
	p.mu.Lock()
	message.Leaving = p.leaving
	p.mu.Unlock()
	body, err := json.Marshal(message)
	if err != nil {
		p.options.Logger.Error("message to peers not encoded", "error", err)
		body = nil
	}
	for name, address := range targets {
		go func(ctx context.Context) {
			if body != nil {
				p.send(ctx, address, body)
			}
			ended <- name
		}(ctx)
	}
	return len(targets)
}

func (p *Peers) send(ctx context.Context, address string, body []byte) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+workPath, bytes.NewReader(body))
	if err != nil {
		p.options.Logger.Warn("peer's address is wrong", "address", address, "error", err)
		return
	}
	request.Header["User-Agent"] = nil
	response, err := p.client.Do(request)
	if err != nil {
		p.options.Scope.Counter("peer_messages_lost").Inc(1)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	p.options.Scope.Counter("peer_messages_sent").Inc(1)
}

// ServeHTTP implements [http.Handler].
func (p *Peers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	if table, ok := bytes.CutPrefix([]byte(r.URL.Path), []byte(rowsPath)); ok && r.Method == http.MethodGet {
		p.serveRows(w, r, string(table))
		return
	}
	if r.URL.Path == partPath && r.Method == http.MethodGet {
		p.encode(w, p.options.Parts())
		return
	}
	if r.URL.Path != workPath || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	var message Message
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&message); err != nil {
		p.options.Scope.Counter("peer_messages_malformed").Inc(1)
		http.Error(w, "the message can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.hear(message)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Peers) serveRows(w http.ResponseWriter, r *http.Request, table string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "the version is not a number", http.StatusBadRequest)
		return
	}
	page, ok := p.options.Rows(table, after)
	if !ok {
		http.NotFound(w, r)
		return
	}
	p.encode(w, page)
}

func (p *Peers) encode(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		p.options.Scope.Counter("peer_answers_broken").Inc(1)
	}
}

func (p *Peers) hear(m Message) {
	now := time.Now()
	p.mu.Lock()
	known, ok := p.known[m.From]
	if !ok || known.address != m.Address {
		known = &peer{address: m.Address, known: now}
		p.known[m.From] = known
	}
	known.heard = now
	if m.Leaving {
		delete(p.known, m.From)
	}
	p.mu.Unlock()
	if m.Emptied != nil {
		p.Empty(*m.Emptied)
	}
	p.options.Hear(m)
}

// Empty takes the word of the holder with the highest fencing number.
func (p *Peers) Empty(e Emptied) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.Fence < p.emptied.Fence {
		return
	}
	if !slices.Equal(e.Targets, p.emptied.Targets) {
		p.options.Logger.Info("targets emptied", "fence", e.Fence, "targets", e.Targets)
	}
	p.emptied, p.told = Emptied{Fence: e.Fence, Targets: slices.Clone(e.Targets)}, time.Now()
}

// Up returns the names of the peers that were heard lately.
func (p *Peers) Up(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var up []string
	for _, name := range slices.Sorted(maps.Keys(p.known)) {
		if now.Sub(p.known[name].heard) < heardAge {
			up = append(up, name)
		}
	}
	return up
}
