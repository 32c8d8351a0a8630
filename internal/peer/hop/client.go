// Package hop hands a request on to the node that looks after its cell and
// relays the answer back: server-sent events in order, with an explicit end or
// an explicit error.
package hop

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Path is where the peers' listener takes requests.
const Path = "/v1/peer/jobs"

const (
	cellHeader      = "X-Cell"
	readBufferBytes = 16 << 10
	maxLineBytes    = 1 << 20
	maxRefusalBytes = 64 << 10
)

// Options bound the wait for another node. Zero values mean the defaults.
type Options struct {
	// Start bounds the time until the node says that it took the request.
	Start time.Duration
	// Silence bounds the time without any word from it after that.
	Silence time.Duration
}

// The defaults of [Options].
const (
	DefaultStart   = 500 * time.Millisecond
	DefaultSilence = 5 * time.Second
)

// LostError tells that another node gave no end to a request.
type LostError struct {
	// Address is the other node.
	Address string
	// Outcome is not run only when no connection to the node was made.
	Outcome effect.Outcome
	// Cause is what went wrong.
	Cause error
}

// Error returns a text for logs.
func (e *LostError) Error() string {
	return fmt.Sprintf("node %s: %s: %v", e.Address, effect.Name(e.Outcome), e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

var (
	errSlow   = errors.New("the node did not take the request in time")
	errSilent = errors.New("the node fell silent")
)

// Client hands requests on. It is safe for concurrent use.
type Client struct {
	scheme  string
	http    *http.Client
	options Options
}

// New returns a client. The scheme is "http", or "https" when the HTTP client
// brings the certificates for it. The HTTP client must have no timeout.
//
//	hops := hop.New("http", &http.Client{}, hop.Options{})
//	err := hops.Run(ctx, "10.0.0.2:7000", "tema/0", request, sink)
func New(scheme string, client *http.Client, options Options) *Client {
	if options.Start == 0 {
		options.Start = DefaultStart
	}
	if options.Silence == 0 {
		options.Silence = DefaultSilence
	}
	return &Client{scheme: scheme, http: client, options: options}
}

// Run has the node at address answer a request on a cell. Events reach sink in
// order. It returns nil only after the node's explicit end; the node's own
// refusal is a [*fault.Error], a lost node a [*LostError]. An error of sink ends
// the request at the node and is returned as it is.
func (c *Client) Run(ctx context.Context, address, cell string, j job.Job, sink func(engine.Event) error) error {
	j.Hops++
	encoded, err := json.Marshal(j)
	if err != nil {
		return errors.Annotate(err, "encoding a request for another node")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	leg := &leg{client: c, address: address, ctx: ctx}
	leg.timer = time.AfterFunc(c.options.Start, func() { cancel(errSlow) })
	defer leg.timer.Stop()
	response, err := leg.send(cell, encoded)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return leg.refusal(response)
	}
	leg.timer.Stop()
	leg.timer = time.AfterFunc(c.options.Silence, func() { cancel(errSilent) })
	defer leg.timer.Stop()
	return leg.relay(response.Body, sink)
}

// leg is one request at one node.
type leg struct {
	client    *Client
	address   string
	ctx       context.Context
	timer     *time.Timer
	connected atomic.Bool
}

func (l *leg) send(cell string, body []byte) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { l.connected.Store(true) }}
	ctx := httptrace.WithClientTrace(l.ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.client.scheme+"://"+l.address+Path, bytes.NewReader(body))
	if err != nil {
		return nil, l.lost(err)
	}
	request.Header["User-Agent"] = nil
	request.Header.Set(cellHeader, cell)
	response, err := l.client.http.Do(request)
	if err != nil {
		return nil, l.lost(err)
	}
	return response, nil
}

// lost says "not run" only while no connection to the node existed.
func (l *leg) lost(err error) error {
	if cause := context.Cause(l.ctx); cause != nil {
		err = cause
	}
	failure := &LostError{Address: l.address, Outcome: effect.Unknown{Reason: "the node that ran it was lost"}, Cause: err}
	if !l.connected.Load() {
		failure.Outcome = effect.NotRun{Reason: "the node was not reached"}
	}
	return failure
}

// refusal reads why a node did not take a request. Without its own word that
// nothing ran, the outcome is unknown.
func (l *leg) refusal(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	if err != nil {
		return l.lost(err)
	}
	failure, err := decodeFailure(body)
	if err != nil {
		return l.lost(errors.Errorf("status %s", response.Status))
	}
	return failure
}

// relay hands events on until the node's explicit end.
func (l *leg) relay(body io.Reader, sink func(engine.Event) error) error {
	reader := bufio.NewReaderSize(body, readBufferBytes)
	kind, offset := "", 0
	for {
		line, err := readLine(reader)
		if err != nil {
			return l.lost(err)
		}
		l.timer.Reset(l.client.options.Silence)
		switch {
		case bytes.HasPrefix(line, eventField):
			kind = kindOf(line[len(eventField):])
		case bytes.HasPrefix(line, idField):
			if offset, err = strconv.Atoi(string(line[len(idField):])); err != nil {
				return l.lost(err)
			}
		case bytes.HasPrefix(line, dataField):
			over, err := l.event(kind, offset, line[len(dataField):], sink)
			if over || err != nil {
				return err
			}
			kind = ""
		}
	}
}

// event hands one event on. While sink waits for a slow caller, the node can't
// be heard, so its silence does not count.
func (l *leg) event(kind string, offset int, data []byte, sink func(engine.Event) error) (bool, error) {
	var event engine.Event
	switch kind {
	case "":
		event = engine.Token{Offset: offset, Data: data}
	case acceptedKind:
		var accepted engine.Accepted
		if err := json.Unmarshal(data, &accepted); err != nil {
			return true, l.lost(err)
		}
		event = accepted
	case doneKind:
		var done engine.Done
		if err := json.Unmarshal(data, &done); err != nil {
			return true, l.lost(err)
		}
		event = done
	case errorKind:
		failure, err := decodeFailure(data)
		if err != nil {
			return true, l.lost(err)
		}
		return true, failure
	default:
		return true, l.lost(errors.Errorf("event of kind %q", kind))
	}
	l.timer.Stop()
	err := sink(event)
	l.timer.Reset(l.client.options.Silence)
	return kind == doneKind, err
}

// failure is a [fault.Error] between nodes.
type failure struct {
	Code             string `json:"code"`
	Status           int    `json:"status"`
	Outcome          string `json:"outcome"`
	Reason           string `json:"reason,omitempty"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
	Message          string `json:"message"`
}

func decodeFailure(data []byte) (*fault.Error, error) {
	var f failure
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	if f.Code == "" || f.Status < http.StatusBadRequest {
		return nil, errors.New("no error in the answer")
	}
	return &fault.Error{
		Code: f.Code, Status: f.Status, Outcome: effect.Parse(f.Outcome, f.Reason),
		RetryAfter: time.Duration(f.RetryAfterMillis) * time.Millisecond, Message: f.Message,
	}, nil
}

func encodeFailure(err error) []byte {
	e := fault.From(err)
	f := failure{Code: e.Code, Status: e.Status, Outcome: effect.Name(e.Outcome), RetryAfterMillis: e.RetryAfter.Milliseconds(), Message: e.Message}
	switch o := e.Outcome.(type) {
	case effect.NotRun:
		f.Reason = o.Reason
	case effect.Unknown:
		f.Reason = o.Reason
	}
	encoded, _ := json.Marshal(f)
	return encoded
}
