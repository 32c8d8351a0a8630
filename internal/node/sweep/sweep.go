// Package sweep removes expired records of the ledger from the platform.
//
// Every node looks at one short page at a random place of the key space from
// time to time, so that the work is shared without any agreement: the reads
// grow with the nodes, as the records do.
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
	// slack is how far the clocks of two nodes may be apart.
	slack   = 10 * time.Minute
	timeout = 5 * time.Second
	// beginningShare is the part of looks that start at the first row.
	beginningShare = 8
)

// Sweeper is a suture service.
type Sweeper struct {
	table    table.Client
	objects  object.Client
	interval time.Duration
	random   *rand.Rand
	scope    tally.Scope
}

// New returns a sweeper that looks at a page of each kind in every interval.
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

// page removes what has expired on one page. An answer's object goes before its
// row, so that no object is left without one.
func (s *Sweeper) page(ctx context.Context, prefix string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rows, err := s.table.List(ctx, prefix, prefix+s.place(prefix), pageRows)
	if err != nil {
		return
	}
	var txn table.Txn
	for _, row := range rows {
		if expired(row, time.Now()) && s.dropObject(ctx, row) {
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

// place returns a random point of the key space, now and then its beginning:
// reservations are named in hexadecimal, answers by nonces of capitals and
// digits.
func (s *Sweeper) place(prefix string) string {
	if s.random.IntN(beginningShare) == 0 {
		return ""
	}
	if prefix == ledger.ReservationPrefix {
		return hex.EncodeToString([]byte{byte(s.random.Uint32()), byte(s.random.Uint32())})
	}
	const letters = "234567ABCDEFGHIJKLMNOPQRSTUVWXYZ"
	return string([]byte{letters[s.random.IntN(len(letters))], letters[s.random.IntN(len(letters))]})
}

// expired reports whether a row says that it may go; one that can't be read
// stays.
func expired(row table.Row, now time.Time) bool {
	var record ledger.Record
	err := json.Unmarshal(row.Value, &record)
	return err == nil && record.Expires > 0 && now.After(time.Unix(record.Expires, 0).Add(slack))
}

func (s *Sweeper) dropObject(ctx context.Context, row table.Row) bool {
	var answer ledger.Answer
	if json.Unmarshal(row.Value, &answer) != nil || !answer.Object {
		return true
	}
	return s.objects.Delete(ctx, row.Key) == nil
}
