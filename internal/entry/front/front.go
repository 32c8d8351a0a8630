// Package front serves the chat API: it authenticates callers, parses their
// requests, passes them to a [Runner] and writes the responses.
package front

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
	"github.com/cicadamill/cicadamill/internal/entry/chat"
	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/entry/resume"
	"github.com/cicadamill/cicadamill/internal/route/chain"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Runner executes a request and passes the engine's events to sink in order.
type Runner interface {
	Run(ctx context.Context, j job.Job, sink func(engine.Event) error) error
}

// Handler serves the chat API.
type Handler struct {
	node         string
	config       func() site.Config
	runner       Runner
	scope        tally.Scope
	writeTimeout time.Duration
	mux          *http.ServeMux
	keys         auth.Cache
}

// Option configures a [Handler].
type Option func(*Handler)

// WithScope sets the scope of the metrics.
func WithScope(scope tally.Scope) Option { return func(h *Handler) { h.scope = scope } }

// WithWriteTimeout sets how long a write to a stream may block on a caller that
// does not read.
func WithWriteTimeout(d time.Duration) Option { return func(h *Handler) { h.writeTimeout = d } }

// New returns a handler. The function config returns the configuration in
// force. The HTTP server must limit the size of request bodies, see package
// limit.
//
//	handler := front.New("node-1", applied.Config, runner)
func New(node string, config func() site.Config, runner Runner, options ...Option) *Handler {
	h := &Handler{node: node, config: config, runner: runner, scope: tally.NoopScope, writeTimeout: defaultWriteTimeout, mux: http.NewServeMux()}
	for _, option := range options {
		option(h)
	}
	h.mux.HandleFunc("POST /v1/chat/completions", h.serveChat)
	h.mux.HandleFunc("GET /v1/models", h.serveModels)
	return h
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) serveChat(w http.ResponseWriter, r *http.Request) {
	config := h.config()
	workspace, ok := h.keys.Keys(config).Workspace(r.Header)
	if !ok {
		fault.Write(w, unauthorized())
		return
	}
	request, err := readChat(r)
	if err != nil {
		fault.Write(w, err)
		return
	}
	j, err := newJob(config, workspace, request)
	if err != nil {
		fault.Write(w, err)
		return
	}
	if err := setResumeOffset(r.Header, &j); err != nil {
		fault.Write(w, err)
		return
	}
	w.Header().Set("X-Request-Id", j.ID)
	w.Header().Set("X-Cicadamill-Node", h.node)
	if request.Stream {
		h.streamCompletion(w, r, j)
		return
	}
	h.serveCompletion(w, r, j)
}

func readChat(r *http.Request) (chat.Request, error) {
	body, err := io.ReadAll(r.Body)
	var limit *fault.Error
	if errors.As(err, &limit) {
		return chat.Request{}, limit
	}
	if err != nil {
		return chat.Request{}, &fault.Error{Code: "bodyUnread", Status: http.StatusBadRequest, Outcome: effect.NotRun{}, Message: "the body could not be read"}
	}
	request, err := chat.Parse(body)
	if err != nil {
		return chat.Request{}, &fault.Error{Code: "badRequest", Status: http.StatusBadRequest, Outcome: effect.NotRun{}, Message: err.Error()}
	}
	return request, nil
}

func newJob(config site.Config, workspace site.Workspace, request chat.Request) (job.Job, error) {
	application, ok := findApplication(config, workspace, request.Model)
	if !ok {
		return job.Job{}, &fault.Error{Code: "unknownApplication", Status: http.StatusNotFound, Outcome: effect.NotRun{}, Message: "this workspace has no application " + strconv.Quote(request.Model)}
	}
	model := findModel(config, application.Model)
	adapter := versionedAdapter(model, application.Adapter)
	seed := chain.Seed{Workspace: workspace.Name, Model: model.Name, Adapter: adapter, WeightVersion: model.WeightVersion}
	return job.Job{
		ID: rand.Text(), Workspace: workspace.Name, Class: workspace.Class, Share: workspace.Share,
		Application: application.Name, Model: model.Name, Adapter: adapter, WeightVersion: model.WeightVersion,
		Blocks: chain.Hash(seed, request.Prompt, model.BlockTokens), BlockTokens: model.BlockTokens,
		PromptTokens: chain.Tokens(request.Prompt), MaxTokens: request.MaxTokens,
		Fingerprint: xxh3.HashSeed(request.Prompt, xxh3.HashString(workspace.Name)), Body: request.Body,
	}, nil
}

// setResumeOffset sets the offset of a job from the Last-Event-ID header of a
// reconnecting caller. The request must be identical to the first one, and the
// weight version that began the response must still be in use.
func setResumeOffset(header http.Header, j *job.Job) error {
	id := header.Get("Last-Event-ID")
	if id == "" {
		return nil
	}
	point, err := resume.Parse(id)
	if err != nil {
		return &fault.Error{Code: "badRequest", Status: http.StatusBadRequest, Outcome: effect.NotRun{}, Message: err.Error()}
	}
	if point.Digest != resume.Digest(*j) {
		return notResumable("the event ID is of another request: send the same body, model and key again")
	}
	if point.WeightVersion != j.WeightVersion {
		return notResumable("the weights have changed since; ask again without Last-Event-ID")
	}
	j.Offset = point.Offset + 1
	return nil
}

func notResumable(message string) error {
	return &fault.Error{Code: "notResumable", Status: http.StatusConflict, Outcome: effect.NotRun{}, Message: message}
}

// versionedAdapter appends the version to an adapter's name, so that versions of
// an adapter neither share cached blocks nor resume each other's streams.
func versionedAdapter(model site.Model, name string) string {
	at := slices.IndexFunc(model.Adapters, func(a site.Adapter) bool { return a.Name == name })
	if at < 0 || model.Adapters[at].Version == "" {
		return name
	}
	return name + "@" + model.Adapters[at].Version
}

func findApplication(config site.Config, workspace site.Workspace, name string) (site.Application, bool) {
	if !slices.Contains(workspace.Applications, name) {
		return site.Application{}, false
	}
	at := slices.IndexFunc(config.Applications, func(a site.Application) bool { return a.Name == name })
	if at < 0 {
		return site.Application{}, false
	}
	return config.Applications[at], true
}

func findModel(config site.Config, name string) site.Model {
	at := slices.IndexFunc(config.Models, func(m site.Model) bool { return m.Name == name })
	if at < 0 {
		return site.Model{}
	}
	return config.Models[at]
}

func (h *Handler) serveModels(w http.ResponseWriter, r *http.Request) {
	workspace, ok := h.keys.Keys(h.config()).Workspace(r.Header)
	if !ok {
		fault.Write(w, unauthorized())
		return
	}
	type entry struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{Object: "list", Data: []entry{}}
	for _, name := range workspace.Applications {
		list.Data = append(list.Data, entry{ID: name, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func unauthorized() error {
	return &fault.Error{Code: "unauthorized", Status: http.StatusUnauthorized, Outcome: effect.NotRun{}, Message: "send a key of your workspace as a bearer token"}
}
