// Package sweep removes expired records of the ledger from the platform.
//
// At intervals, every node reads one short page at a random position of the key
// space. The nodes share the work without coordination, and the number of reads
// grows with the number of nodes, as the number of records does.
package sweep

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/infra/object"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/safety/ledger"
)

const (
	pageRows = 32
	// maxClockSkew is the largest expected difference between the clocks of two nodes.
	maxClockSkew = 10 * time.Minute
	timeout      = 5 * time.Second
	// pagesPerFirstPage is the mean number of pages of which one starts at the first
	// row and the others at a random one.
	pagesPerFirstPage = 8
)

// Sweeper is a suture service that removes expired records.
type Sweeper struct {
	table    table.Client
	objects  object.Client
	interval time.Duration
	random   *rand.Rand
	scope    tally.Scope
}

// New returns a sweeper that reads one page of reservations and one page of
// answers per interval.
//
//	supervisor.Add(sweep.New(tableClient, objectClient, time.Minute, seed, scope))
func New(tables table.Client, objects object.Client, interval time.Duration, seed uint64, scope tally.Scope) *Sweeper {
	return &Sweeper{table: tables, objects: objects, interval: interval, random: rand.New(rand.NewPCG(seed, 0)), scope: scope}
}

// Serve runs until the context ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	for {
		timer := time.NewTimer(s.interval/2 + time.Duration(s.random.Int64N(int64(s.interval))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		s.page(ctx, ledger.ReservationPrefix)
		s.page(ctx, ledger.AnswerPrefix)
	}
}

// page reads one page and removes its expired records. The object of an answer is
// removed before its row, so that no object is left without a row.
func (s *Sweeper) page(ctx context.Context, prefix string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rows, err := s.table.List(ctx, prefix, prefix+s.startKey(prefix), pageRows)
	if err != nil {
		return
	}
	var txn table.Txn
	for _, row := range rows {
		if expired(row, time.Now()) && s.deleteObject(ctx, row) {
			txn.Puts = append(txn.Puts, table.Put{Key: row.Key, IfVersion: row.Version})
		}
	}
	if len(txn.Puts) == 0 {
		return
	}
	if s.table.Commit(ctx, txn) == nil {
		s.scope.Counter("ledger_swept").Inc(int64(len(txn.Puts)))
	}
}

// startKey returns a random position in the key space or, on average once in
// pagesPerFirstPage calls, its beginning. The keys of reservations are
// hexadecimal, those of answers are nonces in base 32.
func (s *Sweeper) startKey(prefix string) string {
	if s.random.IntN(pagesPerFirstPage) == 0 {
		return ""
	}
	if prefix == ledger.ReservationPrefix {
		return hex.EncodeToString([]byte{byte(s.random.Uint32()), byte(s.random.Uint32())})
	}
	const letters = "234567ABCDEFGHIJKLMNOPQRSTUVWXYZ"
	return string([]byte{letters[s.random.IntN(len(letters))], letters[s.random.IntN(len(letters))]})
}

// expired reports whether the record of a row has expired. A row that can't be
// decoded is kept.
func expired(row table.Row, now time.Time) bool {
	var record ledger.Record
	err := json.Unmarshal(row.Value, &record)
	return err == nil && record.Expires > 0 && now.After(time.Unix(record.Expires, 0).Add(maxClockSkew))
}

func (s *Sweeper) deleteObject(ctx context.Context, row table.Row) bool {
	var answer ledger.Answer
	if json.Unmarshal(row.Value, &answer) != nil || !answer.Object {
		return true
	}
	return s.objects.Delete(ctx, row.Key) == nil
}
