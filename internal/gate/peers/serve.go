package peers

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadamill/cicadamill/internal/gate/tree"
)

// The URL paths of the listener for peers.
const (
	messagePath = "/v1/peer/work"
	rowsPath    = "/v1/peer/rows/"
	partPath    = "/v1/peer/parts"
)

var _ http.Handler = (*Peers)(nil)

// ServeHTTP implements [http.Handler].
func (p *Peers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	if table, ok := strings.CutPrefix(r.URL.Path, rowsPath); ok && r.Method == http.MethodGet {
		p.serveRows(w, r, table)
		return
	}
	if r.URL.Path == partPath && r.Method == http.MethodGet {
		p.serveParts(w)
		return
	}
	if r.URL.Path != messagePath || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	var message Message
	if err := cbor.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&message); err != nil {
		p.options.Scope.Counter("peer_messages_malformed").Inc(1)
		http.Error(w, "the message can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	if answer := p.receive(time.Now(), message); answer != nil {
		p.encode(w, answer)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// receive applies a message and returns the response, or nil if the message
// doesn't request one.
func (p *Peers) receive(now time.Time, m Message) *Message {
	switch {
	case m.Probe:
		p.receiveProbe(now, m)
		return nil
	case m.WantsReply:
		p.apply(now, m, tree.Child)
		answer := p.reply(now, m)
		return &answer
	default:
		p.apply(now, m, tree.Root)
		return nil
	}
}

func (p *Peers) receiveProbe(now time.Time, m Message) {
	if m.From == "" || m.From == p.options.Self.Name {
		return
	}
	p.mu.Lock()
	p.linkTo(now, m)
	p.tree.RecordMessage(now, tree.Node{Name: m.From, DataCentre: m.DataCentre, Strength: m.Strength}, tree.Other)
	if m.Moved {
		p.tree.RecordMoved(m.From)
	}
	p.mu.Unlock()
	if m.Moved {
		p.options.DropLoad(m.From)
	}
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

// partsMaxAge is how long the encoded prompt parts are sent to peers before they are
// encoded again. After a start of all nodes the children ask for them at the same time;
// one copy for each of 20 children took 10 MB.
const partsMaxAge = 200 * time.Millisecond

// serveParts sends the cached prompt parts known to this node.
func (p *Peers) serveParts(w http.ResponseWriter) {
	p.partsMu.Lock()
	if time.Since(p.partsAt) > partsMaxAge {
		body, err := cbor.Marshal(p.options.Parts())
		if err != nil {
			p.partsMu.Unlock()
			p.options.Logger.Error("failed to encode prompt parts", "error", err)
			http.Error(w, "the parts can't be encoded", http.StatusInternalServerError)
			return
		}
		p.parts, p.partsAt = body, time.Now()
	}
	body := p.parts
	p.partsMu.Unlock()
	p.write(w, body)
}

func (p *Peers) encode(w http.ResponseWriter, value any) {
	body, err := cbor.Marshal(value)
	if err != nil {
		p.options.Logger.Error("failed to encode response to peer", "error", err)
		http.Error(w, "the answer can't be encoded", http.StatusInternalServerError)
		return
	}
	p.write(w, body)
}

func (p *Peers) write(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/cbor")
	if _, err := w.Write(body); err != nil {
		p.options.Scope.Counter("peer_answers_broken").Inc(1)
	}
}
