package flow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/node/loop"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

func startOn(target string, number int, cached *engine.ImportRequest) cell.Start {
	return cell.Start{Job: "1", Attempt: number, Target: target, Incarnation: "chosen", WeightVersion: "1", Import: cached}
}

func TestHedgeHasOneWinner(t *testing.T) {
	all := []step{token(0), pause(time.Second), token(1), token(2), token(3), token(4), done{}}
	script := func(before time.Duration, rest ...step) []step {
		return append([]step{accept("1"), pause(before)}, rest...)
	}
	tests := map[string]struct {
		first, second []step
		cancelled     []string
		late          bool
	}{
		"first wins":                             {first: script(time.Second, all...), second: script(time.Minute, all...), cancelled: []string{"1.2"}},
		"second wins":                            {first: script(time.Minute, all...), second: script(time.Second, all...), cancelled: []string{"1.1"}},
		"late loser ignores cancellation":        {first: append([]step{accept("1"), sleep(2 * time.Second)}, all...), second: script(time.Second, all...), cancelled: []string{"1.1"}, late: true},
		"both at once":                           {first: script(time.Second, all...), second: script(time.Second, all...), cancelled: []string{"1.1", "1.2"}},
		"the other breaks off without an answer": {first: script(time.Second, all...), second: script(time.Millisecond, broken())},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := start(t, test.first, test.second)
				var caller receivedAnswer
				early := 0
				s := newRequestState(n.runner, request("1"), func(event engine.Event) error {
					n.fleet.mu.Lock()
					defer n.fleet.mu.Unlock()
					if token, ok := event.(engine.Token); ok && token.Offset == 1 {
						early = len(n.fleet.cancels)
					}
					return caller.sink(event)
				})
				mailbox := make(chan cell.Command, 2)
				mailbox <- startOn("a", 1, nil)
				go func() {
					time.Sleep(time.Microsecond)
					mailbox <- startOn("b", 2, nil)
				}()
				assert.NoError(t, s.run(context.Background(), mailbox))
				s.close()
				assert.Equal(t, fullAnswer("1"), caller.chunks)
				assert.True(t, caller.done)
				assert.Subset(t, append(test.cancelled, ""), append(n.fleet.cancels, ""))
				if !test.late {
					assert.Equal(t, min(1, len(test.cancelled)), early, "the loser must end with the first chunk of the winner")
				}
			})
		})
	}
}

// TestRandomFaultsLeaveAPrefixOrAnError injects random faults. The caller must
// receive a prefix of one answer, in order: either all of it and its end, or an
// error.
func TestRandomFaultsLeaveAPrefixOrAnError(t *testing.T) {
	steps := rapid.OneOf(
		rapid.Map(rapid.IntRange(0, answerLength-1), func(n int) step { return token(n) }),
		rapid.Map(rapid.IntRange(0, answerLength-1), func(n int) step { return token(n) }),
		rapid.SampledFrom([]step{broken(), die{}, notRun(engine.Busy), pause(time.Second), pause(time.Minute), sleep(time.Minute)}),
	)
	run := func(in []step, from int) []step {
		for i := from; i < answerLength; i++ {
			in = append(in, token(i))
		}
		return append(in, done{})
	}
	rapid.Check(t, func(r *rapid.T) {
		var scripts [][]step
		for range rapid.IntRange(0, 5).Draw(r, "attempts") {
			script := []step{accept(rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(r, "weights"))}
			script = append(script, rapid.SliceOfN(steps, 0, 6).Draw(r, "steps")...)
			if rapid.Bool().Draw(r, "finish") {
				scripts = append(scripts, run(script, 0))
				continue
			}
			scripts = append(scripts, append(script, broken()))
		}
		synctest.Test(t, func(t *testing.T) {
			n := start(t, scripts...)
			var caller receivedAnswer
			err := n.runner.Run(context.Background(), request("1"), caller.sink)
			if len(caller.chunks) > 0 {
				assert.Equal(r, fullAnswer(caller.weights)[:len(caller.chunks)], caller.chunks)
			}
			assert.Equal(r, err == nil, caller.done)
			assert.True(r, err != nil || len(caller.chunks) == answerLength, "the answer is incomplete but no error was returned")
		})
	})
}

func TestCellRestartLosesNoRequest(t *testing.T) {
	tests := map[string]struct {
		scripts  [][]step
		commands []cell.Command
		code     string
	}{
		"while an attempt runs":                  {scripts: [][]step{{accept("1"), token(0), pause(time.Second), token(1), token(2), token(3), token(4), done{}}}, commands: []cell.Command{startOn("a", 1, nil), cell.Refuse{Code: loop.Restarted}}},
		"while an attempt runs that fails":       {scripts: [][]step{{accept("1"), token(0), pause(time.Second), broken()}}, commands: []cell.Command{startOn("a", 1, nil), cell.Refuse{Code: loop.Restarted}}},
		"while none runs":                        {commands: []cell.Command{cell.Refuse{Code: loop.Restarted}}},
		"more often than the request asks again": {commands: []cell.Command{cell.Refuse{Code: loop.Restarted}, cell.Refuse{Code: loop.Restarted}, cell.Refuse{Code: loop.Restarted}, cell.Refuse{Code: loop.Restarted}}, code: loop.Restarted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := start(t, test.scripts...)
				var caller receivedAnswer
				s := newRequestState(n.runner, request("1"), caller.sink)
				answers, closeMailbox := n.runner.loop.OpenMailbox("1")
				defer closeMailbox()
				mailbox := make(chan cell.Command, 16)
				for _, command := range test.commands {
					mailbox <- command
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go join(ctx, mailbox, answers)
				s.arrivals = 1
				err := s.run(ctx, mailbox)
				s.close()
				if test.code != "" {
					assert.Equal(t, test.code, fault.From(err).Code)
					return
				}
				assert.NoError(t, err)
				assert.Equal(t, fullAnswer("1"), caller.chunks)
			})
		})
	}
}

// join forwards the cell's commands after those of the test.
func join(ctx context.Context, mailbox chan<- cell.Command, answers <-chan cell.Command) {
	for {
		select {
		case command := <-answers:
			mailbox <- command
		case <-ctx.Done():
			return
		}
	}
}

func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashes := []step{accept("1"), pause(time.Second), die{}}
		n := start(t, crashes, crashes)
		var caller receivedAnswer
		err := n.runner.Run(context.Background(), request("1"), caller.sink)
		assert.Equal(t, "crashRequest", fault.From(err).Code)
		assert.Len(t, n.fleet.calls, 2, "more than two engines crashed")
		err = n.runner.Run(context.Background(), request("2"), caller.sink)
		assert.Equal(t, "crashRequest", fault.From(err).Code)
		assert.Equal(t, "notRun", effect.Name(fault.From(err).Outcome))
		innocent := request("3")
		innocent.Fingerprint = 8
		assert.NoError(t, n.runner.Run(context.Background(), innocent, caller.sink))
	})
}
