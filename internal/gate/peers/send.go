package peers

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/tree"
)

// outgoing is a message to one peer.
type outgoing struct {
	to, address string
	// acked and received are those of the link; see [link].
	acked, received Cursor
	// start identifies the peer's process that they belong to.
	start      uint64
	wantsReply bool
	names      []string
	message    Message
}

// sendResult is the outcome of a message, with the response if one was requested.
type sendResult struct {
	outgoing
	ok     bool
	answer *Message
}

// jittered returns an interval varied at random by up to an eighth.
func jittered(interval time.Duration) time.Duration {
	return interval - interval/8 + rand.N(interval/4)
}

// due returns the messages to send now: the state to the parent or the other
// roots, and probes to peers that are not up.
func (p *Peers) due(now time.Time) []outgoing {
	p.mu.Lock()
	for _, c := range p.tree.Expire(now) {
		p.options.Logger.Info("peer changed", "peer", c.Name, "up", c.Up, "silentMs", c.Silent.Milliseconds())
	}
	parent := p.parent
	dropped := p.updateParent(now)
	var messages, probes []outgoing
	if parent != p.parent {
		probes = p.leave(now)
	}
	receivers := p.tree.Receivers(now)
	if name, ok := p.tree.Probe(now); ok {
		receivers = append(receivers, name)
	}
	for _, name := range receivers {
		l, ok := p.links[name]
		if !ok || l.busy {
			continue
		}
		l.busy = true
		if !p.tree.Alive(now, name) {
			// Skip the log entries that a silent peer misses, since they would make
			// each message to it longer.
			l.acked = latest
			probes = append(probes, outgoing{to: name, address: l.address, start: l.start, message: p.withSender(Message{Probe: true, Next: latest})})
			continue
		}
		messages = append(messages, outgoing{
			to: name, address: l.address, acked: l.acked, received: l.received, start: l.start, wantsReply: p.parent != "", names: p.upNames(now, l, false),
		})
	}
	for name := range p.links {
		if !p.tree.Knows(name) {
			delete(p.links, name)
		}
	}
	p.reportedTo = receivers
	p.mu.Unlock()
	for _, node := range dropped {
		p.options.DropLoad(node)
	}
	return append(p.composeAll(now, messages), probes...)
}

// leave returns the messages to the nodes that this one has reported to until now: its old
// parent, or the other roots. Without them the load of this node and its children would
// count twice until its reports are too old.
func (p *Peers) leave(now time.Time) []outgoing {
	var messages []outgoing
	for _, name := range p.reportedTo {
		l, ok := p.links[name]
		if !ok || l.busy || name == p.parent || !p.tree.Alive(now, name) {
			continue
		}
		l.busy = true
		messages = append(messages, outgoing{to: name, address: l.address, start: l.start, message: p.withSender(Message{Probe: true, Moved: true, Next: l.acked})})
	}
	return messages
}

// withSender fills in the fields of a message that describe its sender.
func (p *Peers) withSender(m Message) Message {
	m.From, m.Address, m.Start = p.options.Self.Name, p.options.Address, p.start
	m.DataCentre, m.Strength = p.options.Self.DataCentre, p.options.Self.Strength
	return m
}

// updateParent updates the parent. If it has changed, it returns the nodes whose
// reported load no longer counts.
func (p *Peers) updateParent(now time.Time) []string {
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
		// From now on the parent's messages include what the other roots
		// reported.
		for name := range p.links {
			if !p.tree.IsChild(now, name) {
				dropped = append(dropped, name)
			}
		}
	}
	p.parent, p.parentTables = parent, parentTables{}
	return dropped
}

// upNames returns the names of nodes that are up if the list is due to be
// sent to a peer, else nil.
func (p *Peers) upNames(now time.Time, l *link, down bool) []string {
	if now.Sub(l.namesSent) < namesInterval {
		return nil
	}
	l.namesSent = now
	return p.tree.UpNames(now, down)
}

// composeAll completes messages to the parent or roots. Peers at the same
// position in the logs share one composed message.
func (p *Peers) composeAll(now time.Time, messages []outgoing) []outgoing {
	composed := map[Cursor]Message{}
	for i, out := range messages {
		m, ok := composed[out.acked]
		if !ok {
			m = p.compose(now, oplog.Recipient{}, out.acked)
			composed[out.acked] = m
		}
		m.WantsReply, m.Have, m.Up = out.wantsReply, out.received, out.names
		messages[i].message = m
	}
	return messages
}

// compose returns a message for a recipient.
func (p *Peers) compose(now time.Time, to oplog.Recipient, after Cursor) Message {
	m := p.withSender(p.options.Compose(to, after))
	p.mu.Lock()
	defer p.mu.Unlock()
	m.Leaving = p.leaving
	if age := now.Sub(p.drained.at); age < drainedMaxAge && p.drained.origin.VisibleTo(to) {
		e := p.drained.Drained
		e.Age = age
		m.Drained = &e
	}
	return m
}

// send sends a message and reads the response if it requested one.
func (p *Peers) send(ctx context.Context, out outgoing) sendResult {
	body, err := cbor.Marshal(out.message)
	if err != nil {
		p.options.Logger.Error("failed to encode message to peer", "error", err)
		return sendResult{outgoing: out}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+out.address+messagePath, bytes.NewReader(body))
	if err != nil {
		p.options.Logger.Warn("invalid peer address", "address", out.address, "error", err)
		return sendResult{outgoing: out}
	}
	request.Header["User-Agent"] = nil
	response, err := p.client.Do(request)
	if err != nil {
		p.options.Scope.Counter("peer_messages_lost").Inc(1)
		return sendResult{outgoing: out}
	}
	defer func() { _ = response.Body.Close() }()
	p.options.Scope.Counter("peer_messages_sent").Inc(1)
	s := sendResult{outgoing: out, ok: response.StatusCode < http.StatusMultipleChoices}
	if !out.message.WantsReply || !s.ok {
		_, _ = io.Copy(io.Discard, response.Body)
		return s
	}
	var m Message
	if err := cbor.NewDecoder(io.LimitReader(response.Body, maxMessageBytes)).Decode(&m); err != nil {
		p.options.Scope.Counter("peer_messages_malformed").Inc(1)
		p.options.Logger.Info("failed to decode response from peer", "peer", out.to, "error", err)
		return sendResult{outgoing: out}
	}
	s.answer = &m
	return s
}

// handleResult updates the state of a peer after a message to it, and applies the
// response if it is the parent's.
func (p *Peers) handleResult(now time.Time, s sendResult) {
	p.mu.Lock()
	if l, ok := p.links[s.to]; ok && l.address == s.address {
		l.busy = false
		if s.ok && s.start == l.start {
			l.acked = s.message.Next
		}
	}
	if !s.ok {
		p.tree.RecordFailure(now, s.to)
	}
	if s.ok && s.message.Probe && p.tree.Knows(s.to) && !p.tree.IsSeed(s.to) {
		p.tree.RecordMessage(now, tree.Node{Name: s.to}, tree.Other)
	}
	m := s.answer
	fromParent := m != nil && m.From == p.parent
	if fromParent {
		if l, ok := p.links[m.From]; ok {
			l.received = m.Next
		}
		p.parentTables = parentTables{tables: m.Tables, at: now}
	}
	p.mu.Unlock()
	if fromParent {
		p.apply(now, *m, tree.Other)
		p.options.OnParentReply()
	}
}

// apply applies a message from another node.
func (p *Peers) apply(now time.Time, m Message, role tree.Role) {
	origin := oplog.Origin{Node: m.From, Child: role == tree.Child}
	p.mu.Lock()
	if m.From == "" || m.From == p.options.Self.Name {
		p.mu.Unlock()
		return
	}
	p.linkTo(now, m)
	p.tree.RecordMessage(now, tree.Node{Name: m.From, DataCentre: m.DataCentre, Strength: m.Strength}, role)
	p.tree.RecordReport(now, m.Up)
	if m.Drained != nil {
		p.applyDrained(now, origin, *m.Drained)
	}
	if m.Leaving {
		p.tree.Remove(m.From)
		delete(p.links, m.From)
	}
	// The parent's messages include the load of the other roots.
	counted := role != tree.Root || p.parent == ""
	p.mu.Unlock()
	p.options.Apply(origin, m, counted)
}

// dropSeed removes the placeholder of a peer that was known only by its address,
// once its name is known.
func (p *Peers) dropSeed(nodeName, address string) {
	for name, l := range p.links {
		if l.address == address && name != nodeName && p.tree.IsSeed(name) {
			p.tree.Remove(name)
			delete(p.links, name)
		}
	}
}

// reply returns the response to a child's message.
func (p *Peers) reply(now time.Time, request Message) Message {
	p.mu.Lock()
	var names []string
	if l, ok := p.links[request.From]; ok {
		names = p.upNames(now, l, true)
	}
	p.mu.Unlock()
	m := p.compose(now, oplog.Recipient{Node: request.From, Child: true}, request.Have)
	m.Up, m.Tables = names, p.options.Tables()
	return m
}
