package sizing_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/route/chain"
	"github.com/cicadamill/cicadamill/internal/standin/model"
	"github.com/cicadamill/cicadamill/internal/target/remote"
	"github.com/cicadamill/cicadamill/internal/watch/meter"
)

// BenchmarkHash measures computing the hash chain of a 40 KB prompt.
func BenchmarkHash(b *testing.B) {
	const kilobytes = 40
	prompt := bytes.Repeat([]byte("order sheet "), kilobytes<<10/12)
	seed := chain.Seed{Workspace: "members", Model: "quay-7b", WeightVersion: "1"}
	for b.Loop() {
		chain.Hash(seed, prompt, 2000)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/kilobytes, "ns/KB")
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange requests an engine's load report over a persistent
// connection. It reports the CPU time of client and server together and the bytes
// in both directions.
func BenchmarkExchange(b *testing.B) {
	standin := model.New(model.Options{Name: "engine-00001", Model: "quay-7b", WeightVersion: "1", BlockTokens: 2000, CacheBlocks: 8, MaxRunning: 8})
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	var transferred atomic.Int64
	dialer := &net.Dialer{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		return countingConn{Conn: connection, bytes: &transferred}, err
	}}
	defer transport.CloseIdleConnections()
	client := remote.New(server.Listener.Addr().String(), &http.Client{Transport: transport})
	_, err := client.Load(context.Background())
	require.NoError(b, err)
	transferred.Store(0)
	before, calls := cpuTime(b), 0
	for b.Loop() {
		if _, err := client.Load(context.Background()); err != nil {
			b.Fatal(err)
		}
		calls++
	}
	b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(calls), "cpu-ns/call")
	b.ReportMetric(float64(transferred.Load())/float64(calls), "bytes/call")
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkScrape reports the size of a metrics page and its gzip compression
// ratio.
func BenchmarkScrape(b *testing.B) {
	m := meter.New(time.Hour, hclog.NewNullLogger())
	for i := range 32 {
		scope := m.Scope().Tagged(map[string]string{"workspace": fmt.Sprintf("workspace-%04d", i)})
		for k := range 3 {
			h := scope.Histogram(fmt.Sprintf("sizing_%d_seconds", k), tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14))
			for j := range 1000 {
				h.RecordDuration(time.Duration((i*j*(k+1))%3000) * time.Millisecond)
			}
		}
	}
	require.NoError(b, m.Close())
	var page bytes.Buffer
	for b.Loop() {
		recorder := httptest.NewRecorder()
		m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		page = *recorder.Body
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = io.Copy(writer, bytes.NewReader(page.Bytes()))
	_ = writer.Close()
	b.ReportMetric(float64(page.Len()), "bytes")
	b.ReportMetric(float64(packed.Len())/float64(page.Len()), "packed/plain")
}
