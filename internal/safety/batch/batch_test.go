package batch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/safety/batch"
)

var options = batch.Options{MaxWrites: 3, MaxQueue: 4, MaxInFlight: 1}

func add(id uint64, key string) batch.Add {
	return batch.Add{Write: batch.Write{ID: id, Put: table.Put{Key: key, Value: []byte("v")}}}
}

// run applies messages and returns the commands of the last one.
func run(options batch.Options, messages ...batch.Message) []string {
	state := batch.New(options)
	var commands []batch.Command
	for _, message := range messages {
		state, commands = state.Update(time.Unix(1, 0), message)
	}
	var texts []string
	for _, command := range commands {
		texts = append(texts, text(command))
	}
	return texts
}

func text(command batch.Command) string {
	switch c := command.(type) {
	case batch.Commit:
		keys := ""
		for _, put := range c.Puts {
			keys += put.Key
		}
		return fmt.Sprintf("commit %d %s", c.Txn, keys)
	case batch.Probe:
		return fmt.Sprintf("probe %d %v", c.Txn, c.Keys)
	case batch.Finish:
		return fmt.Sprintf("finish %d %d", c.ID, c.Result)
	case batch.Wake:
		return fmt.Sprintf("wake %v", c.After)
	}
	return "?"
}

func TestUpdate(t *testing.T) {
	threeQueued := []batch.Message{add(1, "a"), add(2, "b"), add(3, "c"), add(4, "d"), batch.Committed{Txn: 1}}
	tests := map[string]struct {
		options  batch.Options
		messages []batch.Message
		want     []string
	}{
		"first write is sent at once":                  {messages: []batch.Message{add(1, "a")}, want: []string{"commit 1 a"}},
		"second write is queued":                       {messages: []batch.Message{add(1, "a"), add(2, "b")}},
		"queued writes share a transaction":            {messages: threeQueued, want: []string{"finish 1 0", "commit 2 bcd"}},
		"one write to a row per transaction":           {messages: []batch.Message{add(1, "a"), add(2, "b"), add(3, "b"), batch.Committed{Txn: 1}}, want: []string{"finish 1 0", "commit 2 b"}},
		"full queue":                                   {messages: []batch.Message{add(1, "a"), add(2, "b"), add(3, "c"), add(4, "d"), add(5, "e"), add(6, "f")}, want: []string{"finish 6 4"}},
		"other writes are sent again after a conflict": {messages: append(threeQueued[:5:5], batch.Conflicted{Txn: 2, Key: "c"}), want: []string{"finish 3 1", "commit 2 bd"}},
		"second conflict reads versions":               {messages: append(threeQueued[:5:5], batch.Conflicted{Txn: 2, Key: "c"}, batch.Conflicted{Txn: 2, Key: "b"}), want: []string{"finish 2 1", "probe 2 [d]"}},
		"versions reveal another conflict":             {messages: append(threeQueued[:5:5], batch.Conflicted{Txn: 2, Key: "c"}, batch.Conflicted{Txn: 2, Key: "b"}, batch.Versions{Txn: 2, ByKey: map[string]uint64{"d": 9}}), want: []string{"finish 4 1"}},
		"writes with unread versions are sent":         {messages: append(threeQueued[:5:5], batch.Conflicted{Txn: 2, Key: "c"}, batch.Conflicted{Txn: 2, Key: "b"}, batch.Versions{Txn: 2}), want: []string{"commit 2 d"}},
		"lost transaction is unsure for all":           {messages: append(threeQueued[:5:5], batch.Lost{Txn: 2}), want: []string{"finish 2 2", "finish 3 2", "finish 4 2"}},
		"failed transaction fails all":                 {messages: append(threeQueued[:5:5], batch.Unavailable{Txn: 2}), want: []string{"finish 2 3", "finish 3 3", "finish 4 3"}},
		"unknown transaction":                          {messages: []batch.Message{batch.Conflicted{Txn: 7, Key: "a"}}},
		"interval delays a transaction":                {options: batch.Options{MaxWrites: 3, MaxQueue: 4, MaxInFlight: 2, Interval: time.Second}, messages: []batch.Message{add(1, "a"), add(2, "b")}, want: []string{"wake 1s"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.options == (batch.Options{}) {
				test.options = options
			}
			assert.Equal(t, test.want, run(test.options, test.messages...))
		})
	}
}

// TestEveryWriteEndsOnce replies to commands with random results until none is
// left. Each write must be finished exactly once.
func TestEveryWriteEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := batch.New(batch.Options{MaxWrites: 4, MaxQueue: 64, MaxInFlight: 2})
		var open []batch.Command
		ended := map[uint64]int{}
		update := func(message batch.Message) {
			var commands []batch.Command
			state, commands = state.Update(time.Unix(1, 0), message)
			for _, command := range commands {
				if finish, ok := command.(batch.Finish); ok {
					ended[finish.ID]++
					continue
				}
				open = append(open, command)
			}
		}
		count := rapid.IntRange(1, 40).Draw(t, "writes")
		for id := range count {
			update(add(uint64(id), rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")))
		}
		for len(open) > 0 {
			at := rapid.IntRange(0, len(open)-1).Draw(t, "at")
			command := open[at]
			open = append(open[:at:at], open[at+1:]...)
			update(answer(t, command))
		}
		for id := range count {
			require.Equal(t, 1, ended[uint64(id)])
		}
	})
}

func answer(t *rapid.T, command batch.Command) batch.Message {
	switch c := command.(type) {
	case batch.Commit:
		return rapid.SampledFrom([]batch.Message{
			batch.Committed{Txn: c.Txn}, batch.Lost{Txn: c.Txn}, batch.Unavailable{Txn: c.Txn},
			batch.Conflicted{Txn: c.Txn, Key: c.Puts[0].Key},
		}).Draw(t, "answer")
	case batch.Probe:
		versions := map[string]uint64{}
		for _, key := range c.Keys {
			versions[key] = uint64(rapid.IntRange(0, 1).Draw(t, "version"))
		}
		return batch.Versions{Txn: c.Txn, ByKey: versions}
	default:
		return batch.Tick{}
	}
}
