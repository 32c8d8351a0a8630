package once_test

import (
	"context"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/node/commit"
	"github.com/cicadamill/cicadamill/internal/node/once"
	"github.com/cicadamill/cicadamill/internal/safety/batch"
	"github.com/cicadamill/cicadamill/internal/safety/ledger"
	"github.com/cicadamill/cicadamill/internal/standin/objs"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
)

// delayedCommits delays each transaction.
type delayedCommits struct {
	table.Client
	delay time.Duration
}

func (p delayedCommits) Commit(ctx context.Context, txn table.Txn) error {
	if p.delay > 0 {
		time.Sleep(p.delay)
	}
	return p.Client.Commit(ctx, txn)
}

// benchmarkCalls runs calls on one node and reports the transactions per call.
func benchmarkCalls(b *testing.B, delay time.Duration, parallel int) {
	store := tables.New()
	client := delayedCommits{Client: store, delay: delay}
	ctx, cancel := context.WithCancel(context.Background())
	writer := commit.New(client, batch.Options{MaxWrites: 64, MaxQueue: 1024, MaxInFlight: 2}, tally.NoopScope)
	options := once.DefaultLimits
	options.MaxOpen = 4096
	runner := once.New(writer, client, objs.New(), options, tally.NoopScope)
	ended := make(chan error, 2)
	go func(ctx context.Context) { ended <- runner.Serve(ctx) }(ctx)
	writerCtx, stop := context.WithCancel(context.Background())
	go func(ctx context.Context) { ended <- writer.Serve(ctx) }(writerCtx)
	var number atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(max(1, parallel/runtime.GOMAXPROCS(0)))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, err := runner.Run(ctx, once.Call{Workspace: "w", Key: strconv.FormatInt(number.Add(1), 10), Digest: "d", Dispatch: func(context.Context, ledger.Dispatch) ledger.Finished { return answered("{}") }})
			if err != nil {
				b.Error(err)
				return
			}
		}
	})
	cancel()
	<-ended
	stop()
	<-ended
	_, writes := store.Counts()
	b.ReportMetric(float64(writes)/float64(b.N), "txn/call")
}

func BenchmarkCall(b *testing.B) {
	b.Run("alone", func(b *testing.B) { benchmarkCalls(b, 0, 1) })
	b.Run("64 at once, transactions of 5 ms", func(b *testing.B) { benchmarkCalls(b, 5*time.Millisecond, 64) })
	b.Run("512 at once, transactions of 5 ms", func(b *testing.B) { benchmarkCalls(b, 5*time.Millisecond, 512) })
}

// BenchmarkOpen measures the memory per open call.
func BenchmarkOpen(b *testing.B) {
	const open = 256
	store := tables.New()
	ctx, cancel := context.WithCancel(context.Background())
	writer := commit.New(store, batch.Options{MaxWrites: 64, MaxQueue: 1024, MaxInFlight: 2}, tally.NoopScope)
	runner := once.New(writer, store, objs.New(), once.DefaultLimits, tally.NoopScope)
	ended := make(chan error, 2)
	go func(ctx context.Context) { ended <- runner.Serve(ctx) }(ctx)
	writerCtx, stop := context.WithCancel(context.Background())
	go func(ctx context.Context) { ended <- writer.Serve(ctx) }(writerCtx)
	bytes := 0.0
	for round := range b.N {
		before := memoryInUse()
		release := make(chan struct{})
		dispatched, done := make(chan struct{}, open), make(chan error, open)
		for i := range open {
			go func(ctx context.Context) {
				_, err := runner.Run(ctx, once.Call{Workspace: "w", Key: strconv.Itoa(round) + "-" + strconv.Itoa(i), Digest: "d", Dispatch: func(context.Context, ledger.Dispatch) ledger.Finished {
					dispatched <- struct{}{}
					<-release
					return answered("{}")
				}})
				done <- err
			}(ctx)
		}
		for range open {
			<-dispatched
		}
		bytes += float64(memoryInUse()-before) / open
		close(release)
		for range open {
			<-done
		}
	}
	cancel()
	<-ended
	stop()
	<-ended
	b.ReportMetric(bytes/float64(b.N), "B/open")
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
