package member_test

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/fleet/member"
	"github.com/cicadamill/cicadamill/internal/peer/note"
	"github.com/cicadamill/cicadamill/internal/peer/wire"
)

// simulation runs states in virtual time and delivers the notes and probes
// between them.
type simulation struct {
	now     time.Time
	queue   events
	order   int
	nodes   map[string]*node
	random  *rand.Rand
	counts  map[string]int
	bytes   int
	sends   int
	measure bool
	// blocked reports whether the link from one node to another is down.
	blocked func(from, to string) bool
	// latency returns a one-way delay.
	latency func() time.Duration
	// duplicate reports whether a note is delivered twice.
	duplicate func() bool
}

type node struct {
	state  member.View
	start  uint64
	paused bool
	down   bool
	others []member.Command
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func name(i int) string { return fmt.Sprintf("node-%03d", i) }

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

// newSimulation starts count nodes. They know each other from the host list if
// listed, and otherwise only two peers from the settings.
func newSimulation(count int, seed uint64, listed bool) *simulation {
	c := &simulation{
		now: time.Unix(1_700_000_000, 0), nodes: map[string]*node{}, random: rand.New(rand.NewPCG(seed, 1)), counts: map[string]int{},
		blocked: func(string, string) bool { return false }, duplicate: func() bool { return false },
	}
	c.latency = func() time.Duration { return time.Millisecond }
	for i := range count {
		c.nodes[name(i)] = &node{}
		c.boot(i)
		if listed {
			c.update(name(i), member.HostList{Nodes: hosts(count)})
		}
	}
	return c
}

func hosts(count int) []member.Host {
	var all []member.Host
	for i := range count {
		all = append(all, member.Host{Name: name(i), Address: address(i), DataCentre: dataCentre(i)})
	}
	return all
}

func dataCentre(i int) string { return []string{"tema", "ashaiman", "madina", "kasoa"}[i%4] }

func (c *simulation) boot(i int) {
	n := c.nodes[name(i)]
	n.start = uint64(c.now.UnixMilli())
	n.down, n.paused = false, false
	n.state = member.New(member.Options{
		Name: name(i), Address: address(i), DataCentre: dataCentre(i), Incarnation: n.start, Seed: uint64(i) + c.random.Uint64(),
		Peers: []string{address(0), address(1)},
	})
	c.schedule(time.Duration(c.random.Int64N(int64(member.TickInterval))), func() { c.tick(name(i), n.start) })
}

func (c *simulation) tick(who string, start uint64) {
	n := c.nodes[who]
	if n.down || n.start != start {
		return
	}
	if !n.paused {
		c.update(who, member.Tick{})
	}
	c.schedule(member.TickInterval, func() { c.tick(who, start) })
}

func (c *simulation) schedule(wait time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, event{at: c.now.Add(wait), order: c.order, run: run})
}

func (c *simulation) advance(span time.Duration) {
	end := c.now.Add(span)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// update feeds one message to a node and runs its commands. It returns the
// reply to a received note.
func (c *simulation) update(who string, message member.Message) (reply note.Note) {
	n := c.nodes[who]
	var commands []member.Command
	n.state, commands = n.state.Update(c.now, message)
	for _, command := range commands {
		switch k := command.(type) {
		case member.Exchange:
			c.exchange(who, k, nil)
		case member.Reply:
			reply = k.Note
		case member.RequestProbe:
			c.ask(who, k)
		case member.Count:
			c.counts[k.Name]++
		case member.NewerConfig:
			c.schedule(3*time.Millisecond, func() { c.update(who, member.ConfigApplied{Version: k.Version}) })
		default:
			n.others = append(n.others, command)
		}
	}
	return reply
}

func (c *simulation) nodeAt(address string) string {
	var i, j int
	_, _ = fmt.Sscanf(address, "10.0.%d.%d:7000", &i, &j)
	return name(i*250 + j - 1)
}

// deliver runs arrive at the other node, or fail after a timeout.
func (c *simulation) deliver(from, to string, arrive, fail func()) {
	if n, ok := c.nodes[to]; !ok || n.down || n.paused || c.blocked(from, to) {
		c.schedule(time.Second, fail)
		return
	}
	c.schedule(c.latency(), arrive)
}

func (c *simulation) exchange(from string, k member.Exchange, result func(bool)) {
	to := c.nodeAt(k.Address)
	lost := func() {
		c.update(from, member.ExchangeFailed{Name: k.Name, Indirect: k.Indirect})
		if result != nil {
			result(false)
		}
	}
	c.countRequest(k.Address, k.Note)
	arrive := func() {
		if n := c.nodes[to]; n.down || n.paused {
			c.schedule(time.Second, lost)
			return
		}
		reply := c.update(to, member.Received{Note: k.Note})
		c.countReply(reply)
		c.schedule(c.latency(), func() {
			c.update(from, member.Replied{Note: reply})
			if c.duplicate() {
				c.schedule(c.latency(), func() { c.update(from, member.Replied{Note: reply}) })
			}
			if result != nil {
				result(true)
			}
		})
		if c.duplicate() {
			c.schedule(c.latency(), func() { c.update(to, member.Received{Note: k.Note}) })
		}
	}
	c.deliver(from, to, arrive, lost)
}

func (c *simulation) ask(from string, k member.RequestProbe) {
	via := c.nodeAt(k.Via)
	c.sends++
	c.deliver(from, via, func() {
		n := c.nodes[via]
		var commands []member.Command
		n.state, commands = n.state.Update(c.now, member.ProbeRequested{Name: k.Name, Address: k.Address})
		for _, command := range commands {
			if e, ok := command.(member.Exchange); ok {
				c.exchange(via, e, func(reached bool) { c.update(from, member.ProbeResult{Name: k.Name, Reached: reached}) })
			}
		}
	}, func() {})
}

// countRequest adds the encoded length of a request with its headers.
func (c *simulation) countRequest(address string, n note.Note) {
	c.sends++
	if !c.measure {
		return
	}
	request, err := wire.New("http", nil).Request(context.Background(), address, wire.NotesPath, n)
	if err != nil {
		panic(err)
	}
	_ = request.Write(byteCounter{c})
}

func (c *simulation) countReply(n note.Note) {
	if !c.measure {
		return
	}
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, wire.NotesPath, strings.NewReader("{}"))
	wire.Handler(fixedNode{n}).ServeHTTP(recorder, request)
	result := recorder.Result()
	result.ContentLength = int64(recorder.Body.Len())
	_ = result.Write(byteCounter{c})
}

type byteCounter struct{ c *simulation }

func (w byteCounter) Write(p []byte) (int, error) {
	w.c.bytes += len(p)
	return len(p), nil
}

var _ io.Writer = byteCounter{}

type fixedNode struct{ note note.Note }

func (e fixedNode) Receive(context.Context, note.Note) (note.Note, error) { return e.note, nil }

func (e fixedNode) Reaches(context.Context, string, string) bool { return true }

// sees returns the state in which one node sees another; empty when it is
// unknown or known only from the host list.
func (c *simulation) sees(who, other string) string {
	for _, n := range c.nodes[who].state.Nodes() {
		if n.Name == other && n.Incarnation > 0 {
			return n.State
		}
	}
	return ""
}

// allSee reports whether every running node, except the other itself, sees the
// other in the given state.
func (c *simulation) allSee(other, state string) bool {
	for who, n := range c.nodes {
		if who != other && !n.down && !n.paused && c.sees(who, other) != state {
			return false
		}
	}
	return true
}

func (c *simulation) converged() bool {
	for other, n := range c.nodes {
		if !n.down && !c.allSee(other, note.Alive) {
			return false
		}
	}
	return true
}

// awaitConvergence runs until every node has learnt of all others by exchange,
// and returns the time taken. It fails the test after the bound.
func (c *simulation) awaitConvergence(t *testing.T, bound time.Duration) time.Duration {
	t.Helper()
	began := c.now
	for c.now.Sub(began) <= bound {
		if c.converged() {
			return c.now.Sub(began)
		}
		c.advance(time.Second)
	}
	require.Fail(t, "the views did not converge")
	return 0
}
