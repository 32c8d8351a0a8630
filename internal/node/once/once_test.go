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
	"github.com/cicadamill/cicadamill/internal/node/commit"
	"github.com/cicadamill/cicadamill/internal/node/once"
	"github.com/cicadamill/cicadamill/internal/safety/batch"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/ledger"
	"github.com/cicadamill/cicadamill/internal/standin/objs"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
)

// delayedTable delays each commit to a table before or after it is applied.
type delayedTable struct {
	table.Client
	requestDelay, replyDelay atomic.Int64
}

func (s *delayedTable) Commit(ctx context.Context, txn table.Txn) error {
	time.Sleep(time.Duration(s.requestDelay.Load()))
	err := s.Client.Commit(context.WithoutCancel(ctx), txn)
	time.Sleep(time.Duration(s.replyDelay.Load()))
	if ctx.Err() != nil {
		return &table.OutageError{MayHaveApplied: true, Message: "timeout"}
	}
	return err
}

// deployment is a table and an object store with the nodes that use them.
type deployment struct {
	t       *testing.T
	table   *tables.Store
	delayed *delayedTable
	objects *objs.Store
	runs    atomic.Int32
	late    atomic.Int32
	scope   tally.TestScope
	stops   []func()
}

func newDeployment(t *testing.T) *deployment {
	store := tables.New()
	return &deployment{t: t, table: store, delayed: &delayedTable{Client: store}, objects: objs.New(), scope: tally.NewTestScope("", nil)}
}

// node starts a node, which runs until stop is called.
func (s *deployment) node() *once.Runner {
	ctx, cancel := context.WithCancel(s.t.Context())
	writer := commit.New(s.delayed, batch.Options{MaxWrites: 64, MaxQueue: 1024, MaxInFlight: 2}, s.scope)
	runner := once.New(writer, s.delayed, s.objects, once.DefaultLimits, s.scope)
	ended := make(chan error, 2)
	writerCtx, stop := context.WithCancel(s.t.Context())
	go func(ctx context.Context) { ended <- runner.Serve(ctx) }(ctx)
	go func(ctx context.Context) { ended <- writer.Serve(ctx) }(writerCtx)
	s.stops = append(s.stops, func() {
		cancel()
		<-ended
		stop()
		<-ended
	})
	return runner
}

func (s *deployment) stop() {
	for _, stop := range s.stops {
		stop()
	}
}

// call returns a call whose target returns finished after a delay.
func (s *deployment) call(key, digest string, takes time.Duration, finished ledger.Finished) once.Call {
	return once.Call{Workspace: "w", Key: key, Digest: digest, Dispatch: func(_ context.Context, bound ledger.Dispatch) ledger.Finished {
		if bound.Expired(time.Now()) {
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
	return ledger.Finished{Outcome: effect.Answered{}, Answer: ledger.Answer{Outcome: "answered", Status: 200, Body: []byte(body)}}
}

// describe returns the result of a call as a short text: the answer, or the error
// code and the outcome.
func describe(reply ledger.Reply, err error) string {
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

func failFirstWrites(count int, fault tables.Fault) func(tables.Request) tables.Fault {
	var seen atomic.Int32
	return func(r tables.Request) tables.Fault {
		if r.Write && int(seen.Add(1)) <= count {
			return fault
		}
		return tables.None
	}
}

// TestFaults runs a call on one node and its repeat on another, with faults of
// the table, the object store and the target.
func TestFaults(t *testing.T) {
	broken := ledger.Finished{Outcome: effect.Unknown{}, Code: "targetBroken"}
	refused := ledger.Finished{Outcome: effect.NotRun{}, Code: "targetRefused"}
	large := answered(strings.Repeat("x", 5<<10))
	always := func(fault tables.Fault) func(tables.Request) tables.Fault {
		return func(tables.Request) tables.Fault { return fault }
	}
	tests := map[string]struct {
		fault                    func(tables.Request) tables.Fault
		objectsDown              bool
		requestDelay, replyDelay time.Duration
		finished                 ledger.Finished
		digest                   string
		beforeRepeat             func(*deployment)
		first, repeat            string
		runs                     int32
	}{
		"no fault":                    {finished: answered("a"), first: "a", repeat: "repeated a", runs: 1},
		"reply of the write lost":     {fault: failFirstWrites(1, tables.LoseReply), finished: answered("a"), first: "a", repeat: "repeated a", runs: 1},
		"every reply lost":            {fault: always(tables.LoseReply), finished: answered("a"), first: "ledgerDown notRun", repeat: "a", runs: 1, beforeRepeat: (*deployment).clearFaults},
		"table down":                  {fault: always(tables.Unavailable), finished: answered("a"), first: "ledgerDown notRun", repeat: "a", runs: 1, beforeRepeat: (*deployment).clearFaults},
		"table down for both":         {fault: always(tables.Unavailable), finished: answered("a"), first: "ledgerDown notRun", repeat: "ledgerDown notRun"},
		"table slow there":            {requestDelay: 6 * time.Second, finished: answered("a"), first: "ledgerSlow notRun", repeat: "a", runs: 1, beforeRepeat: (*deployment).clearFaults},
		"table slow back":             {replyDelay: 6 * time.Second, finished: answered("a"), first: "ledgerSlow notRun", repeat: "a", runs: 1, beforeRepeat: (*deployment).clearFaults},
		"target may have run":         {finished: broken, first: "targetBroken unknown", repeat: "outcomeUnknown unknown", runs: 1},
		"target did not run":          {finished: refused, first: "targetRefused notRun", repeat: "targetRefused notRun"},
		"same key, other body":        {finished: answered("a"), digest: "other", first: "a", repeat: "keyReused notRun", runs: 1},
		"large answer":                {finished: large, first: string(large.Answer.Body), repeat: "repeated xxxxxxxx", runs: 1},
		"large answer, store is down": {finished: large, objectsDown: true, first: string(large.Answer.Body), repeat: "answerNotKept answered", runs: 1},
		"large answer, store is gone": {finished: large, beforeRepeat: func(s *deployment) { s.objects.SetDown(true) }, first: string(large.Answer.Body), repeat: "ledgerDown unknown", runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDeployment(t)
				s.table.SetFault(test.fault)
				s.objects.SetDown(test.objectsDown)
				s.delayed.requestDelay.Store(int64(test.requestDelay))
				s.delayed.replyDelay.Store(int64(test.replyDelay))
				one, two := s.node(), s.node()
				assert.Equal(t, test.first, describe(one.Run(t.Context(), s.call("k", "d", 0, test.finished))))
				synctest.Wait()
				if test.beforeRepeat != nil {
					test.beforeRepeat(s)
				}
				time.Sleep(time.Minute)
				digest := "d"
				if test.digest != "" {
					digest = test.digest
				}
				assert.Equal(t, test.repeat, describe(two.Run(t.Context(), s.call("k", digest, 0, test.finished))))
				assert.Equal(t, test.runs, s.runs.Load())
				s.clearFaults()
				s.stop()
			})
		})
	}
}

func (s *deployment) clearFaults() {
	s.table.SetFault(nil)
	s.objects.SetDown(false)
	s.delayed.requestDelay.Store(0)
	s.delayed.replyDelay.Store(0)
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
				s := newDeployment(t)
				one := s.node()
				two := one
				if test.otherNode {
					two = s.node()
				}
				first := make(chan string, 1)
				go func(ctx context.Context) {
					first <- describe(one.Run(ctx, s.call("k", "d", test.takes, answered("a"))))
				}(t.Context())
				synctest.Wait()
				assert.Equal(t, test.want, describe(two.Run(t.Context(), s.call("k", "d", 0, answered("b")))))
				assert.Equal(t, "a", <-first)
				assert.EqualValues(t, 1, s.runs.Load())
				reads, _ := s.table.Counts()
				assert.Equal(t, test.otherNode, reads > 0)
				s.stop()
			})
		})
	}
}

// TestRepeatOfACallThatDidNotRunBeginsAnew repeats a call on the same node while
// the row that says that the first one did not run is still being written. The
// repeat must run rather than get the refusal of the first.
func TestRepeatOfACallThatDidNotRunBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDeployment(t)
		one := s.node()
		s.delayed.requestDelay.Store(int64(100 * time.Millisecond))
		refused := ledger.Finished{Outcome: effect.NotRun{}, Code: "targetRefused"}
		assert.Equal(t, "targetRefused notRun", describe(one.Run(t.Context(), s.call("k", "d", 0, refused))))
		assert.Equal(t, "a", describe(one.Run(t.Context(), s.call("k", "d", 0, answered("a")))))
		s.stop()
	})
}

// TestOpenCallsAreBounded opens the maximum number of calls and checks that one
// more is refused.
func TestOpenCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDeployment(t)
		one := s.node()
		answers := make(chan string, once.DefaultLimits.MaxOpen)
		for i := range once.DefaultLimits.MaxOpen {
			go func(ctx context.Context) {
				answers <- describe(one.Run(ctx, s.call(strconv.Itoa(i), "d", time.Minute, answered("a"))))
			}(t.Context())
		}
		synctest.Wait()
		assert.Equal(t, "effectsBusy notRun", describe(one.Run(t.Context(), s.call("k", "d", 0, answered("b")))))
		for range once.DefaultLimits.MaxOpen {
			assert.Equal(t, "a", <-answers)
		}
		assert.EqualValues(t, once.DefaultLimits.MaxOpen, s.runs.Load())
		s.stop()
	})
}

// TestManyCallsShareTransactions checks that many concurrent calls, some of them
// repeats, run once each and share transactions.
func TestManyCallsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDeployment(t)
		s.delayed.requestDelay.Store(int64(2 * time.Millisecond))
		one, two := s.node(), s.node()
		for _, key := range []string{"0", "10", "20", "30", "40"} {
			require.Equal(t, "a", describe(one.Run(t.Context(), s.call(key, "d", 0, answered("a")))))
		}
		results := make(chan string, 200)
		for i := range 200 {
			go func(ctx context.Context) {
				results <- describe(two.Run(ctx, s.call(strconv.Itoa(i), "d", 0, answered("a"))))
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
		s := newDeployment(t)
		one := s.node()
		first := make(chan string, 1)
		go func(ctx context.Context) {
			first <- describe(one.Run(ctx, s.call("k", "d", time.Second, answered("a"))))
		}(t.Context())
		synctest.Wait()
		s.stop()
		assert.Equal(t, "a", <-first)
		row, err := s.table.List(t.Context(), ledger.AnswerPrefix, "", 10)
		require.NoError(t, err)
		assert.Len(t, row, 1)
	})
}
