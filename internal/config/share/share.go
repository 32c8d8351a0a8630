// Package share transfers configurations between nodes as JSON over HTTP. A node
// sends the changes since the requested version if it still has them, else the
// complete configuration.
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

// Paths on the listener for peers.
const (
	ConfigPath = "/v1/peer/config"
	HintPath   = "/v1/peer/config/hints"
)

const (
	maxAnswerBytes = 32 << 20
	maxHintBytes   = 1 << 10
	// gzipThreshold is the size in bytes from which changes are compressed. Complete
	// configurations always are.
	gzipThreshold = 4 << 10
)

// Update is a node's response to a request for a newer configuration. It holds
// either the changes from the requester's version to Version, or the complete
// configuration.
type Update struct {
	// Version is the version that the answer leads to.
	Version uint64 `json:"version"`
	// Sum is the digest of the configuration, see [delta.Sum].
	Sum string `json:"sum"`
	// Changes are applied in order.
	Changes []delta.Change `json:"changes,omitempty"`
	// Config is the complete configuration; nil if Changes are given.
	Config *site.Config `json:"config,omitempty"`
}

// Hint announces the active version of a node.
type Hint struct {
	// Peer is the address of the node's listener for peers.
	Peer string `json:"peer"`
	// Version is the active version.
	Version uint64 `json:"version"`
}

// Source is the state of a node that [Handler] serves to its peers.
type Source interface {
	// UpdateSince returns the configuration for a peer that has the version have with
	// the digest sum; false means that nothing newer is active.
	UpdateSince(have uint64, sum string) (Update, bool)
	// ReceiveHint processes a hint from a peer.
	ReceiveHint(peer string, version uint64)
}

// Handler returns the handler for requests from peers.
func Handler(source Source) http.Handler {
	mux := http.NewServeMux()
	cache := &encodedCache{}
	mux.HandleFunc("GET "+ConfigPath, func(w http.ResponseWriter, r *http.Request) { serveConfig(source, cache, w, r) })
	mux.HandleFunc("POST "+HintPath, func(w http.ResponseWriter, r *http.Request) { serveHint(source, w, r) })
	return mux
}

func serveConfig(source Source, cache *encodedCache, w http.ResponseWriter, r *http.Request) {
	have, err := strconv.ParseUint(r.URL.Query().Get("have"), 10, 64)
	if err != nil {
		http.Error(w, "have must be a version", http.StatusBadRequest)
		return
	}
	update, ok := source.UpdateSince(have, r.URL.Query().Get("sum"))
	if !ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	encoded, zipped, err := cache.encode(update)
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

func serveHint(source Source, w http.ResponseWriter, r *http.Request) {
	var hint Hint
	if err := json.NewDecoder(io.LimitReader(r.Body, maxHintBytes)).Decode(&hint); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	source.ReceiveHint(hint.Peer, hint.Version)
	w.WriteHeader(http.StatusNoContent)
}

// Client sends requests to peers. It is safe for concurrent use.
type Client struct {
	scheme string
	http   *http.Client
}

// New returns a client. The scheme is "http", or "https" if the HTTP client has
// the certificates for it.
//
//	client := share.New("http", &http.Client{})
//	answer, ok, err := client.Fetch(ctx, "10.0.0.2:8081", applied.Version(), sum)
func New(scheme string, client *http.Client) *Client { return &Client{scheme: scheme, http: client} }

// Fetch requests a configuration newer than have from a peer; false means that the
// peer has none.
func (c *Client) Fetch(ctx context.Context, peer string, have uint64, sum string) (Update, bool, error) {
	query := url.Values{"have": {strconv.FormatUint(have, 10)}, "sum": {sum}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+peer+ConfigPath+"?"+query.Encode(), nil)
	if err != nil {
		return Update{}, false, errors.Trace(err)
	}
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := c.http.Do(request)
	if err != nil {
		return Update{}, false, errors.Annotate(err, "requesting the configuration of a peer")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNoContent:
		return Update{}, false, nil
	case http.StatusOK:
	default:
		return Update{}, false, errors.Errorf("requesting the configuration of a peer: status %s", response.Status)
	}
	answer, err := decode(response)
	return answer, err == nil, errors.Annotate(err, "decoding the configuration of a peer")
}

func decode(response *http.Response) (Update, error) {
	var body io.Reader = response.Body
	if response.Header.Get("Content-Encoding") == "gzip" {
		decompressed, err := gzip.NewReader(response.Body)
		if err != nil {
			return Update{}, errors.Trace(err)
		}
		body = decompressed
	}
	var update Update
	err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&update)
	return update, errors.Trace(err)
}

// SendHint sends a hint to a peer.
func (c *Client) SendHint(ctx context.Context, peer string, hint Hint) error {
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
		return errors.Annotate(err, "sending a version hint to a peer")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("sending a version hint to a peer: status %s", response.Status)
	}
	return nil
}

// Build returns the configuration of the answer's version, verified against its
// digest. Changes are applied to have, which stays unchanged.
func (u Update) Build(have site.Config) (site.Config, error) {
	if u.Config != nil {
		config := delta.Sort(*u.Config)
		if got := delta.Sum(config); got != u.Sum {
			return site.Config{}, errors.Trace(&delta.SumError{Version: u.Version, Want: u.Sum, Got: got})
		}
		return config, nil
	}
	config := have
	for _, change := range u.Changes {
		next, err := delta.Apply(config, change)
		if err != nil {
			return site.Config{}, errors.Trace(err)
		}
		config = next
	}
	if len(u.Changes) == 0 || u.Changes[len(u.Changes)-1].Sum != u.Sum {
		return site.Config{}, fmt.Errorf("the changes do not result in version %d", u.Version)
	}
	return config, nil
}
