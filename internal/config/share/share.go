// Package share carries configurations between nodes over HTTP with JSON:
// changes where both sides stand close together, else the whole content.
package share

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/config/delta"
	"github.com/cicadamill/cicadamill/internal/config/site"
)

// The paths of the peers' listener.
const (
	ConfigPath = "/v1/peer/config"
	HintPath   = "/v1/peer/config/hints"
)

const (
	maxAnswerBytes = 32 << 20
	maxHintBytes   = 1 << 10
	gzipFrom       = 4 << 10
)

// Answer is what one node gives another: changes that lead from what it has to
// Version, or the whole content.
type Answer struct {
	// Version is the version that the answer leads to.
	Version uint64 `json:"version"`
	// Sum is its digest.
	Sum string `json:"sum"`
	// Changes are to be applied in order.
	Changes []delta.Change `json:"changes,omitempty"`
	// Config is the whole content, in place of changes.
	Config *site.Config `json:"config,omitempty"`
}

// Hint tells that a node has a version in force.
type Hint struct {
	// Peer is where the node's peers' listener is.
	Peer string `json:"peer"`
	// Version is the version in force.
	Version uint64 `json:"version"`
}

// Node answers other nodes.
type Node interface {
	// Answer returns what is newer than the version that another node has.
	Answer(have uint64, sum string) (Answer, bool)
	// Hear takes another node's hint.
	Hear(peer string, version uint64)
}

// Handler serves other nodes.
func Handler(node Node) http.Handler {
	mux := http.NewServeMux()
	packed := &packed{}
	mux.HandleFunc("GET "+ConfigPath, func(w http.ResponseWriter, r *http.Request) { serveConfig(node, packed, w, r) })
	mux.HandleFunc("POST "+HintPath, func(w http.ResponseWriter, r *http.Request) { serveHint(node, w, r) })
	return mux
}

func serveConfig(node Node, packed *packed, w http.ResponseWriter, r *http.Request) {
	have, err := strconv.ParseUint(r.URL.Query().Get("have"), 10, 64)
	if err != nil {
		http.Error(w, "have must be a version", http.StatusBadRequest)
		return
	}
	answer, ok := node.Answer(have, r.URL.Query().Get("sum"))
	if !ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	encoded, zipped, err := packed.encode(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if zipped {
		w.Header().Set("Content-Encoding", "gzip")
	}
	_, _ = w.Write(encoded)
}

func serveHint(node Node, w http.ResponseWriter, r *http.Request) {
	var hint Hint
	if err := json.NewDecoder(io.LimitReader(r.Body, maxHintBytes)).Decode(&hint); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	node.Hear(hint.Peer, hint.Version)
	w.WriteHeader(http.StatusNoContent)
}

// Client speaks to other nodes. It is safe for concurrent use.
type Client struct {
	scheme string
	http   *http.Client
}

// New returns a client. The scheme is "http", or "https" when the HTTP client
// brings the certificates for it.
//
//	client := share.New("http", &http.Client{})
//	answer, ok, err := client.Fetch(ctx, "10.0.0.2:8081", applied.Version(), sum)
func New(scheme string, client *http.Client) *Client { return &Client{scheme: scheme, http: client} }

// Fetch asks a node for what is newer than a version; false means nothing.
func (c *Client) Fetch(ctx context.Context, peer string, have uint64, sum string) (Answer, bool, error) {
	query := url.Values{"have": {strconv.FormatUint(have, 10)}, "sum": {sum}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+peer+ConfigPath+"?"+query.Encode(), nil)
	if err != nil {
		return Answer{}, false, errors.Trace(err)
	}
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{}, false, errors.Annotate(err, "asking for the configuration")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNoContent:
		return Answer{}, false, nil
	case http.StatusOK:
	default:
		return Answer{}, false, errors.Errorf("asking for the configuration: status %s", response.Status)
	}
	answer, err := decode(response)
	return answer, err == nil, errors.Annotate(err, "reading a configuration")
}

func decode(response *http.Response) (Answer, error) {
	var body io.Reader = response.Body
	if response.Header.Get("Content-Encoding") == "gzip" {
		unpacked, err := gzip.NewReader(response.Body)
		if err != nil {
			return Answer{}, errors.Trace(err)
		}
		body = unpacked
	}
	var answer Answer
	err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&answer)
	return answer, errors.Trace(err)
}

// Tell hints to a node that another one has a version in force.
func (c *Client) Tell(ctx context.Context, peer string, hint Hint) error {
	encoded, err := json.Marshal(hint)
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+peer+HintPath, bytes.NewReader(encoded))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Annotate(err, "telling a version")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("telling a version: status %s", response.Status)
	}
	return nil
}

// Build returns the configuration that an answer leads to, checked against its
// digest.
func (a Answer) Build(have site.Config) (site.Config, error) {
	if a.Config != nil {
		config := delta.Sort(*a.Config)
		if got := delta.Sum(config); got != a.Sum {
			return site.Config{}, errors.Trace(&delta.SumError{Version: a.Version, Want: a.Sum, Got: got})
		}
		return config, nil
	}
	config := have
	for _, change := range a.Changes {
		next, err := delta.Apply(config, change)
		if err != nil {
			return site.Config{}, errors.Trace(err)
		}
		config = next
	}
	if len(a.Changes) == 0 || a.Changes[len(a.Changes)-1].Sum != a.Sum {
		return site.Config{}, fmt.Errorf("the answer does not lead to version %d", a.Version)
	}
	return config, nil
}
