package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadamill/cicadamill/internal/config/admin"
	"github.com/cicadamill/cicadamill/internal/config/delta"
	"github.com/cicadamill/cicadamill/internal/config/jsonc"
	"github.com/cicadamill/cicadamill/internal/config/record"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/config/submit"
)

const (
	submitTimeout = 10 * time.Second
	readTimeout   = 5 * time.Second
	maxHistory    = 200
)

// registerAPI registers the configuration and status endpoints.
func (o *operators) registerAPI(mux *http.ServeMux) {
	mux.HandleFunc("POST "+admin.ConfigPath, o.serveSubmit)
	mux.HandleFunc("GET "+admin.ConfigPath, o.serveShow)
	mux.HandleFunc("GET "+admin.HistoryPath, o.serveHistory)
	mux.HandleFunc("GET "+admin.StatusPath, o.serveStatus)
}

func (o *operators) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var submission admin.Submission
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &submission)
	}
	if err != nil || submission.Nonce == "" {
		writeRefusal(w, http.StatusBadRequest, &admin.Refusal{Code: admin.BadRequest, Message: "send base, nonce and text as JSON"})
		return
	}
	version, err := o.submit(r.Context(), submission)
	if err != nil {
		o.server.telemetry.scope().Tagged(map[string]string{"code": refusalOf(err).Code}).Counter("config_submissions_refused").Inc(1)
		writeRefusal(w, statusOf(err), refusalOf(err))
		return
	}
	o.server.telemetry.scope().Counter(submissionsAccepted).Inc(1)
	o.server.logger.Info("configuration accepted", "version", version, "author", submission.Author)
	writeJSON(w, admin.Accepted{Version: version})
}

func (o *operators) submit(ctx context.Context, s admin.Submission) (uint64, error) {
	config, err := site.Parse([]byte(s.Text))
	if err != nil {
		return 0, err
	}
	timeout := submitTimeout
	if s.TimeoutMillis > 0 {
		timeout = min(timeout, time.Duration(s.TimeoutMillis)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	entry := submit.Entry{
		Base: s.Base, Nonce: s.Nonce, Author: s.Author, Time: time.Now().UTC(),
		Sum: delta.Sum(delta.Sort(config)), TextKey: record.TextKey(s.Base, s.Nonce),
	}
	version, err := o.configs.store.Submit(ctx, entry, []byte(s.Text), o.configs.follower.Version())
	if err != nil {
		return 0, err
	}
	o.configs.follower.ConfigAccepted(ctx, version, config)
	return version, nil
}

func (o *operators) serveShow(w http.ResponseWriter, r *http.Request) {
	version := o.server.applied.Version()
	if wanted := r.URL.Query().Get("version"); wanted != "" {
		parsed, err := strconv.ParseUint(wanted, 10, 64)
		if err != nil {
			writeRefusal(w, http.StatusBadRequest, &admin.Refusal{Code: admin.BadRequest, Message: "version must be a whole number"})
			return
		}
		version = parsed
	}
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	found, err := o.text(ctx, version)
	if err == nil {
		writeJSON(w, admin.VersionText{Version: version, Text: string(found), Verbatim: true})
		return
	}
	if version != o.server.applied.Version() {
		writeRefusal(w, http.StatusNotFound, &admin.Refusal{Code: admin.NotFound, Message: err.Error()})
		return
	}
	content, err := json.MarshalIndent(o.server.applied.Config(), "", "  ")
	if err != nil {
		writeRefusal(w, http.StatusInternalServerError, &admin.Refusal{Code: admin.PlatformUnavailable, Message: err.Error()})
		return
	}
	writeJSON(w, admin.VersionText{Version: version, Text: string(content)})
}

// text returns the text of a version as the operator submitted it.
func (o *operators) text(ctx context.Context, version uint64) ([]byte, error) {
	if version == 0 {
		return o.server.bootstrapText()
	}
	entry, err := o.configs.store.Entry(ctx, version)
	if err != nil {
		return nil, err
	}
	if entry.Nonce == "" {
		return nil, errors.New("there is no record of version " + strconv.FormatUint(version, 10))
	}
	return o.configs.store.Text(ctx, entry)
}

func (o *operators) serveHistory(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 || limit > maxHistory {
		writeRefusal(w, http.StatusBadRequest, &admin.Refusal{Code: admin.BadRequest, Message: "limit must be between 1 and " + strconv.Itoa(maxHistory)})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	_, head, err := o.configs.store.Head(ctx)
	if err == nil {
		var entries []submit.Entry
		entries, err = o.configs.store.History(ctx, head.Version+1, limit)
		if err == nil {
			writeJSON(w, admin.History{Entries: entries})
			return
		}
	}
	writeRefusal(w, http.StatusServiceUnavailable, &admin.Refusal{Code: admin.PlatformUnavailable, Message: "the table does not answer: " + err.Error()})
}

// refusalOf converts an error of a submission to the refusal sent to the
// operator.
func refusalOf(err error) *admin.Refusal {
	var invalid *jsonc.Error
	var conflict *submit.ConflictError
	var outage *submit.OutageError
	switch {
	case errors.As(err, &invalid):
		return &admin.Refusal{Code: admin.InvalidConfiguration, Message: invalid.Error(), Issues: invalid.Issues}
	case errors.As(err, &conflict):
		return &admin.Refusal{Code: admin.Conflict, Message: conflict.Error(), Base: conflict.Base, Current: conflict.Current}
	case errors.As(err, &outage) && !outage.MayHaveApplied:
		return &admin.Refusal{Code: admin.PlatformUnavailable, Message: err.Error()}
	default:
		return &admin.Refusal{Code: admin.OutcomeUnknown, Message: err.Error()}
	}
}

func statusOf(err error) int {
	switch refusalOf(err).Code {
	case admin.InvalidConfiguration:
		return http.StatusUnprocessableEntity
	case admin.Conflict:
		return http.StatusConflict
	case admin.PlatformUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

func writeRefusal(w http.ResponseWriter, status int, refusal *admin.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
