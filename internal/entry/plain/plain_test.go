package plain_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
	"github.com/cicadamill/cicadamill/internal/entry/plain"
	"github.com/cicadamill/cicadamill/internal/node/commit"
	"github.com/cicadamill/cicadamill/internal/node/once"
	"github.com/cicadamill/cicadamill/internal/safety/batch"
	"github.com/cicadamill/cicadamill/internal/standin/objs"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
)

// target is a back end that counts the requests that it receives.
type target struct {
	address string
	seen    atomic.Int32
	last    atomic.Pointer[http.Request]
}

func newTarget(t *testing.T, answer http.HandlerFunc) *target {
	target := &target{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target.seen.Add(1)
		target.last.Store(r.Clone(context.Background()))
		answer(w, r)
	}))
	t.Cleanup(server.Close)
	target.address = server.Listener.Addr().String()
	return target
}

// unreachable is an address to which no connection can be made. The port of a
// closed listener would not do, since another listener may take it.
const unreachable = "127.0.0.1:0"

// hangUp drops the connection after reading the request.
func hangUp(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func truncatedResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "10")
	_, _ = w.Write([]byte("half"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func invalidResponse(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = c.Write([]byte("SMTP ready\r\n\r\n"))
		_ = c.Close()
	}
}

func notRunResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "true")
	w.Header().Set("Retry-After", "7")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Cicadamill-Repeated", "forged")
	w.Header().Set("X-Own", "kept")
	_, _ = io.Copy(w, r.Body)
}

// serve runs the handler with a ledger and returns its URL and metrics.
func serve(t *testing.T, leaving func(string) bool, addresses ...string) (string, tally.TestScope) {
	return serveWith(t, plain.Options{Leaving: leaving}, addresses...)
}

func serveWith(t *testing.T, options plain.Options, addresses ...string) (string, tally.TestScope) {
	config := site.Config{
		Workspaces: []site.Workspace{{Name: "w", KeyHashes: []string{auth.Hash("key")}, Services: []string{"s"}}, {Name: "v", KeyHashes: []string{auth.Hash("other")}, Services: []string{"s"}}, {Name: "none", KeyHashes: []string{auth.Hash("third")}}},
		Services:   []site.Service{{Name: "s", TimeoutMillis: 60_000, Calls: []site.Call{{Method: "PUT", Path: "/status/{id}", Idempotent: true}, {Method: "GET", Path: "/pay", Idempotent: false}, {Method: "POST", Path: "[bad", Idempotent: true}}}},
	}
	for _, address := range addresses {
		config.Services[0].Targets = append(config.Services[0].Targets, site.Target{Name: address, Address: address})
	}
	ctx, cancel := context.WithCancel(context.Background())
	scope := tally.NewTestScope("", nil)
	store := tables.New()
	writer := commit.New(store, batch.Options{MaxWrites: 64, MaxQueue: 64, MaxInFlight: 2}, scope)
	runner := once.New(writer, store, objs.New(), once.DefaultLimits, scope)
	ended := make(chan error, 2)
	below, stop := context.WithCancel(context.Background())
	go func(ctx context.Context) { ended <- runner.Serve(ctx) }(ctx)
	go func(ctx context.Context) { ended <- writer.Serve(ctx) }(below)
	options.Node, options.Config, options.Ledger, options.Scope = "n", func() site.Config { return config }, runner, scope
	handler := plain.New(options)
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-ended
		stop()
		<-ended
	})
	return server.URL + plain.Prefix, scope
}

func send(t *testing.T, method, address, key string, body io.Reader, headers ...string) (*http.Response, string) {
	request, err := http.NewRequest(method, address, body)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return response, "cut"
	}
	return response, string(answer)
}

func TestTargetFaults(t *testing.T) {
	down := func(*testing.T) string { return unreachable }
	at := func(handler http.HandlerFunc) func(*testing.T) string {
		return func(t *testing.T) string { return newTarget(t, handler).address }
	}
	tests := map[string]struct {
		first       func(*testing.T) string
		method      string
		path        string
		want        string // part of the response
		repeat      string // part of the response to the same call sent again
		secondHits  int32  // requests received by another, healthy target
		wantCounter string
	}{
		"once: unreachable is retried":              {first: down, method: "POST", path: "pay", want: "body", repeat: "body", secondHits: 1, wantCounter: "targetUnreachable notRun"},
		"once: dropped connection is unknown":       {first: at(hangUp), method: "POST", path: "pay", want: `"ran":"unknown"`, repeat: "outcomeUnknown", wantCounter: "targetBroken unknown"},
		"once: truncated response is unknown":       {first: at(truncatedResponse), method: "POST", path: "pay", want: "answerCut", repeat: "outcomeUnknown", wantCounter: "answerCut unknown"},
		"once: invalid response is unknown":         {first: at(invalidResponse), method: "POST", path: "pay", want: "targetBroken", repeat: "outcomeUnknown", wantCounter: "targetBroken unknown"},
		"once: X-Not-Run is not run":                {first: at(notRunResponse), method: "POST", path: "pay", want: `"ran":"notRun"`, repeat: "body", secondHits: 1, wantCounter: "targetRefused notRun"},
		"idempotent: unreachable is retried":        {first: down, method: "PUT", path: "status/1", want: "body", secondHits: 1, wantCounter: "targetUnreachable notRun"},
		"idempotent: dropped connection is retried": {first: at(hangUp), method: "PUT", path: "status/1", want: "body", secondHits: 1, wantCounter: "targetBroken unknown"},
		"idempotent: invalid response is retried":   {first: at(invalidResponse), method: "PUT", path: "status/1", want: "body", secondHits: 1, wantCounter: "targetBroken unknown"},
		"idempotent: X-Not-Run is retried":          {first: at(notRunResponse), method: "PUT", path: "status/1", want: "body", secondHits: 1, wantCounter: "targetRefused notRun"},
		"idempotent: truncated response is cut":     {first: at(truncatedResponse), method: "PUT", path: "status/1", want: "cut"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			second := newTarget(t, echo)
			// The ranking starts with the second target of the list.
			address, scope := serve(t, nil, second.address, test.first(t))
			_, answer := send(t, test.method, address+"s/"+test.path, "key", strings.NewReader("body"), plain.IdempotencyKeyHeader, "k")
			assert.Contains(t, answer, test.want)
			if test.repeat != "" {
				_, answer = send(t, test.method, address+"s/"+test.path, "key", strings.NewReader("body"), plain.IdempotencyKeyHeader, "k")
				assert.Contains(t, answer, test.repeat)
			}
			assert.Equal(t, test.secondHits, second.seen.Load())
			if test.wantCounter != "" {
				assert.Contains(t, counters(scope), test.wantCounter)
			}
		})
	}
}

func counters(scope tally.TestScope) []string {
	var all []string
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "target_failures" {
			all = append(all, c.Tags()["code"]+" "+c.Tags()["ran"])
		}
	}
	return all
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		method, path, key string
		headers           []string
		want              string
		status            int
	}{
		"unknown key":                    {method: "GET", path: "s/x", key: "wrong", want: "unauthorized", status: 401},
		"service of another workspace":   {method: "GET", path: "s/x", key: "third", want: "unknownService", status: 404},
		"unknown service":                {method: "GET", path: "t/x", key: "key", want: "unknownService", status: 404},
		"no idempotency key":             {method: "POST", path: "s/pay", key: "key", want: "keyRequired", status: 400},
		"no key on a GET with an effect": {method: "GET", path: "s/pay", key: "key", want: "keyRequired", status: 400},
		"bad pattern is not idempotent":  {method: "POST", path: "s/bad", key: "key", want: "keyRequired", status: 400},
		"deeper path is not idempotent":  {method: "PUT", path: "s/status/1/pay", key: "key", want: "keyRequired", status: 400},
		"relative path":                  {method: "PUT", path: "s/status/%2e%2e", key: "key", want: "badPath", status: 400},
		"long idempotency key":           {method: "POST", path: "s/pay", key: "key", headers: []string{plain.IdempotencyKeyHeader, strings.Repeat("k", 300)}, want: "keyTooLong", status: 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			target := newTarget(t, echo)
			address, _ := serve(t, nil, target.address)
			response, answer := send(t, test.method, address+test.path, test.key, nil, test.headers...)
			assert.Equal(t, test.status, response.StatusCode)
			assert.Contains(t, answer, test.want)
			assert.Contains(t, answer, `"ran":"notRun"`)
			assert.Zero(t, target.seen.Load())
		})
	}
}

func TestServiceWithoutTargetsRunsNothing(t *testing.T) {
	target := newTarget(t, echo)
	address, _ := serve(t, func(string) bool { return true }, target.address)
	for _, path := range []string{"s/pay", "s/status/1"} {
		method := map[string]string{"s/pay": "POST", "s/status/1": "PUT"}[path]
		response, answer := send(t, method, address+path, "key", strings.NewReader("body"), plain.IdempotencyKeyHeader, path)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.Contains(t, answer, `"code":"noTarget"`)
		assert.Contains(t, answer, `"ran":"notRun"`)
	}
	assert.Zero(t, target.seen.Load())
}

func TestResponseTooLargeToStoreIsUnknown(t *testing.T) {
	target := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 2<<20))
	})
	address, _ := serve(t, nil, target.address)
	response, answer := send(t, "POST", address+"s/pay", "key", strings.NewReader("body"), plain.IdempotencyKeyHeader, "k")
	assert.Equal(t, http.StatusBadGateway, response.StatusCode)
	assert.Contains(t, answer, `"code":"answerTooLarge"`)
	assert.Contains(t, answer, `"ran":"unknown"`)
	assert.EqualValues(t, 1, target.seen.Load())
}

func TestHeaders(t *testing.T) {
	target := newTarget(t, echo)
	address, _ := serve(t, nil, target.address)
	response, _ := send(t, "POST", address+"s/pay?a=b", "key", strings.NewReader("body"), plain.IdempotencyKeyHeader, "k",
		"X-Cicadamill-Workspace", "forged", "X-Workspace", "forged", "Connection", "X-Gone", "X-Gone", "1", "X-Forwarded-For", "1.2.3.4", "X-Stays", "1")
	seen := target.last.Load()
	assert.Equal(t, "/pay?a=b", seen.RequestURI)
	assert.Equal(t, []string{"w"}, seen.Header["X-Cicadamill-Workspace"])
	assert.Equal(t, "k", seen.Header.Get(plain.IdempotencyKeyHeader))
	assert.Equal(t, "127.0.0.1", seen.Header.Get("X-Forwarded-For"))
	assert.Equal(t, "1", seen.Header.Get("X-Stays"))
	for _, name := range []string{"Authorization", "X-Gone", "X-Workspace"} {
		assert.Empty(t, seen.Header.Values(name), name)
	}
	assert.Empty(t, response.Header.Get("X-Cicadamill-Repeated"))
	assert.Equal(t, "kept", response.Header.Get("X-Own"))
}

func TestWorkspacesDoNotShareKeys(t *testing.T) {
	target := newTarget(t, echo)
	address, _ := serve(t, nil, target.address)
	for _, key := range []string{"key", "other", "key"} {
		_, answer := send(t, "POST", address+"s/pay", key, strings.NewReader(key), plain.IdempotencyKeyHeader, "k")
		assert.Equal(t, key, answer)
	}
	assert.EqualValues(t, 2, target.seen.Load())
}

// TestLeavingIsCheckedAtDispatch marks a target as leaving after it was chosen.
// The check right before the first byte is sent must find it.
func TestLeavingIsCheckedAtDispatch(t *testing.T) {
	tests := map[string]struct {
		path              string
		checksAtSelection int32
	}{
		"once":       {path: "s/pay", checksAtSelection: 2},
		"idempotent": {path: "s/status/1", checksAtSelection: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			stays, leaves := newTarget(t, echo), newTarget(t, echo)
			var checks atomic.Int32
			leaving := func(name string) bool { return name == leaves.address && checks.Add(1) > test.checksAtSelection }
			address, _ := serve(t, leaving, stays.address, leaves.address)
			_, answer := send(t, "PUT", address+test.path, "key", strings.NewReader("body"), plain.IdempotencyKeyHeader, "k")
			assert.Equal(t, "body", answer)
			assert.Equal(t, test.checksAtSelection+1, checks.Load())
			assert.Zero(t, leaves.seen.Load())
			assert.EqualValues(t, 1, stays.seen.Load())
		})
	}
}

// TestSuspendedOwnerDoesNotDispatch makes the clock that counts suspensions pass the
// hold time between the reservation of a call and its first byte. The monotonic clock
// doesn't show that, nor does the time of day if it was set back.
func TestSuspendedOwnerDoesNotDispatch(t *testing.T) {
	target := newTarget(t, echo)
	suspended := func() time.Time { return time.Now().Add(time.Minute) }
	address, _ := serveWith(t, plain.Options{Now: suspended}, target.address)
	response, answer := send(t, "POST", address+"s/pay", "key", strings.NewReader("body"), plain.IdempotencyKeyHeader, "k")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, answer, `"ran":"notRun"`)
	assert.Zero(t, target.seen.Load())
}

// TestBodiesFlowBothWays sends the second line of the body only after the
// response to the first line has arrived.
func TestBodiesFlowBothWays(t *testing.T) {
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		lines := bufio.NewScanner(r.Body)
		for lines.Scan() {
			_, _ = io.WriteString(w, "re: "+lines.Text()+"\n")
			_ = control.Flush()
		}
	})
	address, _ := serve(t, nil, target.address)
	reader, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPut, address+"s/status/1", reader)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer key")
	go func(context.Context) { _, _ = io.WriteString(writer, "one\n") }(t.Context())
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	answers := bufio.NewReader(response.Body)
	line, err := answers.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "re: one\n", line)
	_, err = io.WriteString(writer, "two\n")
	require.NoError(t, err)
	line, err = answers.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "re: two\n", line)
	require.NoError(t, writer.Close())
}
