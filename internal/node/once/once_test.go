package once_test

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/node/group"
	"github.com/cicadamill/cicadamill/internal/node/once"
	"github.com/cicadamill/cicadamill/internal/safety/batch"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/ledger"
	"github.com/cicadamill/cicadamill/internal/standin/objs"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
)

// slow delays every operation of a table, on its way there or back.
type slow struct {
	table.Client
	there, back atomic.Int64
}

func (s *slow) Commit(ctx context.Context, txn table.Txn) error {
	time.Sleep(time.Duration(s.there.Load()))
	err := s.Client.Commit(context.WithoutCancel(ctx), txn)
	time.Sleep(time.Duration(s.back.Load()))
	if ctx.Err() != nil {
		return &table.OutageError{MayHaveApplied: true, Message: "timeout"}
	}
	return err
}

// site is one table, one object store and nodes that use them.
type site struct {
	t       *testing.T
	table   *tables.Store
	slow    *slow
	objects *objs.Store
	runs    atomic.Int32
	late    atomic.Int32
	scope   tally.TestScope
	stops   []func()
}

func newSite(t *testing.T) *site {
	store := tables.New()
	return &site{t: t, table: store, slow: &slow{Client: store}, objects: objs.New(), scope: tally.NewTestScope("", nil)}
}

// node starts a node; its context is the life of the node.
func (s *site) node() *once.Runner {
	ctx, cancel := context.WithCancel(s.t.Context())
	writer := group.New(s.slow, batch.Options{MaxWrites: 64, MaxQueue: 1024, MaxOpen: 2}, s.scope)
	runner := once.New(writer, s.slow, s.objects, once.Defaults, s.scope)
	ended := make(chan error, 2)
	below, stop := context.WithCancel(s.t.Context())
	go func(ctx context.Context) { ended <- runner.Serve(ctx) }(ctx)
	go func(ctx context.Context) { ended <- writer.Serve(ctx) }(below)
	s.stops = append(s.stops, func() {
		cancel()
		<-ended
		stop()
		<-ended
	})
	return runner
}

func (s *site) stop() {
	for _, stop := range s.stops {
		stop()
	}
}

// call returns a call whose target takes a time and then gives an outcome.
func (s *site) call(key, digest string, takes time.Duration, finished ledger.Finished) once.Call {
	return once.Call{Workspace: "w", Key: key, Digest: digest, Dispatch: func(_ context.Context, bound ledger.Dispatch) ledger.Finished {
		if bound.Late(time.Now()) {
			s.late.Add(1)
			return ledger.Finished{Outcome: effect.NotRun{}, Code: "ledgerSlow"}
		}
		if _, notRun := finished.Outcome.(effect.NotRun); !notRun {
			s.runs.Add(1)
		}
		time.Sleep(takes)
		return finished
	}}
}

func answered(body string) ledger.Finished {
	return ledger.Finished{Outcome: effect.Answered{}, Answer: ledger.Answer{Ran: "answered", Status: 200, Body: []byte(body)}}
}

// told gives what a caller learns, in one word.
func told(reply ledger.Reply, err error) string {
	var failure *fault.Error
	switch {
	case errors.As(err, &failure):
		return failure.Code + " " + effect.Name(failure.Outcome)
	case err != nil:
		return err.Error()
	case reply.Repeated:
		return "repeated " + string(reply.Answer.Body[:min(8, len(reply.Answer.Body))])
	default:
		return string(reply.Answer.Body)
	}
}

func firstWrites(count int, fault tables.Fault) func(tables.Request) tables.Fault {
	var seen atomic.Int32
	return func(r tables.Request) tables.Fault {
		if r.Write && int(seen.Add(1)) <= count {
			return fault
		}
		return tables.None
	}
}

// TestFaults runs a call at one node and a repeat at another.
func TestFaults(t *testing.T) {
	broken := ledger.Finished{Outcome: effect.Unknown{}, Code: "targetBroken"}
	refused := ledger.Finished{Outcome: effect.NotRun{}, Code: "targetRefused"}
	large := answered(strings.Repeat("x", 5<<10))
	always := func(fault tables.Fault) func(tables.Request) tables.Fault {
		return func(tables.Request) tables.Fault { return fault }
	}
	tests := map[string]struct {
		fault         func(tables.Request) tables.Fault
		objectsDown   bool
		there, back   time.Duration
		finished      ledger.Finished
		digest        string
		between       func(*site)
		first, repeat string
		runs          int32
	}{
		"no fault":                    {finished: answered("a"), first: "a", repeat: "repeated a", runs: 1},
		"reply of the write lost":     {fault: firstWrites(1, tables.LoseReply), finished: answered("a"), first: "a", repeat: "repeated a", runs: 1},
		"every reply lost":            {fault: always(tables.LoseReply), finished: answered("a"), first: "ledgerDown notRun", repeat: "a", runs: 1, between: (*site).heal},
		"table down":                  {fault: always(tables.Down), finished: answered("a"), first: "ledgerDown notRun", repeat: "a", runs: 1, between: (*site).heal},
		"table down for both":         {fault: always(tables.Down), finished: answered("a"), first: "ledgerDown notRun", repeat: "ledgerDown notRun"},
		"table slow there":            {there: 6 * time.Second, finished: answered("a"), first: "ledgerSlow notRun", repeat: "a", runs: 1, between: (*site).heal},
		"table slow back":             {back: 6 * time.Second, finished: answered("a"), first: "ledgerSlow notRun", repeat: "a", runs: 1, between: (*site).heal},
		"target may have run":         {finished: broken, first: "targetBroken unknown", repeat: "outcomeUnknown unknown", runs: 1},
		"target surely did not run":   {finished: refused, first: "targetRefused notRun", repeat: "targetRefused notRun"},
		"same key, other body":        {finished: answered("a"), digest: "other", first: "a", repeat: "keyReused notRun", runs: 1},
		"large answer":                {finished: large, first: string(large.Answer.Body), repeat: "repeated xxxxxxxx", runs: 1},
		"large answer, store is down": {finished: large, objectsDown: true, first: string(large.Answer.Body), repeat: "answerNotKept answered", runs: 1},
		"large answer, store is gone": {finished: large, between: func(s *site) { s.objects.SetDown(true) }, first: string(large.Answer.Body), repeat: "ledgerDown unknown", runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				s.table.SetFault(test.fault)
				s.objects.SetDown(test.objectsDown)
				s.slow.there.Store(int64(test.there))
				s.slow.back.Store(int64(test.back))
				one, two := s.node(), s.node()
				assert.Equal(t, test.first, told(one.Run(t.Context(), s.call("k", "d", 0, test.finished))))
				synctest.Wait()
				if test.between != nil {
					test.between(s)
				}
				time.Sleep(time.Minute)
				digest := "d"
				if test.digest != "" {
					digest = test.digest
				}
				assert.Equal(t, test.repeat, told(two.Run(t.Context(), s.call("k", digest, 0, test.finished))))
				assert.Equal(t, test.runs, s.runs.Load())
				s.heal()
				s.stop()
			})
		})
	}
}

func (s *site) heal() {
	s.table.SetFault(nil)
	s.objects.SetDown(false)
	s.slow.there.Store(0)
	s.slow.back.Store(0)
}

func TestRepeatsWhileUnderWay(t *testing.T) {
	tests := map[string]struct {
		takes     time.Duration
		otherNode bool
		want      string
	}{
		"same node joins":            {takes: time.Second, want: "repeated a"},
		"other node joins":           {takes: time.Second, otherNode: true, want: "repeated a"},
		"other node waits no longer": {takes: time.Minute, otherNode: true, want: "underWay unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				one := s.node()
				two := one
				if test.otherNode {
					two = s.node()
				}
				first := make(chan string, 1)
				go func(ctx context.Context) {
					first <- told(one.Run(ctx, s.call("k", "d", test.takes, answered("a"))))
				}(t.Context())
				synctest.Wait()
				assert.Equal(t, test.want, told(two.Run(t.Context(), s.call("k", "d", 0, answered("b")))))
				assert.Equal(t, "a", <-first)
				assert.EqualValues(t, 1, s.runs.Load())
				reads, _ := s.table.Counts()
				assert.Equal(t, test.otherNode, reads > 0)
				s.stop()
			})
		})
	}
}

// TestRepeatOfACallThatDidNotRunBeginsAnew repeats at the same node while the
// table is still being told that the first one did not run.
func TestRepeatOfACallThatDidNotRunBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		one := s.node()
		s.slow.there.Store(int64(100 * time.Millisecond))
		refused := ledger.Finished{Outcome: effect.NotRun{}, Code: "targetRefused"}
		assert.Equal(t, "targetRefused notRun", told(one.Run(t.Context(), s.call("k", "d", 0, refused))))
		assert.Equal(t, "a", told(one.Run(t.Context(), s.call("k", "d", 0, answered("a")))))
		s.stop()
	})
}

// TestOpenCallsAreBounded keeps as many calls open as there may be and asks for
// one more.
func TestOpenCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		one := s.node()
		answers := make(chan string, once.Defaults.MaxOpen)
		for i := range once.Defaults.MaxOpen {
			go func(ctx context.Context) {
				answers <- told(one.Run(ctx, s.call(strconv.Itoa(i), "d", time.Minute, answered("a"))))
			}(t.Context())
		}
		synctest.Wait()
		assert.Equal(t, "effectsBusy notRun", told(one.Run(t.Context(), s.call("k", "d", 0, answered("b")))))
		for range once.Defaults.MaxOpen {
			assert.Equal(t, "a", <-answers)
		}
		assert.EqualValues(t, once.Defaults.MaxOpen, s.runs.Load())
		s.stop()
	})
}

// TestManyCallsShareTransactions counts transactions, rows and refusals when
// many calls come at once, some of them repeats.
func TestManyCallsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.slow.there.Store(int64(2 * time.Millisecond))
		one, two := s.node(), s.node()
		for _, key := range []string{"0", "10", "20", "30", "40"} {
			require.Equal(t, "a", told(one.Run(t.Context(), s.call(key, "d", 0, answered("a")))))
		}
		results := make(chan string, 200)
		for i := range 200 {
			go func(ctx context.Context) {
				results <- told(two.Run(ctx, s.call(strconv.Itoa(i), "d", 0, answered("a"))))
			}(t.Context())
		}
		counts := map[string]int{}
		for range 200 {
			counts[<-results]++
		}
		s.stop()
		assert.Equal(t, map[string]int{"a": 195, "repeated a": 5}, counts)
		assert.EqualValues(t, 200, s.runs.Load())
		_, writes := s.table.Counts()
		assert.Less(t, writes, 40)
	})
}

func TestOwnerThatStopsEndsItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		one := s.node()
		first := make(chan string, 1)
		go func(ctx context.Context) {
			first <- told(one.Run(ctx, s.call("k", "d", time.Second, answered("a"))))
		}(t.Context())
		synctest.Wait()
		s.stop()
		assert.Equal(t, "a", <-first)
		row, err := s.table.List(t.Context(), ledger.AnswerPrefix, "", 10)
		require.NoError(t, err)
		assert.Len(t, row, 1)
	})
}
