// Package commit batches the row writes of concurrent callers into shared
// transactions (group commit).
package commit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/safety/batch"
)

const (
	inboxLength       = 1024
	maxParallelProbes = 8
	commitTimeout     = 3 * time.Second
)

// Writer batches writes. It is a suture service that runs the batch state machine.
type Writer struct {
	table   table.Client
	options batch.Options
	inbox   chan batch.Message
	scope   tally.Scope

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan batch.Result
}

// New returns a writer. Writes wait until its Serve method runs.
//
//	writer := commit.New(client, batch.Options{MaxWrites: 64, MaxQueue: 1024, MaxInFlight: 2}, scope)
//	supervisor.Add(writer)
//	result := writer.Write(ctx, put)
func New(client table.Client, options batch.Options, scope tally.Scope) *Writer {
	return &Writer{
		table: client, options: options, scope: scope,
		inbox: make(chan batch.Message, inboxLength), pending: map[uint64]chan batch.Result{},
	}
}

// Write writes one row and returns the result. If the context ends first, the
// result is [batch.Unsure], because the write may still be applied, or
// [batch.Failed] if the write was not queued yet.
func (w *Writer) Write(ctx context.Context, put table.Put) batch.Result {
	id, result := w.register()
	defer w.forget(id)
	select {
	case w.inbox <- batch.Add{Write: batch.Write{ID: id, Put: put}}:
	case <-ctx.Done():
		return batch.Failed
	}
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return batch.Unsure
	}
}

func (w *Writer) register() (uint64, <-chan batch.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	result := make(chan batch.Result, 1)
	w.pending[w.lastID] = result
	return w.lastID, result
}

func (w *Writer) forget(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, id)
}

func (w *Writer) finish(f batch.Finish) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case w.pending[f.ID] <- f.Result:
	default:
	}
}

// Serve runs until the context ends and all transactions in flight have ended.
// After a panic the supervisor calls it again, with an empty state: writes that
// were pending get no result and end as [batch.Unsure] with their contexts.
func (w *Writer) Serve(ctx context.Context) error {
	state := batch.New(w.options)
	replies := make(chan batch.Message, w.options.MaxInFlight+1)
	inFlight := 0
	for {
		var message batch.Message
		select {
		case <-ctx.Done():
			for ; inFlight > 0; inFlight-- {
				<-replies
			}
			return ctx.Err()
		case message = <-w.inbox:
		case message = <-replies:
			inFlight--
		}
		var commands []batch.Command
		state, commands = state.Update(time.Now(), message)
		for _, command := range commands {
			if w.start(ctx, command, replies) {
				inFlight++
			}
		}
		w.scope.Gauge("ledger_queue").Update(float64(state.Waiting()))
	}
}

// start starts a command and reports whether it will send a reply.
func (w *Writer) start(ctx context.Context, command batch.Command, replies chan<- batch.Message) bool {
	switch c := command.(type) {
	case batch.Finish:
		w.finish(c)
		return false
	case batch.Commit:
		go func(ctx context.Context) { replies <- w.commit(ctx, c) }(ctx)
	case batch.Probe:
		go func(ctx context.Context) { replies <- w.probe(ctx, c) }(ctx)
	case batch.Wake:
		go func(ctx context.Context) { replies <- wake(ctx, c) }(ctx)
	}
	return true
}

func wake(ctx context.Context, c batch.Wake) batch.Message {
	timer := time.NewTimer(c.After)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return batch.Tick{}
}

func (w *Writer) commit(ctx context.Context, c batch.Commit) batch.Message {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	w.scope.Counter("ledger_transactions").Inc(1)
	w.scope.Counter("ledger_rows").Inc(int64(len(c.Puts)))
	err := w.table.Commit(ctx, table.Txn{Puts: c.Puts})
	var conflict *table.ConflictError
	var outage *table.OutageError
	switch {
	case err == nil:
		return batch.Committed{Txn: c.Txn}
	case errors.As(err, &conflict):
		w.scope.Counter("ledger_conflicts").Inc(1)
		return batch.Conflicted{Txn: c.Txn, Key: conflict.Key}
	case errors.As(err, &outage) && !outage.MayHaveApplied:
		w.scope.Counter("ledger_down").Inc(1)
		return batch.Unavailable{Txn: c.Txn}
	default:
		w.scope.Counter("ledger_lost_replies").Inc(1)
		return batch.Lost{Txn: c.Txn}
	}
}

func (w *Writer) probe(ctx context.Context, c batch.Probe) batch.Message {
	w.scope.Counter("ledger_probes").Inc(int64(len(c.Keys)))
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rows := make(chan table.Row, len(c.Keys))
	keys := make(chan string, len(c.Keys))
	for _, key := range c.Keys {
		keys <- key
	}
	close(keys)
	for range maxParallelProbes {
		go func(ctx context.Context) {
			for key := range keys {
				row, err := w.table.Get(ctx, key)
				if err != nil {
					row = table.Row{}
				}
				rows <- row
			}
		}(ctx)
	}
	versions := map[string]uint64{}
	for range c.Keys {
		if row := <-rows; row.Key != "" {
			versions[row.Key] = row.Version
		}
	}
	return batch.Versions{Txn: c.Txn, ByKey: versions}
}
