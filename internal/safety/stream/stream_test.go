package stream_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/safety/stream"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

func TestUpdate(t *testing.T) {
	afterChunks := func(n int) stream.State {
		s := stream.State{}.Begin(1)
		s, _ = s.Update(1, engine.Accepted{WeightVersion: "1"})
		for i := range n {
			s, _ = s.Update(1, engine.Token{Offset: i})
		}
		return s
	}
	tests := map[string]struct {
		state   stream.State
		attempt int
		event   engine.Event
		want    stream.Verdict
	}{
		"next chunk":                        {state: afterChunks(2), attempt: 1, event: engine.Token{Offset: 2}, want: stream.Pass{}},
		"repeated chunk":                    {state: afterChunks(2), attempt: 1, event: engine.Token{Offset: 1}, want: stream.Drop{}},
		"gap":                               {state: afterChunks(2), attempt: 1, event: engine.Token{Offset: 3}, want: stream.Fail{Reason: "a chunk is missing"}},
		"chunk of an earlier attempt":       {state: afterChunks(2).Begin(2), attempt: 1, event: engine.Token{Offset: 2}, want: stream.Drop{}},
		"end of an earlier attempt":         {state: afterChunks(2).Begin(2), attempt: 1, event: engine.Done{}, want: stream.Drop{}},
		"new attempt with the same weights": {state: afterChunks(2).Begin(2), attempt: 2, event: engine.Accepted{WeightVersion: "1"}, want: stream.Pass{}},
		"new attempt with other weights":    {state: afterChunks(2).Begin(2), attempt: 2, event: engine.Accepted{WeightVersion: "2"}, want: stream.Fail{Reason: "the weights changed in the middle of the stream"}},
		"new attempt with unknown weights": {
			state: stream.Resume("", 2).Begin(2), attempt: 2, event: engine.Accepted{}, want: stream.Fail{Reason: "the weights changed in the middle of the stream"},
		},
		"reconnected with the same weights":  {state: stream.Resume("1", 2).Begin(1), attempt: 1, event: engine.Accepted{WeightVersion: "1"}, want: stream.Pass{}},
		"reconnected, repeated chunk":        {state: stream.Resume("1", 2).Begin(1), attempt: 1, event: engine.Token{Offset: 1}, want: stream.Drop{}},
		"new attempt before the first chunk": {state: afterChunks(0).Begin(2), attempt: 2, event: engine.Accepted{WeightVersion: "2"}, want: stream.Pass{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, verdict := test.state.Update(test.attempt, test.event)
			assert.Equal(t, test.want, verdict)
		})
	}
}

// TestCallerSeesEachChunkOnceInOrder sends chunks of the current and the previous
// attempt in random order. Only the next chunk of the current one may be passed.
func TestCallerSeesEachChunkOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := stream.State{}.Begin(1)
		current, seen := 1, 0
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				current++
				state = state.Begin(current)
			}
			attempt := rapid.IntRange(max(1, current-1), current).Draw(t, "attempt")
			offset := rapid.IntRange(0, seen+2).Draw(t, "offset")
			var verdict stream.Verdict
			state, verdict = state.Update(attempt, engine.Token{Offset: offset})
			if verdict == (stream.Pass{}) {
				assert.Equal(t, current, attempt)
				assert.Equal(t, seen, offset)
				seen++
			}
		}
		assert.Equal(t, seen, state.Next())
	})
}

func ExampleState_Update() {
	state := stream.State{}.Begin(1)
	state, _ = state.Update(1, engine.Token{Offset: 0})
	_, verdict := state.Update(1, engine.Token{Offset: 0})
	fmt.Printf("%T\n", verdict)
	// Output: stream.Drop
}
