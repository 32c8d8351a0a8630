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

// BenchmarkHash hashes a prompt of 40 KB into its chain.
func BenchmarkHash(b *testing.B) {
	const kilobytes = 40
	prompt := bytes.Repeat([]byte("order sheet "), kilobytes<<10/12)
	seed := chain.Seed{Workspace: "members", Model: "quay-7b", WeightVersion: "1"}
	for b.Loop() {
		chain.Hash(seed, prompt, 2000)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/kilobytes, "ns/KB")
}

// counted is a connection that counts its bytes both ways.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange reads an engine's load report over a kept connection. It
// reports the processor time of both ends and the bytes both ways.
func BenchmarkExchange(b *testing.B) {
	standin := model.New(model.Options{Name: "engine-00001", Model: "quay-7b", WeightVersion: "1", BlockTokens: 2000, CacheBlocks: 8, MaxRunning: 8})
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	var sent atomic.Int64
	dialer := &net.Dialer{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		return counted{Conn: connection, bytes: &sent}, err
	}}
	defer transport.CloseIdleConnections()
	client := remote.New(server.Listener.Addr().String(), &http.Client{Transport: transport})
	_, err := client.Load(context.Background())
	require.NoError(b, err)
	sent.Store(0)
	before, calls := processor(b), 0
	for b.Loop() {
		if _, err := client.Load(context.Background()); err != nil {
			b.Fatal(err)
		}
		calls++
	}
	b.ReportMetric(float64((processor(b)-before).Nanoseconds())/float64(calls), "cpu-ns/call")
	b.ReportMetric(float64(sent.Load())/float64(calls), "bytes/call")
}

// processor returns the processor time of this process so far.
func processor(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkScrape reports how far a page of metrics shrinks on the wire.
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
