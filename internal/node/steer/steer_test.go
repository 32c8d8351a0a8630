package steer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/node/steer"
	"github.com/cicadamill/cicadamill/internal/peer/hop"
	"github.com/cicadamill/cicadamill/internal/route/group"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// script describes how a fake node answers: how many chunks it sends and with
// which error it ends.
type script struct {
	chunks  int
	weights string
	err     error
	repeat  bool
}

const answerChunks = 4

func (s script) run(j job.Job, sink func(engine.Event) error) error {
	weights := s.weights
	if weights == "" {
		weights = "1"
	}
	if s.err == nil || s.chunks > 0 {
		if err := sink(engine.Accepted{Engine: "e", WeightVersion: weights}); err != nil {
			return err
		}
	}
	end := min(answerChunks, j.Offset+s.chunks)
	if s.err == nil {
		end = answerChunks
	}
	for i := j.Offset; i < end; i++ {
		for range 1 + map[bool]int{true: 1}[s.repeat] {
			if err := sink(engine.Token{Offset: i, Data: fmt.Append(nil, i)}); err != nil {
				return err
			}
		}
	}
	if s.err != nil {
		return s.err
	}
	return sink(engine.Done{})
}

// fakeFleet implements LocalRunner and Fleet and records the calls to all nodes.
type fakeFleet struct {
	homes   []steer.Home
	scripts map[string]script
	cells   int
	ids     []string
	offsets []int
	visits  []string
	doubted []string
}

func (w *fakeFleet) Candidates(job.Job) []group.Cell {
	return []group.Cell{{ID: "c0"}, {ID: "c1"}}[:w.cells]
}

func (w *fakeFleet) Best(j job.Job) (group.Cell, bool) {
	all := w.Candidates(j)
	if len(all) == 0 {
		return group.Cell{}, false
	}
	return all[0], true
}

func (w *fakeFleet) Run(_ context.Context, cell string, j job.Job, sink func(engine.Event) error) error {
	w.visits = append(w.visits, "here")
	w.ids, w.offsets = append(w.ids, j.ID), append(w.offsets, j.Offset)
	if s, ok := w.scripts["here "+cell]; ok {
		return s.run(j, sink)
	}
	return w.scripts["here"].run(j, sink)
}

func (w *fakeFleet) Homes(_, _ string, count int) []steer.Home {
	return w.homes[:min(count, len(w.homes))]
}

func (w *fakeFleet) ReportFailure(name string) { w.doubted = append(w.doubted, name) }

type fakeRemote struct{ w *fakeFleet }

func (r fakeRemote) Run(_ context.Context, address, _ string, j job.Job, sink func(engine.Event) error) error {
	r.w.visits = append(r.w.visits, address)
	r.w.ids, r.w.offsets = append(r.w.ids, j.ID), append(r.w.offsets, j.Offset)
	return r.w.scripts[address].run(j, sink)
}

func unreachableError() error {
	return &hop.LostError{Outcome: effect.NotRun{}, Cause: errors.New("refused")}
}

func lostNodeError() error {
	return &hop.LostError{Outcome: effect.Unknown{}, Cause: errors.New("reset")}
}

func refusedError(code string, outcome effect.Outcome) error {
	return &fault.Error{Code: code, Status: 503, Outcome: outcome}
}

func TestRun(t *testing.T) {
	others := []steer.Home{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}}
	self := []steer.Home{{Name: "me", Self: true}, {Name: "b", Address: "b"}}
	tests := map[string]struct {
		homes   []steer.Home
		scripts map[string]script
		visits  []string
		code    string
		outcome effect.Outcome
		doubted []string
	}{
		"this node is home":               {homes: self, visits: []string{"here"}},
		"no other node is known":          {visits: []string{"here"}},
		"home answers":                    {homes: others, visits: []string{"a"}},
		"home not reached":                {homes: others, scripts: map[string]script{"a": {err: unreachableError()}}, visits: []string{"a", "b"}, doubted: []string{"a"}},
		"both homes not reached":          {homes: others, scripts: map[string]script{"a": {err: unreachableError()}, "b": {err: unreachableError()}}, visits: []string{"a", "b", "here"}, doubted: []string{"a", "b"}},
		"home lost before the answer":     {homes: others, scripts: map[string]script{"a": {err: lostNodeError()}}, visits: []string{"a", "b"}, doubted: []string{"a"}},
		"home lost in the stream":         {homes: others, scripts: map[string]script{"a": {chunks: 2, err: lostNodeError()}}, visits: []string{"a", "b"}, doubted: []string{"a"}},
		"both lost in the stream":         {homes: others, scripts: map[string]script{"a": {chunks: 1, err: lostNodeError()}, "b": {chunks: 2, err: lostNodeError()}}, visits: []string{"a", "b", "here"}, doubted: []string{"a", "b"}},
		"home repeats chunks":             {homes: others, scripts: map[string]script{"a": {repeat: true}}, visits: []string{"a"}},
		"home has another configuration":  {homes: others, scripts: map[string]script{"a": {err: refusedError("unknownCell", effect.NotRun{})}}, visits: []string{"a", "b"}},
		"home refuses, and that is final": {homes: others, scripts: map[string]script{"a": {err: refusedError("tooLate", effect.NotRun{})}}, visits: []string{"a"}, code: "tooLate", outcome: effect.NotRun{}},
		"refused after a lost try": {homes: others, scripts: map[string]script{"a": {err: lostNodeError()}, "b": {err: refusedError("tooLate", effect.NotRun{})}},
			visits: []string{"a", "b"}, code: "tooLate", outcome: effect.Unknown{}, doubted: []string{"a"}},
		"refused after an unreached try": {homes: others, scripts: map[string]script{"a": {err: unreachableError()}, "b": {err: refusedError("tooLate", effect.NotRun{})}},
			visits: []string{"a", "b"}, code: "tooLate", outcome: effect.NotRun{}, doubted: []string{"a"}},
		"weights changed after a lost try": {homes: others, scripts: map[string]script{"a": {chunks: 1, err: lostNodeError()}, "b": {weights: "2"}, "here": {weights: "2"}},
			visits: []string{"a", "b", "here"}, code: "nodeLost", outcome: effect.Unknown{}, doubted: []string{"a", "b"}},
		"cell without engine":            {homes: self, scripts: map[string]script{"here c0": {err: refusedError("noEngine", effect.NotRun{})}}, visits: []string{"here", "here"}},
		"no cell has an engine":          {homes: self, scripts: map[string]script{"here": {err: refusedError("noEngine", effect.NotRun{})}}, visits: []string{"here", "here"}, code: "noEngine", outcome: effect.NotRun{}},
		"cell without engine, maybe ran": {homes: self, scripts: map[string]script{"here": {err: refusedError("noEngine", effect.Unknown{})}}, visits: []string{"here"}, code: "noEngine", outcome: effect.Unknown{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := &fakeFleet{homes: test.homes, scripts: test.scripts, cells: 2}
			chunks, err := run(w)
			assert.Equal(t, test.visits, w.visits)
			assert.Equal(t, test.doubted, w.doubted)
			if test.code == "" {
				require.NoError(t, err)
				assert.Equal(t, []string{"0", "1", "2", "3", "done"}, chunks)
				return
			}
			var failure *fault.Error
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, test.code, failure.Code)
			assert.IsType(t, test.outcome, failure.Outcome)
		})
	}
}

func run(w *fakeFleet) ([]string, error) {
	var chunks []string
	s := steer.New(w, fakeRemote{w}, w, tally.NoopScope)
	err := s.Run(context.Background(), job.Job{ID: "j", WeightVersion: "1"}, func(event engine.Event) error {
		switch e := event.(type) {
		case engine.Token:
			chunks = append(chunks, string(e.Data))
		case engine.Done:
			chunks = append(chunks, "done")
		}
		return nil
	})
	return chunks, err
}

func TestNextAttemptResumesAtTheOffset(t *testing.T) {
	w := &fakeFleet{cells: 1, homes: []steer.Home{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}},
		scripts: map[string]script{"a": {chunks: 1, err: lostNodeError()}, "b": {chunks: 2, err: lostNodeError()}}}
	_, err := run(w)
	require.NoError(t, err)
	assert.Equal(t, []int{0, 1, 3}, w.offsets)
}

func TestFailedHomeIsAvoidedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeFleet{homes: []steer.Home{{Name: "a", Address: "a"}}, scripts: map[string]script{"a": {err: unreachableError()}}, cells: 1}
		scope := tally.NewTestScope("", nil)
		s := steer.New(w, fakeRemote{w}, w, scope)
		for range 3 {
			require.NoError(t, s.Run(context.Background(), job.Job{}, func(engine.Event) error { return nil }))
		}
		assert.Equal(t, []string{"a", "here", "here", "here"}, w.visits)
		time.Sleep(3 * time.Second)
		require.NoError(t, s.Run(context.Background(), job.Job{}, func(engine.Event) error { return nil }))
		assert.Equal(t, []string{"a", "here"}, w.visits[4:])
		assert.EqualValues(t, 2, scope.Snapshot().Counters()["steer_lost_not_run+"].Value())
	})
}

// isNotRun reports whether an error says that the request has not run, so that the
// node can't have sent any chunk.
func isNotRun(err error) bool {
	var lostError *hop.LostError
	outcome := fault.From(err).Outcome
	if errors.As(err, &lostError) {
		outcome = lostError.Outcome
	}
	_, notRun := outcome.(effect.NotRun)
	return err != nil && notRun
}

// draw draws a random script for a node.
func draw(t *rapid.T, node string) script {
	s := script{chunks: rapid.IntRange(0, 2).Draw(t, node+" chunks"), repeat: rapid.Bool().Draw(t, node+" repeats")}
	s.weights = rapid.SampledFrom([]string{"1", "1", "2"}).Draw(t, node+" weights")
	s.err = rapid.SampledFrom([]error{nil, unreachableError(), lostNodeError(), refusedError("tooLate", effect.NotRun{}), refusedError("noEngine", effect.NotRun{}), refusedError("unknownCell", effect.NotRun{})}).Draw(t, node)
	if isNotRun(s.err) {
		s.chunks = 0
	}
	return s
}

// TestWholeStreamOrHonestError has any node fail at any point. The caller must get
// each chunk once and in order, an end only after all chunks, and "not run" only
// without chunks. The number of attempts must stay bounded.
func TestWholeStreamOrHonestError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &fakeFleet{cells: 2, homes: []steer.Home{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}}, scripts: map[string]script{"a": draw(t, "a"), "b": draw(t, "b"), "here": draw(t, "here")}}
		chunks, err := run(w)
		if len(w.visits) > 6 {
			t.Fatalf("%d attempts", len(w.visits))
		}
		slices.Sort(w.ids)
		if len(slices.Compact(w.ids)) != len(w.visits) {
			t.Fatal("two attempts share an ID")
		}
		for i, chunk := range chunks {
			if chunk != "done" && chunk != fmt.Sprint(i) {
				t.Fatalf("chunks %v", chunks)
			}
		}
		whole := len(chunks) == answerChunks+1
		if whole != (err == nil) {
			t.Fatalf("chunks %v, error %v", chunks, err)
		}
		_, notRun := fault.From(err).Outcome.(effect.NotRun)
		if err != nil && notRun && len(chunks) > 0 {
			t.Fatal("\"not run\" after chunks")
		}
	})
}

// TestReconnectedCallerGetsAccepted has a caller resume after two chunks. Its
// connection is a new one, so it must still get the Accepted event.
func TestReconnectedCallerGetsAccepted(t *testing.T) {
	w := &fakeFleet{homes: []steer.Home{{Name: "a", Address: "a"}}, cells: 1}
	var events []string
	s := steer.New(w, fakeRemote{w}, w, tally.NoopScope)
	require.NoError(t, s.Run(context.Background(), job.Job{ID: "j", WeightVersion: "1", Offset: 2}, func(event engine.Event) error {
		events = append(events, fmt.Sprintf("%T", event))
		return nil
	}))
	assert.Equal(t, []string{"engine.Accepted", "engine.Token", "engine.Token", "engine.Done"}, events)
}
