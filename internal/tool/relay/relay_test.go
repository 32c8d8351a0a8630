package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
	"github.com/cicadamill/cicadamill/internal/node/server"
)

const (
	streams         = 50
	eventsPerSecond = 15_000
	eventsPerStream = 600
	pairs           = 5
	openStreams     = 400
	firstRounds     = 10
	firstRequests   = 100
	maxMicros       = 60_000_000
	roleVariable    = "CICADAMILL_RELAY_ROLE"
	backendVariable = "CICADAMILL_RELAY_BACKEND"
	peerVariable    = "CICADAMILL_RELAY_PEER"
)

// TestMain plays one of the processes of the benchmark when it is told to, so
// that the processor time of the part in the middle can be told apart.
func TestMain(m *testing.M) {
	role, backend := os.Getenv(roleVariable), os.Getenv(backendVariable)
	switch role {
	case "":
		os.Exit(m.Run())
	case "engine":
		serve(http.HandlerFunc(emit))
	case "proxy":
		target, _ := url.Parse("http://" + backend)
		proxy := &httputil.ReverseProxy{
			Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(target) },
			FlushInterval: -1,
			Transport:     &http.Transport{MaxIdleConnsPerHost: 64},
		}
		serve(usage(whole(proxy)))
	case "router":
		serveRouter(backend)
	}
}

// emit sends events at the pace that gives the wanted total rate.
func emit(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/chat/completions" {
		http.NotFound(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	count := eventsPerStream
	if bytes.Contains(body, []byte(`"max_tokens":1`)) {
		count = 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Engine", "e")
	w.Header().Set("X-Incarnation", "e-1")
	w.Header().Set("X-Weight-Version", "1")
	control := http.NewResponseController(w)
	_ = control.Flush()
	begun := time.Now()
	gap := time.Second * streams / eventsPerSecond
	for i := range count {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * gap)))
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"p\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word\"},\"finish_reason\":null}]}\n\n", i)
		_ = control.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// whole reads a request's body before it is proxied. The server closes a body
// when the answer begins, which cuts proxied streams now and then on a busy
// machine.
func whole(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// usage adds an endpoint that tells what the process has used so far.
func usage(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/usage" {
			next.ServeHTTP(w, r)
			return
		}
		var used syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
		if r.URL.Query().Has("gc") {
			runtime.GC()
		}
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		cpu := time.Duration(used.Utime.Nano() + used.Stime.Nano())
		_, _ = fmt.Fprintln(w, cpu.Nanoseconds(), memory.Mallocs, memory.HeapInuse+memory.StackInuse)
	})
}

func serve(handler http.Handler) {
	server := httptest.NewServer(handler)
	fmt.Println(server.Listener.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
	server.Close()
}

const config = `{
  "site": "bench", "regions": [{"name": "r", "dataCentres": ["d"]}], "weights": {"tailTtft": 1, "recomputation": 1},
  "models": [{"name": "m", "weightVersion": "1", "blockTokens": 2000}],
  "engines": [{"name": "e", "address": %q, "dataCentre": "d", "model": "m", "cacheBlocks": 64}],
  "applications": [{"name": "p", "model": "m", "engines": ["e"]}],
  "workspaces": [{"name": "w", "keyHashes": [%q], "applications": ["p"]}]
}`

// serveRouter runs a whole node as it is deployed, and beside it the endpoint
// that tells its use.
func serveRouter(backend string) {
	ctx, cancel := context.WithCancel(context.Background())
	settings := local.Settings{
		Name: "n", DataCentre: "d", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		Bootstrap: fmt.Appendf(nil, config, backend, auth.Hash("key")),
	}
	if peer := os.Getenv(peerVariable); peer != "" {
		settings.Name, settings.Peers = "m", []string{peer}
	}
	node := server.New(settings, hclog.NewNullLogger())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- node.Serve(ctx) }(ctx)
	side := httptest.NewServer(usage(http.NotFoundHandler()))
	addresses := <-node.Ready()
	fmt.Println(addresses.Caller, side.Listener.Addr(), addresses.Peer)
	_, _ = io.Copy(io.Discard, os.Stdin)
	cancel()
	<-ended
}

// process is a part of the benchmark in a process of its own.
type process struct {
	address, side, peer string
}

func launch(b *testing.B, role, backend string, more ...string) process {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), roleVariable+"="+role, backendVariable+"="+backend)
	command.Env = append(command.Env, more...)
	command.Stderr = os.Stderr
	in, err := command.StdinPipe()
	require.NoError(b, err)
	out, err := command.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, command.Start())
	b.Cleanup(func() {
		_ = in.Close()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(b, err)
	fields := strings.Fields(line)
	p := process{address: fields[0], side: fields[0]}
	if len(fields) > 1 {
		p.side, p.peer = fields[1], fields[2]
	}
	return p
}

// used is what a process has used.
type used struct {
	cpu    time.Duration
	allocs int64
	memory int64
}

func (p process) used(b *testing.B, query string) used {
	b.Helper()
	response, err := http.Get("http://" + p.side + "/usage" + query)
	require.NoError(b, err)
	defer func() { _ = response.Body.Close() }()
	var u used
	_, err = fmt.Fscan(response.Body, &u.cpu, &u.allocs, &u.memory)
	require.NoError(b, err)
	return u
}

const (
	ask    = `{"model":"p","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	askOne = `{"model":"p","max_tokens":1,"stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

// read takes whole streams through a process and returns the number of events.
func read(b *testing.B, p process, clients, rounds int, first func(time.Duration)) int64 {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	var events, failures atomic.Int64
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for range rounds {
				n, ok := readOne(client, p.address, first)
				events.Add(n)
				if !ok {
					failures.Add(1)
				}
			}
		})
	}
	group.Wait()
	require.Zero(b, failures.Load(), "a stream was not whole")
	return events.Load()
}

func readOne(client *http.Client, address string, first func(time.Duration)) (int64, bool) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(ask))
	request.Header.Set("Authorization", "Bearer key")
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	events := int64(0)
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if !bytes.HasPrefix(scanner.Bytes(), []byte("data: ")) {
			continue
		}
		if events == 0 && first != nil {
			first(time.Since(begun))
		}
		events++
	}
	return events, events == eventsPerStream+1
}

// measure returns what a process uses for each event of a round.
func (p process) measure(b *testing.B) (cpu, allocs float64) {
	b.Helper()
	before := p.used(b, "")
	events := float64(read(b, p, streams, 1, nil))
	after := p.used(b, "")
	return float64((after.cpu - before.cpu).Nanoseconds()) / 1000 / events, float64(after.allocs-before.allocs) / events
}

// BenchmarkRelay compares events relayed per second of processor time. Rounds
// of both alternate, because the machine has other work; the ratio is the
// median over the pairs.
func BenchmarkRelay(b *testing.B) {
	engine := launch(b, "engine", "")
	proxy := launch(b, "proxy", engine.address)
	router := launch(b, "router", engine.address)
	proxy.measure(b)
	router.measure(b)
	var ratios, proxied, routed, allocs []float64
	for b.Loop() {
		for range pairs {
			yardstick, _ := proxy.measure(b)
			cpu, count := router.measure(b)
			ratios = append(ratios, yardstick/cpu)
			proxied, routed, allocs = append(proxied, yardstick), append(routed, cpu), append(allocs, count)
		}
	}
	b.ReportMetric(median(proxied), "proxy-µs-cpu/event")
	b.ReportMetric(median(routed), "router-µs-cpu/event")
	b.ReportMetric(median(allocs), "router-allocs/event")
	b.ReportMetric(median(ratios), "router/proxy")
	b.ReportMetric(slices.Min(ratios), "router/proxy-least")
}

// BenchmarkHop tells what an event costs two nodes together when it enters at
// the home of its cell, and when it enters at the other node.
func BenchmarkHop(b *testing.B) {
	engine := launch(b, "engine", "")
	one := launch(b, "router", engine.address)
	two := launch(b, "router", engine.address, peerVariable+"="+one.peer)
	both := func(entry process) float64 {
		before := one.used(b, "").cpu + two.used(b, "").cpu
		events := float64(read(b, entry, streams, 1, nil))
		after := one.used(b, "").cpu + two.used(b, "").cpu
		return float64((after - before).Nanoseconds()) / 1000 / events
	}
	both(one)
	both(two)
	var entered [2][]float64
	for b.Loop() {
		for range pairs {
			entered[0] = append(entered[0], both(one))
			entered[1] = append(entered[1], both(two))
		}
	}
	costs := []float64{median(entered[0]), median(entered[1])}
	b.ReportMetric(slices.Min(costs), "at-home-µs-cpu/event")
	b.ReportMetric(slices.Max(costs), "one-hop-µs-cpu/event")
}

// BenchmarkFirst compares the time to first event on an idle node with that of
// the engine alone.
func BenchmarkFirst(b *testing.B) {
	engine := launch(b, "engine", "")
	router := launch(b, "router", engine.address)
	direct, routed := hdrhistogram.New(1, maxMicros, 3), hdrhistogram.New(1, maxMicros, 3)
	for b.Loop() {
		for range firstRounds {
			firsts(b, engine, direct)
			firsts(b, router, routed)
		}
	}
	for _, q := range []float64{50, 99} {
		b.ReportMetric(float64(direct.ValueAtQuantile(q)), fmt.Sprintf("direct-p%.0f-µs", q))
		b.ReportMetric(float64(routed.ValueAtQuantile(q)), fmt.Sprintf("router-p%.0f-µs", q))
		b.ReportMetric(float64(routed.ValueAtQuantile(q)-direct.ValueAtQuantile(q)), fmt.Sprintf("added-p%.0f-µs", q))
	}
}

// firsts asks for single events one after another.
func firsts(b *testing.B, p process, into *hdrhistogram.Histogram) {
	b.Helper()
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for range firstRequests {
		request, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/v1/chat/completions", strings.NewReader(askOne))
		require.NoError(b, err)
		request.Header.Set("Authorization", "Bearer key")
		begun := time.Now()
		response, err := client.Do(request)
		require.NoError(b, err)
		_, err = bufio.NewReader(response.Body).ReadString('\n')
		require.NoError(b, err)
		_ = into.RecordValue(time.Since(begun).Microseconds())
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// BenchmarkState tells what an open stream costs in memory.
func BenchmarkState(b *testing.B) {
	engine := launch(b, "engine", "")
	router := launch(b, "router", engine.address)
	read(b, router, streams, 1, nil)
	for b.Loop() {
		before := router.used(b, "?gc")
		var open sync.WaitGroup
		open.Add(openStreams)
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			read(b, router, openStreams, 1, func(time.Duration) { open.Done() })
		}()
		open.Wait()
		after := router.used(b, "?gc")
		<-finished
		b.ReportMetric(float64(after.memory-before.memory)/openStreams, "bytes/stream")
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
