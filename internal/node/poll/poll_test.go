package poll

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// fake is an engine whose list of events grows.
type fake struct {
	engine.Client
	incarnation string
	events      int
	down        bool
	asked       []uint64
}

func (f *fake) Load(context.Context) (engine.LoadReport, error) {
	if f.down {
		return engine.LoadReport{}, errors.New("down")
	}
	return engine.LoadReport{Incarnation: f.incarnation}, nil
}

func (f *fake) Events(_ context.Context, after uint64) (engine.CacheEvents, error) {
	f.asked = append(f.asked, after)
	batch := engine.CacheEvents{Incarnation: f.incarnation}
	for seq := after + 1; seq <= uint64(f.events); seq++ {
		batch.Events = append(batch.Events, engine.CacheEvent{Seq: seq})
	}
	return batch, nil
}

func TestPoll(t *testing.T) {
	tests := map[string]struct {
		change  func(*fake)
		asked   []uint64
		batches int
		again   bool
	}{
		"resumes at its position":  {change: func(f *fake) { f.events = 5 }, asked: []uint64{0, 3}, batches: 2},
		"restarts with the engine": {change: func(f *fake) { f.incarnation, f.events = "2", 1 }, asked: []uint64{0, 0}, batches: 2},
		"nothing new":              {change: func(*fake) {}, asked: []uint64{0, 3}, batches: 1},
		"down":                     {change: func(f *fake) { f.down = true }, asked: []uint64{0}, batches: 1},
		"too many events":          {change: func(f *fake) { f.events = 5000 }, asked: []uint64{0, 3}, batches: 1, again: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{incarnation: "1", events: 3}
				batches := 0
				p := New(func() []string { return []string{"a"} }, func(string) (engine.Client, bool) { return f, true }, count(&batches), tally.NoopScope)
				p.positions = map[string]position{}
				p.round(t.Context())
				test.change(f)
				p.round(t.Context())
				if test.again {
					p.round(t.Context())
				}
				assert.Equal(t, test.asked, f.asked)
				assert.Equal(t, test.batches, batches)
			})
		})
	}
}

// count returns a function that counts the batches of cache events.
func count(batches *int) func(context.Context, string, cell.Message) {
	return func(_ context.Context, _ string, m cell.Message) {
		if _, ok := m.(cell.CacheEvents); ok {
			*batches++
		}
	}
}

func TestServePollsUntilItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{incarnation: "1"}
		p := New(func() []string { return []string{"a"} }, func(string) (engine.Client, bool) { return f, true },
			func(context.Context, string, cell.Message) {}, tally.NoopScope)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.ErrorIs(t, p.Serve(ctx), context.DeadlineExceeded)
		assert.Greater(t, len(f.asked), 20)
	})
}
