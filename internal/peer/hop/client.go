// Package hop forwards a request to the node that is home of its cell, and
// relays the response as server-sent events, in order and terminated by an
// explicit end or error.
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

// Path is the path for forwarded requests on the listener for peers.
const Path = "/v1/peer/jobs"

const (
	cellHeader      = "X-Cell"
	readBufferBytes = 16 << 10
	maxLineBytes    = 1 << 20
	maxErrorBytes   = 64 << 10
)

// Options limit the waits for another node. Zero values mean the defaults.
type Options struct {
	// AcceptTimeout limits the time until the node accepts the request.
	AcceptTimeout time.Duration
	// SilenceTimeout limits the time after that in which it sends neither an event
	// nor a heartbeat.
	SilenceTimeout time.Duration
}

// Defaults of [Options].
const (
	DefaultAcceptTimeout  = 500 * time.Millisecond
	DefaultSilenceTimeout = 5 * time.Second
)

// LostError reports that another node did not terminate a response by an
// explicit end or error.
type LostError struct {
	// Address is the other node.
	Address string
	// Outcome is [effect.NotRun] if the request was sent on no connection to the
	// node, and otherwise [effect.Unknown].
	Outcome effect.Outcome
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("node %s: %s: %v", e.Address, effect.Name(e.Outcome), e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

var (
	errStartTimeout   = errors.New("the node did not accept the request in time")
	errSilenceTimeout = errors.New("the node sent no event or heartbeat in time")
)

// Client forwards requests to other nodes. It is safe for concurrent use.
type Client struct {
	scheme  string
	http    *http.Client
	options Options
}

// New returns a client. The scheme is "http", or "https" when the HTTP client
// has the certificates for it. The HTTP client must have no timeout.
//
//	hops := hop.New("http", &http.Client{}, hop.Options{})
//	err := hops.Run(ctx, "10.0.0.2:7000", "tema/0", request, sink)
func New(scheme string, client *http.Client, options Options) *Client {
	if options.AcceptTimeout == 0 {
		options.AcceptTimeout = DefaultAcceptTimeout
	}
	if options.SilenceTimeout == 0 {
		options.SilenceTimeout = DefaultSilenceTimeout
	}
	return &Client{scheme: scheme, http: client, options: options}
}

// Run forwards a request on a cell to the node at address and passes the
// events of the response to sink in order. It returns nil only after the
// node's explicit end. A refusal or failure that the node reported is a
// [*fault.Error]; if the node was lost, the error is a [*LostError]. An error
// of sink cancels the request at the node and is returned unchanged.
func (c *Client) Run(ctx context.Context, address, cell string, j job.Job, sink func(engine.Event) error) error {
	j.Hops++
	encoded, err := json.Marshal(j)
	if err != nil {
		return errors.Annotate(err, "encoding a forwarded request")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{client: c, address: address, ctx: ctx}
	a.timer = time.AfterFunc(c.options.AcceptTimeout, func() { cancel(errStartTimeout) })
	defer a.timer.Stop()
	response, err := a.send(cell, encoded)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return a.refusal(response)
	}
	a.timer.Stop()
	a.timer = time.AfterFunc(c.options.SilenceTimeout, func() { cancel(errSilenceTimeout) })
	defer a.timer.Stop()
	return a.relay(response.Body, sink)
}

// attempt is one forwarded request at one node.
type attempt struct {
	client    *Client
	address   string
	ctx       context.Context
	timer     *time.Timer
	connected atomic.Bool
}

func (a *attempt) send(cell string, body []byte) (*http.Response, error) {
	// The HTTP client asks for a second connection only if it has written nothing
	// to the first one, an idle connection that the node had closed.
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { a.connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	}
	ctx := httptrace.WithClientTrace(a.ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.client.scheme+"://"+a.address+Path, bytes.NewReader(body))
	if err != nil {
		return nil, a.lostError(err)
	}
	request.Header["User-Agent"] = nil
	request.Header.Set(cellHeader, cell)
	response, err := a.client.http.Do(request)
	if err != nil {
		return nil, a.lostError(err)
	}
	return response, nil
}

// lostError returns a [*LostError]. The outcome is "not run" only if no
// connection to the node was made.
func (a *attempt) lostError(err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	}
	failure := &LostError{Address: a.address, Outcome: effect.Unknown{Reason: "the node that ran it was lost"}, Cause: err}
	if !a.connected.Load() {
		failure.Outcome = effect.NotRun{Reason: "the node was not reached"}
	}
	return failure
}

// refusal returns the error in a response without events. If the node doesn't
// state explicitly that nothing ran, the outcome is unknown.
func (a *attempt) refusal(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return a.lostError(err)
	}
	failure, err := decodeError(body)
	if err != nil {
		return a.lostError(errors.Errorf("status %s without a valid error body", response.Status))
	}
	return failure
}

// relay passes events to sink until the node's explicit end or error.
func (a *attempt) relay(body io.Reader, sink func(engine.Event) error) error {
	reader := bufio.NewReaderSize(body, readBufferBytes)
	kind, offset := "", 0
	for {
		line, err := readLine(reader)
		if err != nil {
			return a.lostError(err)
		}
		a.timer.Reset(a.client.options.SilenceTimeout)
		switch {
		case bytes.HasPrefix(line, eventField):
			kind = kindOf(line[len(eventField):])
		case bytes.HasPrefix(line, idField):
			if offset, err = strconv.Atoi(string(line[len(idField):])); err != nil {
				return a.lostError(err)
			}
		case bytes.HasPrefix(line, dataField):
			ended, err := a.handleEvent(kind, offset, line[len(dataField):], sink)
			if ended || err != nil {
				return err
			}
			kind = ""
		}
	}
}

// handleEvent passes one event to sink and reports whether it was the last.
// The silence timer is stopped while sink blocks on a slow caller, since
// nothing is read from the node then.
func (a *attempt) handleEvent(kind string, offset int, data []byte, sink func(engine.Event) error) (bool, error) {
	var event engine.Event
	switch kind {
	case "":
		event = engine.Token{Offset: offset, Data: data}
	case acceptedKind:
		var accepted engine.Accepted
		if err := json.Unmarshal(data, &accepted); err != nil {
			return true, a.lostError(err)
		}
		event = accepted
	case doneKind:
		var done engine.Done
		if err := json.Unmarshal(data, &done); err != nil {
			return true, a.lostError(err)
		}
		event = done
	case errorKind:
		failure, err := decodeError(data)
		if err != nil {
			return true, a.lostError(err)
		}
		return true, failure
	default:
		return true, a.lostError(errors.Errorf("unexpected event kind %q", kind))
	}
	a.timer.Stop()
	err := sink(event)
	a.timer.Reset(a.client.options.SilenceTimeout)
	return kind == doneKind, err
}

// errorBody is the JSON encoding of a [fault.Error] between nodes.
type errorBody struct {
	Code             string `json:"code"`
	Status           int    `json:"status"`
	Outcome          string `json:"outcome"`
	Reason           string `json:"reason,omitempty"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
	Message          string `json:"message"`
}

func decodeError(data []byte) (*fault.Error, error) {
	var f errorBody
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	if f.Code == "" || f.Status < http.StatusBadRequest {
		return nil, errors.New("the response holds no valid error")
	}
	return &fault.Error{
		Code: f.Code, Status: f.Status, Outcome: effect.Parse(f.Outcome, f.Reason),
		RetryAfter: time.Duration(f.RetryAfterMillis) * time.Millisecond, Message: f.Message,
	}, nil
}

func encodeError(err error) []byte {
	e := fault.From(err)
	f := errorBody{Code: e.Code, Status: e.Status, Outcome: effect.Name(e.Outcome), RetryAfterMillis: e.RetryAfter.Milliseconds(), Message: e.Message}
	switch o := e.Outcome.(type) {
	case effect.NotRun:
		f.Reason = o.Reason
	case effect.Unknown:
		f.Reason = o.Reason
	}
	encoded, _ := json.Marshal(f)
	return encoded
}
