package calls_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/watch/calls"
	"github.com/cicadamill/cicadamill/internal/watch/label"
	"github.com/cicadamill/cicadamill/internal/watch/meter"
)

// BenchmarkSeries measures heap memory, number of series and size of the scrape
// page per labelled workspace, and the time of a scrape.
func BenchmarkSeries(b *testing.B) {
	const workspaces = 256
	names := make([]string, workspaces)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%04d", i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := meter.New(time.Hour, hclog.NewNullLogger())
	labels := label.New(workspaces)
	labels.SetRanking(names)
	runner := calls.New(scriptedRunner{}, m.Scope(), labels)
	for _, name := range names {
		_ = runner.Run(context.Background(), job.Job{Workspace: name}, func(engine.Event) error { return nil })
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	_ = m.Close()
	var page string
	for b.Loop() {
		recorder := httptest.NewRecorder()
		m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		page = recorder.Body.String()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/workspaces, "heap-bytes/workspace")
	b.ReportMetric(float64(strings.Count(page, "\ncicadamill"))/workspaces, "series/workspace")
	b.ReportMetric(float64(len(page))/workspaces, "page-bytes/workspace")
	runtime.KeepAlive(runner)
}

// BenchmarkRun measures the overhead per event of a response.
func BenchmarkRun(b *testing.B) {
	m := meter.New(time.Hour, hclog.NewNullLogger())
	labels := label.New(1)
	labels.SetRanking([]string{"members"})
	runner := calls.New(endlessRunner{b}, m.Scope(), labels)
	b.ReportAllocs()
	_ = runner.Run(context.Background(), job.Job{Workspace: "members"}, func(engine.Event) error { return nil })
}

// endlessRunner sends one token per iteration of the benchmark.
type endlessRunner struct{ b *testing.B }

func (e endlessRunner) Run(_ context.Context, _ job.Job, sink func(engine.Event) error) error {
	for e.b.Loop() {
		_ = sink(engine.Token{})
	}
	return nil
}
