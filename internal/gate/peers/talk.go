package peers

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadamill/cicadamill/internal/gate/trail"
	"github.com/cicadamill/cicadamill/internal/gate/tree"
)

// outgoing is a message to one peer.
type outgoing struct {
	to, address string
	// told is the place in the own news up to which the peer has been told, have
	// that in the peer's up to which it has told this node.
	told, have Place
	asks       bool
	names      []string
	message    Message
}

// sent is what became of a message.
type sent struct {
	outgoing
	ok     bool
	answer *Message
}

func jittered(interval time.Duration) time.Duration {
	return interval - interval/8 + rand.N(interval/4)
}

// due returns the messages that are sent now.
func (p *Peers) due(now time.Time) []outgoing {
	p.mu.Lock()
	for _, c := range p.tree.Expire(now) {
		p.options.Logger.Info("peer changed", "peer", c.Name, "up", c.Up, "silentMs", c.Silent.Milliseconds())
	}
	dropped := p.turn(now)
	var messages, probes []outgoing
	told := p.tree.Told(now)
	if name, ok := p.tree.Probe(now); ok {
		told = append(told, name)
	}
	for _, name := range told {
		l, ok := p.links[name]
		if !ok || l.busy {
			continue
		}
		l.busy = true
		if !p.tree.Alive(now, name) {
			// What a silent peer missed would make each message to it longer.
			l.told = fresh
			probes = append(probes, outgoing{to: name, address: l.address, message: p.signed(Message{Probe: true, Next: fresh})})
			continue
		}
		messages = append(messages, outgoing{
			to: name, address: l.address, told: l.told, have: l.have, asks: p.parent != "", names: p.names(now, l, false),
		})
	}
	for name := range p.links {
		if !p.tree.Knows(name) {
			delete(p.links, name)
		}
	}
	p.mu.Unlock()
	for _, node := range dropped {
		p.options.Drop(node)
	}
	return append(p.fill(now, messages), probes...)
}

// signed adds who sends a message.
func (p *Peers) signed(m Message) Message {
	m.From, m.Address = p.options.Self.Name, p.options.Address
	m.DataCentre, m.Strength = p.options.Self.DataCentre, p.options.Self.Strength
	return m
}

// turn notes which node is the parent now, and returns whose work is no longer
// known from whom it was.
func (p *Peers) turn(now time.Time) []string {
	parent, _ := p.tree.Parent(now)
	if parent == p.parent {
		return nil
	}
	p.options.Logger.Info("told by another node", "from", p.parent, "to", parent, "nodes", p.tree.Count())
	var dropped []string
	if p.parent != "" {
		dropped = append(dropped, p.parent)
	}
	if p.parent == "" {
		// All that other roots said comes from the parent now.
		for name := range p.links {
			if !p.tree.IsChild(now, name) {
				dropped = append(dropped, name)
			}
		}
	}
	p.parent, p.answer = parent, answer{}
	return dropped
}

// names returns the names of nodes that are up, if a peer is due to be told.
func (p *Peers) names(now time.Time, l *link, down bool) []string {
	if now.Sub(l.named) < namesInterval {
		return nil
	}
	l.named = now
	return p.tree.Says(now, down)
}

// fill completes messages to others than children. Those who have been told the
// same get the same.
func (p *Peers) fill(now time.Time, messages []outgoing) []outgoing {
	composed := map[Place]Message{}
	for i, out := range messages {
		m, ok := composed[out.told]
		if !ok {
			m = p.compose(now, trail.Audience{}, out.told)
			composed[out.told] = m
		}
		m.Asks, m.Have, m.Up = out.asks, out.have, out.names
		messages[i].message = m
	}
	return messages
}

// compose returns a message to an audience.
func (p *Peers) compose(now time.Time, to trail.Audience, after Place) Message {
	m := p.signed(p.options.Compose(to, after))
	p.mu.Lock()
	defer p.mu.Unlock()
	m.Leaving = p.leaving
	if age := now.Sub(p.emptied.at); age < emptiedAge && p.emptied.origin.Tells(to) {
		e := p.emptied.Emptied
		e.Age = age
		m.Emptied = &e
	}
	return m
}

// send sends a message and reads the answer to one that asks.
func (p *Peers) send(ctx context.Context, out outgoing) sent {
	body, err := cbor.Marshal(out.message)
	if err != nil {
		p.options.Logger.Error("message to peers not encoded", "error", err)
		return sent{outgoing: out}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+out.address+workPath, bytes.NewReader(body))
	if err != nil {
		p.options.Logger.Warn("peer's address is wrong", "address", out.address, "error", err)
		return sent{outgoing: out}
	}
	request.Header["User-Agent"] = nil
	response, err := p.client.Do(request)
	if err != nil {
		p.options.Scope.Counter("peer_messages_lost").Inc(1)
		return sent{outgoing: out}
	}
	defer func() { _ = response.Body.Close() }()
	p.options.Scope.Counter("peer_messages_sent").Inc(1)
	s := sent{outgoing: out, ok: response.StatusCode < http.StatusMultipleChoices}
	if !out.message.Asks || !s.ok {
		_, _ = io.Copy(io.Discard, response.Body)
		return s
	}
	var m Message
	if err := cbor.NewDecoder(io.LimitReader(response.Body, maxMessageBytes)).Decode(&m); err != nil {
		p.options.Scope.Counter("peer_messages_malformed").Inc(1)
		p.options.Logger.Info("answer of a peer can't be read", "peer", out.to, "error", err)
		return sent{outgoing: out}
	}
	s.answer = &m
	return s
}

// took notes what became of a message.
func (p *Peers) took(now time.Time, s sent) {
	p.mu.Lock()
	if l, ok := p.links[s.to]; ok && l.address == s.address {
		l.busy = false
		if s.ok {
			l.told = s.message.Next
		}
	}
	if !s.ok {
		p.tree.Failed(now, s.to)
	}
	if s.ok && s.message.Probe && p.tree.Knows(s.to) && !p.tree.IsSeed(s.to) {
		p.tree.Heard(now, tree.Node{Name: s.to}, tree.Other)
	}
	m := s.answer
	fromParent := m != nil && m.From == p.parent
	if fromParent {
		if l, ok := p.links[m.From]; ok {
			l.have = m.Next
		}
		p.answer = answer{tables: m.Tables, at: now}
	}
	p.mu.Unlock()
	if fromParent {
		p.hear(now, *m, tree.Other)
		p.options.Told()
	}
}

// hear takes another node's message.
func (p *Peers) hear(now time.Time, m Message, role tree.Role) {
	origin := trail.Origin{Node: m.From, Group: role == tree.Child}
	p.mu.Lock()
	if m.From == "" || m.From == p.options.Self.Name {
		p.mu.Unlock()
		return
	}
	node := tree.Node{Name: m.From, DataCentre: m.DataCentre, Strength: m.Strength}
	p.link(now, node, m.Address)
	p.tree.Heard(now, node, role)
	p.tree.Said(now, m.Up)
	if m.Emptied != nil {
		p.empty(now, origin, *m.Emptied)
	}
	if m.Leaving {
		p.tree.Left(m.From)
		delete(p.links, m.From)
	}
	// The parent tells of the work of the roots.
	counted := role != tree.Root || p.parent == ""
	p.mu.Unlock()
	p.options.Hear(origin, m, counted)
}

// forgetAlias drops the entry of a peer of which only the address was known until
// it was named.
func (p *Peers) forgetAlias(named, address string) {
	for name, l := range p.links {
		if l.address == address && name != named && p.tree.IsSeed(name) {
			p.tree.Left(name)
			delete(p.links, name)
		}
	}
}

// reply returns the answer to a message that asks.
func (p *Peers) reply(now time.Time, asked Message) Message {
	p.mu.Lock()
	var names []string
	if l, ok := p.links[asked.From]; ok {
		names = p.names(now, l, true)
	}
	p.mu.Unlock()
	m := p.compose(now, trail.Audience{Node: asked.From, Down: true}, asked.Have)
	m.Up, m.Tables = names, p.options.Tables()
	return m
}
