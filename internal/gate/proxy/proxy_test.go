package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/gate/budget"
	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/deadly"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/pool"
	"github.com/cicadamill/cicadamill/internal/gate/proxy"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/route/quota"
)

// codec is a minimal call.Codec with short header names.
type codec struct{}

func (codec) Decode(r *http.Request) (call.Call, error) {
	c := call.Call{
		ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Path: r.RequestURI, Key: r.Header.Get("Key"),
		ResumeAfter: r.Header.Get("Resume"), Header: proxy.EndToEnd(r.Header), ClientTimeout: longTimeout,
		Prompt: call.Prompt{Model: r.Header.Get("Model")},
	}
	if parts := r.Header.Get("Parts"); parts != "" {
		for id := range strings.SplitSeq(parts, ",") {
			c.Prompt.Parts = append(c.Prompt.Parts, call.Part{ID: id, Tokens: 1})
		}
	}
	c.Header.Del("Key")
	return c, nil
}

func (codec) Encode(c call.Call, send call.Forward) http.Header {
	header := c.Header.Clone()
	header.Set("Instance", send.Instance)
	header.Set("Workspace", send.Workspace)
	header.Set("Scope", send.Scope)
	header.Set("Left", strconv.FormatInt(send.TimeLeft.Milliseconds(), 10))
	if send.ResumeAfter != "" {
		header.Set("Resume", send.ResumeAfter)
	}
	return header
}

func (codec) DecodeHeader(status int, header http.Header) call.ResponseHeader {
	return call.ResponseHeader{
		ID: header.Get("Id"), Signed: header.Get("Seal") != "", NotRun: header.Get("Not-Run") != "",
		Misdirected: status == http.StatusMisdirectedRequest,
	}
}

func (codec) RetryAfter(pause time.Duration) string { return fmt.Sprint(pause.Seconds()) }

func (codec) EventVersion([]byte) (uint64, bool) { return 0, false }

// target serves one request; arrival counts the requests to all targets from 1.
type target func(w http.ResponseWriter, r *http.Request, arrival int)

func seal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "s")
}

func good(w http.ResponseWriter, r *http.Request, _ int) {
	seal(w, r)
	_, _ = io.WriteString(w, "good")
}

func failing(w http.ResponseWriter, r *http.Request, _ int) {
	seal(w, r)
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "failed")
}

func full(w http.ResponseWriter, r *http.Request, _ int) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func reset(w http.ResponseWriter, _ *http.Request, _ int) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// raw writes a response on the bare connection and closes it.
func raw(format string) target {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		_, _ = fmt.Fprintf(conn, format, r.Header.Get("Id"))
		_ = conn.Close()
	}
}

func otherRequest(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Id", "another")
	w.Header().Set("Seal", "s")
	_, _ = io.WriteString(w, "not yours")
}

func unsealed(w http.ResponseWriter, r *http.Request, _ int) {
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "unsealed")
}

func hanging(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }

const truncated = "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 100\r\n\r\nshort"

// first serves the first arrival one way and later ones another way.
func first(then, later target) target {
	return func(w http.ResponseWriter, r *http.Request, arrival int) {
		if arrival == 1 {
			then(w, r, arrival)
			return
		}
		later(w, r, arrival)
	}
}

// events streams numbered events after the one that the caller resumes from, up
// to last. It aborts in the middle of event cut, or not at all if cut is zero.
func events(last, cut int) target {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		seal(w, r)
		from, _ := strconv.Atoi(r.Header.Get("Resume"))
		for i := from + 1; i <= last; i++ {
			if i == cut {
				_, _ = fmt.Fprintf(w, "id: %d\nda", i)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

type fixture struct {
	server   *httptest.Server
	handler  *proxy.Handler
	arrivals atomic.Int32
	mu       sync.Mutex
	headers  []http.Header
	bodies   []string
	ended    chan struct{}
	deadly   *deadly.Detector
	// crashed is true while targets refuse connections.
	crashed atomic.Bool
	nodes   int
	// addresses are those of the targets by ID.
	addresses map[string]string
}

func (w *fixture) Nodes() int { return w.nodes }

// end signals that a target has finished serving a request.
func (w *fixture) end() {
	select {
	case w.ended <- struct{}{}:
	default:
	}
}

// dial is how the handler finds out whether a target has crashed.
func (w *fixture) dial(context.Context, string, string) (net.Conn, error) {
	if w.crashed.Load() {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

type option func(*proxy.Options)

// unreadHeader makes a target answer before it has read the body of the request.
const unreadHeader = "Unread"

// newFixture starts a handler in front of targets of one service. A nil target is
// unreachable.
func newFixture(t testing.TB, targets []target, options ...option) *fixture {
	t.Helper()
	w := &fixture{ended: make(chan struct{}, 16), nodes: 1, addresses: map[string]string{}}
	list := map[string]roster.Target{}
	for i, serve := range targets {
		address := "127.0.0.1:1"
		if serve != nil {
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				defer w.end()
				var body []byte
				if r.Header.Get(unreadHeader) == "" {
					body, _ = io.ReadAll(r.Body)
				}
				w.mu.Lock()
				w.headers = append(w.headers, r.Header.Clone())
				w.bodies = append(w.bodies, string(body))
				w.mu.Unlock()
				serve(rw, r, int(w.arrivals.Add(1)))
			}))
			t.Cleanup(server.Close)
			address = server.Listener.Addr().String()
		}
		id := fmt.Sprint("t", i)
		w.addresses[id] = address
		list[id] = roster.Target{ID: id, Born: 1, Service: "app", Address: address, Slots: 8}
	}
	w.deadly = deadly.New(deadly.Options{
		Self: "a", Up: func() []string { return nil }, Dial: w.dial, Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
	})
	picker := pick.New(pick.Options{Seed: 1})
	p := testPlan(longTimeout, longTimeout/2)
	picker.SetPlan(p)
	picker.SetTargets(list)
	o := proxy.Options{
		Codec: codec{}, Plan: func() *plan.Plan { return p }, Picker: picker, Deadly: w.deadly, Lock: &sync.Mutex{}, Pool: pool.New(nil), Memory: budget.New(answerMemory),
		Fleet: w, RetryBound: quota.Bound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, DefaultTimeout: time.Second,
		OnVersion: func(string, string, uint64) {}, OnNeeds: func(roster.Target, time.Time, call.Needs) {}, OnSend: func(roster.Target, bool) {}, Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
	}
	for _, apply := range options {
		apply(&o)
	}
	w.handler = proxy.New(o)
	w.server = httptest.NewUnstartedServer(w.handler)
	w.server.Config.DisableGeneralOptionsHandler = true
	w.server.Start()
	t.Cleanup(w.server.Close)
	return w
}

// answerMemory bounds the memory of long answers.
const answerMemory = 2 << 20

// longTimeout is a timeout that no test reaches, even on a busy machine.
const longTimeout = 20 * time.Second

func testPlan(timeout, objective time.Duration) *plan.Plan {
	route := func(name string, kind plan.Kind, attempts int) plan.Route {
		return plan.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Splits: []plan.Split{{Service: "app", Weight: 1}},
			Timeout: timeout, Objective: objective, Attempts: attempts,
		}
	}
	lost := route("lost", plan.Repeatable, 1)
	lost.Splits[0].Service = "none"
	resumable := route("resume", plan.Stream, 2)
	resumable.Resumable = true
	open := route("open", plan.Repeatable, 1)
	open.Anonymous = true
	return plan.New(plan.Plan{Version: 1, HasWorkspaces: true, Services: map[string]plan.Service{"app": {Name: "app", MaxConns: 50}}},
		[]plan.Route{route("safe", plan.Repeatable, 2), route("once", plan.AtMostOnce, 1), route("stream", plan.Stream, 1), resumable, open, lost},
		map[string]plan.Workspace{"k": {Name: "members", Priority: -1}})
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (w *fixture) send(t *testing.T, path string) reply {
	t.Helper()
	return w.sendBody(t, path, "body")
}

// sendBody sends a request with a body and further headers, as names and values.
func (w *fixture) sendBody(t *testing.T, path, text string, header ...string) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.server.URL+path, strings.NewReader(text))
	require.NoError(t, err)
	request.Host = "a.example"
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "k")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		path     string
		targets  []target
		status   int
		body     string
		sealed   bool
		arrivals int
	}{
		"whole answer":                          {"/safe/x", []target{good}, 200, "good", true, 1},
		"repeatable, failed once":               {"/safe/x", []target{first(failing, good), first(failing, good)}, 200, "good", true, 2},
		"repeatable, every attempt failed":      {"/safe/x", []target{failing, failing, failing}, 500, "failed", true, 2},
		"repeatable, reset":                     {"/safe/x", []target{first(reset, good), first(reset, good)}, 200, "good", true, 2},
		"repeatable, truncated":                 {"/safe/x", []target{first(raw(truncated), good), first(raw(truncated), good)}, 200, "good", true, 2},
		"repeatable, garbled":                   {"/safe/x", []target{first(raw("%s?!\r\n\r\n"), good), first(raw("%s?!\r\n\r\n"), good)}, 200, "good", true, 2},
		"repeatable, answer to another request": {"/safe/x", []target{first(otherRequest, good), first(otherRequest, good)}, 200, "good", true, 2},
		"once, failed":                          {"/once/x", []target{failing, good}, 0, "", true, 1},
		"once, reset":                           {"/once/x", []target{reset, reset}, 502, "", false, 1},
		"once, truncated":                       {"/once/x", []target{raw(truncated), raw(truncated)}, 502, "", false, 1},
		"once, answer to another request":       {"/once/x", []target{otherRequest, otherRequest}, 502, "", false, 1},
		"once, unsealed":                        {"/once/x", []target{unsealed, unsealed}, 502, "", false, 1},
		"once, refused by a full target":        {"/once/x", []target{first(full, good), first(full, good)}, 200, "good", true, 2},
		"once, one target unreachable":          {"/once/x", []target{nil, good}, 200, "good", true, 1},
		"all refuse":                            {"/once/x", []target{full, full}, 503, "", false, 2},
		"none reachable":                        {"/once/x", []target{nil, nil}, 503, "", false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, test.targets)
			got := w.send(t, test.path)
			require.NoError(t, got.err)
			if test.status != 0 {
				assert.Equal(t, test.status, got.status)
			}
			if test.body != "" {
				assert.Equal(t, test.body, got.body)
			}
			assert.Equal(t, test.sealed, got.header.Get("Seal") != "")
			assert.Equal(t, test.arrivals, int(w.arrivals.Load()))
			if got.status == http.StatusServiceUnavailable {
				assert.NotEmpty(t, got.header.Get("Retry-After"), "a refusal says when to retry")
			}
		})
	}
}

func TestStreams(t *testing.T) {
	whole := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"
	tests := map[string]struct {
		path     string
		target   target
		want     string
		complete bool
		arrivals int
	}{
		"whole":                             {"/stream/x", events(4, 0), whole, true, 1},
		"resumed in the middle of an event": {"/resume/x", first(events(4, 3), events(4, 0)), whole, true, 2},
		"resumed before the first event":    {"/resume/x", first(events(4, 1), events(4, 0)), whole, true, 2},
		"broken on every attempt":           {"/resume/x", first(events(4, 2), events(4, 3)), whole[:30], false, 2},
		"not resumable":                     {"/stream/x", events(4, 3), whole[:30], false, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, []target{test.target, test.target})
			got := w.send(t, test.path)
			assert.Equal(t, test.want, got.body)
			assert.Equal(t, "s", got.header.Get("Seal"), "the headers are the first target's")
			assert.Equal(t, test.complete, got.err == nil, "%v", got.err)
			assert.Equal(t, test.arrivals, int(w.arrivals.Load()))
		})
	}
}

// TestLateCopyOfARefusalAnswersNobody has a target refuse a request without naming it,
// and send a copy of the refusal on the same connection after it has begun to run the
// next request, which must not run twice.
func TestLateCopyOfARefusalAnswersNobody(t *testing.T) {
	const refused = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var runs atomic.Int32
	refuseTwice := func(w http.ResponseWriter, _ *http.Request, _ int) {
		conn, reader, _ := w.(http.Hijacker).Hijack()
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, refused)
		next, err := http.ReadRequest(reader.Reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, next.Body)
		runs.Add(1)
		_, _ = io.WriteString(conn, refused)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 4\r\n\r\ngood", next.Header.Get("Id"))
	}
	run := func(w http.ResponseWriter, r *http.Request, arrival int) {
		runs.Add(1)
		good(w, r, arrival)
	}
	w := newFixture(t, []target{first(refuseTwice, run)})
	require.Equal(t, http.StatusServiceUnavailable, w.send(t, "/once/x").status)
	var got reply
	require.Eventually(t, func() bool {
		got = w.send(t, "/once/x")
		return got.status != http.StatusServiceUnavailable || runs.Load() > 0
	}, longTimeout, 50*time.Millisecond, "the target is full for a moment")
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, "good", got.body)
	assert.EqualValues(t, 1, runs.Load())
}

// TestBytesWithoutEnd has a target send bytes that are no answer, or no end of one,
// until its connection is closed. Each must end soon with a truthful outcome, and the
// connection with it.
func TestBytesWithoutEnd(t *testing.T) {
	chunk := strings.Repeat("0123456789abcde\n", 1<<10)
	const sealed = "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n"
	tests := map[string]struct {
		path, start, chunk string
		status             int
	}{
		"no answer at all":                 {"/once/x", "", chunk, 502},
		"a line without end":               {"/once/x", "", strings.Repeat("x", 1<<14), 502},
		"a head without end":               {"/once/x", sealed, "A: " + strings.Repeat("x", 1000) + "\r\n", 502},
		"interim answers":                  {"/once/x", "", "HTTP/1.1 100 Continue\r\n\r\n", 502},
		"a body without length":            {"/once/x", sealed + "\r\n", chunk, 502},
		"a body in chunks":                 {"/once/x", sealed + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + chunk + "\r\n", 502},
		"a failure's body":                 {"/once/x", "HTTP/1.1 500 Error\r\nId: %s\r\nSeal: s\r\n\r\n", chunk, 502},
		"an event":                         {"/stream/x", sealed + "\r\n", "data: " + chunk, 502},
		"blank lines in place of events":   {"/stream/x", sealed + "\r\n", strings.Repeat("\n", 1<<14), 502},
		"comments in place of an event":    {"/stream/x", sealed + "\r\n", strings.Repeat(": x\n", 1<<12), 502},
		"idempotent, at both of its tries": {"/safe/x", sealed + "\r\n", chunk, 502},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan error, 8)
			flood := func(w http.ResponseWriter, r *http.Request, _ int) {
				conn, _, _ := w.(http.Hijacker).Hijack()
				defer func() { _ = conn.Close() }()
				_, err := io.WriteString(conn, strings.ReplaceAll(test.start, "%s", r.Header.Get("Id")))
				for err == nil {
					_, err = io.WriteString(conn, test.chunk)
				}
				closed <- err
			}
			w := newFixture(t, []target{flood, flood})
			began := time.Now()
			got := w.send(t, test.path)
			require.NoError(t, got.err)
			assert.Equal(t, test.status, got.status)
			assert.Contains(t, got.body, `"ran":"unknown"`)
			for range w.arrivals.Load() {
				assert.Error(t, <-closed)
			}
			assert.Less(t, time.Since(began), longTimeout/2)
		})
	}
}

// TestSlowStreamsAreNotCut makes an engine pause for longer than the objective before
// the first event and between events, which is late but sound: the stream must be
// neither cut nor started again elsewhere.
func TestSlowStreamsAreNotCut(t *testing.T) {
	const objective, pause, count = 500 * time.Millisecond, 700 * time.Millisecond, 3
	slow := func(w http.ResponseWriter, r *http.Request, _ int) {
		seal(w, r)
		for i := range count {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
		}
	}
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, []target{slow, slow}, func(o *proxy.Options) {
				p := testPlan(longTimeout, objective)
				o.Plan = func() *plan.Plan { return p }
			})
			got := w.send(t, path)
			require.NoError(t, got.err)
			assert.Equal(t, count, strings.Count(got.body, "id: "))
			assert.EqualValues(t, 1, w.arrivals.Load())
		})
	}
}

// vietnamese has letters with tone marks, both composed and decomposed.
const vietnamese = "Khắc tên: Nguyễn Thị Thìa, “trăm năm hạnh phúc” – Kha\u0306\u0301c te\u0302n, Hội An"

// writeBytes sends each byte of a text by itself.
func writeBytes(w http.ResponseWriter, text string) {
	for i := range len(text) {
		_, _ = io.WriteString(w, text[i:i+1])
		_ = http.NewResponseController(w).Flush()
	}
}

// TestTextIsUnchanged sends Vietnamese text in requests, answers, streams and errors.
// Targets send it byte by byte, and break off within a letter.
func TestTextIsUnchanged(t *testing.T) {
	const stream = "id: 1\ndata: " + vietnamese + "\n\nid: 2\ndata: " + vietnamese + "\n\n"
	within := strings.LastIndex(stream, "ạ") + 1
	events := func(w http.ResponseWriter, r *http.Request, _ int) {
		seal(w, r)
		text := stream
		if r.Header.Get("Resume") == "1" {
			text = stream[len(stream)/2:]
		}
		writeBytes(w, text)
	}
	cut := func(w http.ResponseWriter, r *http.Request, _ int) {
		seal(w, r)
		writeBytes(w, stream[:within])
		panic(http.ErrAbortHandler)
	}
	answer := func(status int) target {
		return func(w http.ResponseWriter, r *http.Request, _ int) {
			seal(w, r)
			w.WriteHeader(status)
			writeBytes(w, vietnamese)
		}
	}
	tests := map[string]struct {
		path   string
		target target
		status int
		want   string
	}{
		"answer":                         {"/safe/x", answer(200), 200, vietnamese},
		"stream":                         {"/stream/x", events, 200, stream},
		"stream resumed within a letter": {"/resume/x", first(cut, events), 200, stream},
		"refusal by the target":          {"/once/x", answer(400), 400, vietnamese},
		"failure of the target":          {"/once/x", answer(500), 500, vietnamese},
		"failure instead of a stream":    {"/stream/x", answer(500), 500, vietnamese},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, []target{test.target, test.target})
			got := w.sendBody(t, test.path, vietnamese)
			require.NoError(t, got.err)
			assert.Equal(t, test.status, got.status)
			assert.Equal(t, test.want, got.body)
			for _, body := range w.bodies {
				assert.Equal(t, vietnamese, body)
			}
		})
	}
}

func TestAuthenticationAndRouting(t *testing.T) {
	w := newFixture(t, []target{good})
	tests := map[string]struct {
		path, key, host string
		status          int
		code            string
	}{
		"known key":       {"/safe/x", "k", "a.example", 200, ""},
		"unknown key":     {"/safe/x", "q", "a.example", 401, "unknownKey"},
		"no key":          {"/safe/x", "", "a.example", 401, "unknownKey"},
		"anonymous route": {"/open/x", "", "a.example", 200, ""},
		"unknown path":    {"/none/x", "k", "a.example", 404, "noRoute"},
		"unknown host":    {"/safe/x", "k", "b.example", 404, "noRoute"},
		"unknown service": {"/lost/x", "k", "a.example", 503, "noService"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodGet, w.server.URL+test.path, nil)
			request.RequestURI, request.Host = "", test.host
			request.Header.Set("Id", "r")
			if test.key != "" {
				request.Header.Set("Key", test.key)
			}
			response, err := http.DefaultTransport.RoundTrip(request)
			require.NoError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, test.status, response.StatusCode)
			assert.Equal(t, test.code, response.Header.Get(fault.CodeHeader))
		})
	}
	for _, header := range w.headers {
		assert.Empty(t, header.Get("Key"), "no target gets a key")
		assert.NotEmpty(t, header.Get("Instance"), "each request names the target instance")
	}
}

func TestNoConfigurationYet(t *testing.T) {
	w := newFixture(t, []target{good}, func(o *proxy.Options) { o.Plan = func() *plan.Plan { return nil } })
	got := w.send(t, "/safe/x")
	assert.Equal(t, 503, got.status)
	assert.Equal(t, "noConfiguration", got.header.Get(fault.CodeHeader))
}

// A request that the node refuses itself must reach no target and get the code
// of its reason.
func TestRefusedWithoutATarget(t *testing.T) {
	broken := func(*fixture) *http.Request {
		r := httptest.NewRequest(http.MethodPost, "/safe/x", iotest.ErrReader(io.ErrUnexpectedEOF))
		return r
	}
	tests := map[string]struct {
		targets []target
		request func(w *fixture) *http.Request
		change  option
		code    string
	}{
		"body broken off": {[]target{good}, broken, nil, "bodyBroken"},
		"host stops":      {[]target{good}, nil, func(o *proxy.Options) { o.Stopping = func() bool { return true } }, "stopping"},
		"no time left": {[]target{good}, nil, func(o *proxy.Options) {
			p := plan.New(plan.Plan{Version: 1, Services: map[string]plan.Service{"app": {Name: "app"}}},
				[]plan.Route{{Host: "a.example", Prefix: "/", Splits: []plan.Split{{Service: "app", Weight: 1}}, Timeout: 5 * time.Millisecond, Objective: time.Second}}, nil)
			o.Plan = func() *plan.Plan { return p }
			o.Picker.SetDraining(map[string]bool{"t0": true})
		}, "tooLate"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var options []option
			if test.change != nil {
				options = append(options, test.change)
			}
			w := newFixture(t, test.targets, options...)
			r := httptest.NewRequest(http.MethodPost, "/safe/x", nil)
			if test.request != nil {
				r = test.request(w)
			}
			r.Host = "a.example"
			r.Header.Set("Id", "r")
			r.Header.Set("Key", "k")
			// Virtual time, because a few milliseconds decide which error is
			// returned.
			synctest.Test(t, func(t *testing.T) {
				recorder := httptest.NewRecorder()
				w.server.Config.Handler.ServeHTTP(recorder, r)
				assert.Equal(t, test.code, recorder.Header().Get(fault.CodeHeader))
			})
			assert.Zero(t, w.arrivals.Load())
		})
	}
}

func TestFinalAnswerByTheRoutesTimeout(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			p := testPlan(900*time.Millisecond, 300*time.Millisecond)
			w := newFixture(t, []target{hanging, hanging}, func(o *proxy.Options) { o.Plan = func() *plan.Plan { return p } })
			began := time.Now()
			got := w.send(t, path)
			require.NoError(t, got.err)
			assert.Contains(t, []int{502, 504}, got.status, "it may have run")
			assert.Less(t, time.Since(began), 1400*time.Millisecond)
		})
	}
}

// TestStalledStreamsEnd has a target that makes no progress send a byte now and then,
// as comments or within an event. The stream must end by the route's timeout, and the
// work at the target with it.
func TestStalledStreamsEnd(t *testing.T) {
	const timeout, drip = 900 * time.Millisecond, 20 * time.Millisecond
	for name, text := range map[string]string{"comments": ":\n\n", "within an event": "x", "blank lines": "\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dripping := func(w http.ResponseWriter, r *http.Request, _ int) {
				seal(w, r)
				_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
				for r.Context().Err() == nil {
					_, _ = io.WriteString(w, text)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(drip)
				}
			}
			w := newFixture(t, []target{dripping}, func(o *proxy.Options) {
				p := testPlan(timeout, timeout/3)
				o.Plan = func() *plan.Plan { return p }
			})
			began := time.Now()
			got := w.send(t, "/stream/x")
			assert.Error(t, got.err, "the stream must not look complete")
			assert.Less(t, time.Since(began), timeout+500*time.Millisecond)
			select {
			case <-w.ended:
			case <-time.After(longTimeout):
				assert.Fail(t, "the target was not cancelled")
			}
		})
	}
}

func TestTargetEndsWhenTheClientLeaves(t *testing.T) {
	lines := make(lineChannel, 100)
	w := newFixture(t, []target{hanging}, func(o *proxy.Options) {
		o.Logger = hclog.New(&hclog.LoggerOptions{Output: lines, JSONFormat: true})
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.server.URL+"/stream/x", strings.NewReader("body"))
	require.NoError(t, err)
	request.Host = "a.example"
	request.Header.Set("Key", "k")
	request.Header.Set("Id", "r")
	left := make(chan error, 1)
	go func(context.Context) {
		_, err := http.DefaultTransport.RoundTrip(request)
		left <- err
	}(ctx)
	require.Eventually(t, func() bool { return w.arrivals.Load() == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	require.Error(t, <-left)
	select {
	case <-w.ended:
	case <-time.After(500 * time.Millisecond):
		assert.Fail(t, "the target was not cancelled within 500 ms")
	}
	for {
		select {
		case line := <-lines:
			if strings.Contains(line, `"client left"`) && strings.Contains(line, `"request":"r"`) {
				return
			}
		case <-time.After(longTimeout):
			require.Fail(t, `no "client left" line was logged`)
		}
	}
}

// lineChannel is a log output that sends each line to a channel.
type lineChannel chan string

func (c lineChannel) Write(line []byte) (int, error) {
	c <- string(line)
	return len(line), nil
}

func TestRetriesKeepTheQuota(t *testing.T) {
	w := newFixture(t, []target{failing, failing}, func(o *proxy.Options) { o.RetryBound.Slack = 10 })
	for range 30 {
		w.send(t, "/safe/x")
	}
	assert.LessOrEqual(t, int(w.arrivals.Load()), 30+6+10)
	assert.Greater(t, int(w.arrivals.Load()), 32)
}

func TestPathReachesTheTargetUnchanged(t *testing.T) {
	var line atomic.Value
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	served := make(chan error, 1)
	go func(context.Context) {
		conn, err := listener.Accept()
		if err == nil {
			text, _ := bufio.NewReader(conn).ReadString('\n')
			line.Store(text)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n")
			_ = conn.Close()
		}
		served <- err
	}(t.Context())
	w := newFixture(t, nil, func(o *proxy.Options) {
		o.Picker.SetTargets(map[string]roster.Target{"t": {ID: "t", Service: "app", Address: listener.Addr().String(), Slots: 1}})
	})
	assert.Equal(t, 200, w.send(t, "/safe/a%2Fb//c/../d?q=%20&&x").status)
	require.NoError(t, <-served)
	assert.Equal(t, "POST /safe/a%2Fb//c/../d?q=%20&&x HTTP/1.1\r\n", line.Load())
}
