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
	pairCount       = 5
	openStreams     = 400
	ttftRounds      = 10
	ttftRequests    = 100
	maxMicros       = 60_000_000
	roleVariable    = "CICADAMILL_RELAY_ROLE"
	backendVariable = "CICADAMILL_RELAY_BACKEND"
	peerVariable    = "CICADAMILL_RELAY_PEER"
)

// TestMain runs the engine, proxy or router of a benchmark if the environment
// names a role. Each runs in its own process, so that its CPU time can be measured
// separately.
func TestMain(m *testing.M) {
	role, backend := os.Getenv(roleVariable), os.Getenv(backendVariable)
	switch role {
	case "":
		os.Exit(m.Run())
	case "engine":
		serve(http.HandlerFunc(serveEvents))
	case "proxy":
		target, _ := url.Parse("http://" + backend)
		proxy := &httputil.ReverseProxy{
			Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(target) },
			FlushInterval: -1,
			Transport:     &http.Transport{MaxIdleConnsPerHost: 64},
		}
		serve(withUsage(bufferBody(proxy)))
	case "router":
		serveRouter(backend)
	}
}

// serveEvents streams events at a rate such that [streams] streams together have
// [eventsPerSecond].
func serveEvents(w http.ResponseWriter, r *http.Request) {
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
	start := time.Now()
	interval := time.Second * streams / eventsPerSecond
	for i := range count {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"p\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word\"},\"finish_reason\":null}]}\n\n", i)
		_ = control.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// bufferBody reads the request body before the request is proxied. The HTTP server
// closes the body when the response begins, which sometimes aborts a proxied stream
// on a busy machine.
func bufferBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// withUsage adds the endpoint /usage, which returns the CPU time in nanoseconds, the
// number of allocations and the memory in use of the process. The query "gc"
// collects garbage first.
func withUsage(next http.Handler) http.Handler {
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

// serveRouter runs a complete node and, on another listener, the endpoint /usage.
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
	usageServer := httptest.NewServer(withUsage(http.NotFoundHandler()))
	addresses := <-node.Ready()
	fmt.Println(addresses.Caller, usageServer.Listener.Addr(), addresses.Peer)
	_, _ = io.Copy(io.Discard, os.Stdin)
	cancel()
	<-ended
}

// process is the engine, proxy or router of a benchmark in its own process.
type process struct {
	address, usageAddress, peer string
}

func launch(b *testing.B, role, backend string, env ...string) process {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), roleVariable+"="+role, backendVariable+"="+backend)
	command.Env = append(command.Env, env...)
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
	p := process{address: fields[0], usageAddress: fields[0]}
	if len(fields) > 1 {
		p.usageAddress, p.peer = fields[1], fields[2]
	}
	return p
}

// resources is the resource usage of a process.
type resources struct {
	cpu    time.Duration
	allocs int64
	memory int64
}

func (p process) readResources(b *testing.B, query string) resources {
	b.Helper()
	response, err := http.Get("http://" + p.usageAddress + "/usage" + query)
	require.NoError(b, err)
	defer func() { _ = response.Body.Close() }()
	var u resources
	_, err = fmt.Fscan(response.Body, &u.cpu, &u.allocs, &u.memory)
	require.NoError(b, err)
	return u
}

const (
	streamRequest   = `{"model":"p","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	oneEventRequest = `{"model":"p","max_tokens":1,"stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

// readStreams has a number of clients read complete streams through a process, and
// returns the number of events. It calls first, if any, with the time to the first
// event of each stream.
func readStreams(b *testing.B, p process, clients, rounds int, first func(time.Duration)) int64 {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	var events, failures atomic.Int64
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for range rounds {
				n, ok := readStream(client, p.address, first)
				events.Add(n)
				if !ok {
					failures.Add(1)
				}
			}
		})
	}
	group.Wait()
	require.Zero(b, failures.Load(), "a stream was incomplete")
	return events.Load()
}

func readStream(client *http.Client, address string, first func(time.Duration)) (int64, bool) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(streamRequest))
	request.Header.Set("Authorization", "Bearer key")
	start := time.Now()
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
			first(time.Since(start))
		}
		events++
	}
	return events, events == eventsPerStream+1
}

// measure returns the CPU time in microseconds and the allocations of a process for
// each event of one round of streams.
func (p process) measure(b *testing.B) (cpu, allocs float64) {
	b.Helper()
	before := p.readResources(b, "")
	events := float64(readStreams(b, p, streams, 1, nil))
	after := p.readResources(b, "")
	return float64((after.cpu - before.cpu).Nanoseconds()) / 1000 / events, float64(after.allocs-before.allocs) / events
}

// BenchmarkRelay compares the events that the router and a reverse proxy relay per
// second of CPU time. Rounds of both alternate, so that other load on the machine
// affects both alike; the ratio is the median over the pairs of rounds.
func BenchmarkRelay(b *testing.B) {
	engine := launch(b, "engine", "")
	proxy := launch(b, "proxy", engine.address)
	router := launch(b, "router", engine.address)
	proxy.measure(b)
	router.measure(b)
	var ratios, proxied, routed, allocs []float64
	for b.Loop() {
		for range pairCount {
			proxyCPU, _ := proxy.measure(b)
			routerCPU, count := router.measure(b)
			ratios = append(ratios, proxyCPU/routerCPU)
			proxied, routed, allocs = append(proxied, proxyCPU), append(routed, routerCPU), append(allocs, count)
		}
	}
	b.ReportMetric(median(proxied), "proxy-µs-cpu/event")
	b.ReportMetric(median(routed), "router-µs-cpu/event")
	b.ReportMetric(median(allocs), "router-allocs/event")
	b.ReportMetric(median(ratios), "router/proxy")
	b.ReportMetric(slices.Min(ratios), "router/proxy-least")
}

// BenchmarkHop measures the CPU time of two nodes together for each event: of
// requests that arrive at the home node of their cell, and of requests that arrive
// at the other node and take one more hop.
func BenchmarkHop(b *testing.B) {
	engine := launch(b, "engine", "")
	one := launch(b, "router", engine.address)
	two := launch(b, "router", engine.address, peerVariable+"="+one.peer)
	costPerEvent := func(entry process) float64 {
		before := one.readResources(b, "").cpu + two.readResources(b, "").cpu
		events := float64(readStreams(b, entry, streams, 1, nil))
		after := one.readResources(b, "").cpu + two.readResources(b, "").cpu
		return float64((after - before).Nanoseconds()) / 1000 / events
	}
	costPerEvent(one)
	costPerEvent(two)
	var samples [2][]float64
	for b.Loop() {
		for range pairCount {
			samples[0] = append(samples[0], costPerEvent(one))
			samples[1] = append(samples[1], costPerEvent(two))
		}
	}
	costs := []float64{median(samples[0]), median(samples[1])}
	b.ReportMetric(slices.Min(costs), "at-home-µs-cpu/event")
	b.ReportMetric(slices.Max(costs), "one-hop-µs-cpu/event")
}

// BenchmarkFirstEvent compares the time to first event through an idle node with
// that of a direct connection to the engine.
func BenchmarkFirstEvent(b *testing.B) {
	engine := launch(b, "engine", "")
	router := launch(b, "router", engine.address)
	direct, viaRouter := hdrhistogram.New(1, maxMicros, 3), hdrhistogram.New(1, maxMicros, 3)
	for b.Loop() {
		for range ttftRounds {
			measureTTFT(b, engine, direct)
			measureTTFT(b, router, viaRouter)
		}
	}
	for _, q := range []float64{50, 99} {
		b.ReportMetric(float64(direct.ValueAtQuantile(q)), fmt.Sprintf("direct-p%.0f-µs", q))
		b.ReportMetric(float64(viaRouter.ValueAtQuantile(q)), fmt.Sprintf("router-p%.0f-µs", q))
		b.ReportMetric(float64(viaRouter.ValueAtQuantile(q)-direct.ValueAtQuantile(q)), fmt.Sprintf("added-p%.0f-µs", q))
	}
}

// measureTTFT sends requests for one event one after another and records the times
// to first event.
func measureTTFT(b *testing.B, p process, histogram *hdrhistogram.Histogram) {
	b.Helper()
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for range ttftRequests {
		request, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/v1/chat/completions", strings.NewReader(oneEventRequest))
		require.NoError(b, err)
		request.Header.Set("Authorization", "Bearer key")
		start := time.Now()
		response, err := client.Do(request)
		require.NoError(b, err)
		_, err = bufio.NewReader(response.Body).ReadString('\n')
		require.NoError(b, err)
		_ = histogram.RecordValue(time.Since(start).Microseconds())
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// BenchmarkState measures the memory that the router holds for each open stream.
func BenchmarkState(b *testing.B) {
	engine := launch(b, "engine", "")
	router := launch(b, "router", engine.address)
	readStreams(b, router, streams, 1, nil)
	for b.Loop() {
		before := router.readResources(b, "?gc")
		var open sync.WaitGroup
		open.Add(openStreams)
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			readStreams(b, router, openStreams, 1, func(time.Duration) { open.Done() })
		}()
		open.Wait()
		after := router.readResources(b, "?gc")
		<-finished
		b.ReportMetric(float64(after.memory-before.memory)/openStreams, "bytes/stream")
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
