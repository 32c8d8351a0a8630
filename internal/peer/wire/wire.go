// Package wire sends gossip notes and indirect probes between nodes as JSON
// over HTTP.
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

// Paths on the listener for peers.
const (
	NotesPath  = "/v1/peer/notes"
	ProbesPath = "/v1/peer/probes"
)

const maxNoteBytes = 64 << 10

// Client sends notes and probe requests to other nodes. It is safe for
// concurrent use.
type Client struct {
	scheme string
	http   *http.Client
}

// New returns a client. The scheme is "http", or "https" when the HTTP client
// has the certificates for it.
//
//	peers := wire.New("http", &http.Client{Timeout: time.Second})
//	incoming, err := peers.Exchange(ctx, "10.0.0.2:7000", outgoing)
func New(scheme string, client *http.Client) *Client {
	return &Client{scheme: scheme, http: client}
}

// Exchange sends a note and returns the note in the response.
func (c *Client) Exchange(ctx context.Context, address string, outgoing note.Note) (note.Note, error) {
	request, err := c.Request(ctx, address, NotesPath, outgoing)
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
	var incoming note.Note
	err = decode(response.Body, &incoming)
	return incoming, errors.Annotate(err, "exchanging notes")
}

// probeRequest is the body of a probe request: the node to contact.
type probeRequest struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Probe asks the node at via to contact another node, and reports whether that
// node responded.
func (c *Client) Probe(ctx context.Context, via, name, address string) (bool, error) {
	request, err := c.Request(ctx, via, ProbesPath, probeRequest{Name: name, Address: address})
	if err != nil {
		return false, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false, errors.Annotate(err, "requesting an indirect probe")
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent, nil
}

// Request builds a POST request with a JSON body. It leaves out the headers
// that the receiver doesn't need, to save bytes.
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

// Node handles the requests of other nodes.
type Node interface {
	// Receive merges a note and returns the note for the response.
	Receive(ctx context.Context, incoming note.Note) (note.Note, error)
	// Reaches contacts the named node and reports whether it responded.
	Reaches(ctx context.Context, name, address string) bool
}

// Handler serves note exchanges and probe requests.
func Handler(node Node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+NotesPath, func(w http.ResponseWriter, r *http.Request) { serveNote(node, w, r) })
	mux.HandleFunc("POST "+ProbesPath, func(w http.ResponseWriter, r *http.Request) { serveProbe(node, w, r) })
	return mux
}

func serveNote(node Node, w http.ResponseWriter, r *http.Request) {
	var incoming note.Note
	if err := decode(r.Body, &incoming); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := node.Receive(r.Context(), incoming)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	encoded, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}

func serveProbe(node Node, w http.ResponseWriter, r *http.Request) {
	var request probeRequest
	if err := decode(r.Body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !node.Reaches(r.Context(), request.Name, request.Address) {
		http.Error(w, "no answer from "+request.Name, http.StatusBadGateway)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func decode(body io.Reader, into any) error {
	return json.NewDecoder(io.LimitReader(body, maxNoteBytes)).Decode(into)
}
