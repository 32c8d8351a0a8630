// Package wire carries notes and probes between nodes over HTTP with JSON.
package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// The paths of the peers' listener.
const (
	NotesPath  = "/v1/peer/notes"
	ProbesPath = "/v1/peer/probes"
)

const maxNoteBytes = 64 << 10

// Client speaks to other nodes. It is safe for concurrent use.
type Client struct {
	scheme string
	http   *http.Client
}

// New returns a client. The scheme is "http", or "https" when the HTTP client
// brings the certificates for it.
//
//	peers := wire.New("http", &http.Client{Timeout: time.Second})
//	answer, err := peers.Exchange(ctx, "10.0.0.2:7000", mine)
func New(scheme string, client *http.Client) *Client {
	return &Client{scheme: scheme, http: client}
}

// Exchange sends a note and returns the other node's.
func (c *Client) Exchange(ctx context.Context, address string, mine note.Note) (note.Note, error) {
	request, err := c.Request(ctx, address, NotesPath, mine)
	if err != nil {
		return note.Note{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return note.Note{}, errors.Annotate(err, "exchanging notes")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return note.Note{}, errors.Errorf("exchanging notes: status %s", response.Status)
	}
	var theirs note.Note
	err = decode(response.Body, &theirs)
	return theirs, errors.Annotate(err, "exchanging notes")
}

// probe is the body of a probe.
type probe struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Probe asks the node at via whether it reaches a third node.
func (c *Client) Probe(ctx context.Context, via, name, address string) (bool, error) {
	request, err := c.Request(ctx, via, ProbesPath, probe{Name: name, Address: address})
	if err != nil {
		return false, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false, errors.Annotate(err, "asking for a probe")
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent, nil
}

// Request builds a request with no header that the other side does not need.
func (c *Client) Request(ctx context.Context, address, path string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header["User-Agent"] = nil
	return request, nil
}

// Node answers other nodes.
type Node interface {
	// Receive takes a note and returns this node's.
	Receive(ctx context.Context, theirs note.Note) (note.Note, error)
	// Reaches tries a third node for another one.
	Reaches(ctx context.Context, name, address string) bool
}

// Handler serves other nodes' notes and probes.
func Handler(node Node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+NotesPath, func(w http.ResponseWriter, r *http.Request) { serveNote(node, w, r) })
	mux.HandleFunc("POST "+ProbesPath, func(w http.ResponseWriter, r *http.Request) { serveProbe(node, w, r) })
	return mux
}

func serveNote(node Node, w http.ResponseWriter, r *http.Request) {
	var theirs note.Note
	if err := decode(r.Body, &theirs); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	mine, err := node.Receive(r.Context(), theirs)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	encoded, err := json.Marshal(mine)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}

func serveProbe(node Node, w http.ResponseWriter, r *http.Request) {
	var wanted probe
	if err := decode(r.Body, &wanted); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !node.Reaches(r.Context(), wanted.Name, wanted.Address) {
		http.Error(w, "no answer from "+wanted.Name, http.StatusBadGateway)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func decode(body io.Reader, into any) error {
	return json.NewDecoder(io.LimitReader(body, maxNoteBytes)).Decode(into)
}
