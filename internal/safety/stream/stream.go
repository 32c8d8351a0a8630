// Package stream keeps the promise that a caller's stream is complete and in
// order, across attempts on several engines.
//
// The slice takes every event of every attempt and lets through each chunk
// once, in order, from the current attempt only.
package stream

import (
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// State is the position of one stream.
type State struct {
	attempt int
	next    int
	weights string
	ended   bool
}

// Verdict is what to do with an event. It is one of [Pass], [Drop] or [Fail].
type Verdict interface{ verdict() }

// Pass hands the event to the caller.
type Pass struct{}

// Drop discards the event: it is late, repeated or of another attempt.
type Drop struct{}

// Fail ends the attempt: what follows can't be one stream with what was sent.
type Fail struct {
	// Reason is a text for logs.
	Reason string
}

func (Pass) verdict() {}
func (Drop) verdict() {}
func (Fail) verdict() {}

// From returns the position of a stream of which the caller has some chunks
// from an earlier connection, computed by these weights.
func From(weights string, next int) State {
	if next == 0 {
		return State{}
	}
	return State{weights: weights, next: next}
}

// Begin makes an attempt the current one. Events of any other are dropped from
// now on.
func (s State) Begin(attempt int) State {
	s.attempt = attempt
	return s
}

// Next returns the offset of the chunk that the caller needs next.
func (s State) Next() int { return s.next }

// WeightVersion returns the version of the weights that answered so far; empty
// before the first event.
func (s State) WeightVersion() string { return s.weights }

// Ended reports whether the caller has the whole stream.
func (s State) Ended() bool { return s.ended }

// Update takes an event of an attempt and returns the new state and a verdict.
//
//	state, verdict := state.Update(1, engine.Token{Offset: 0, Data: chunk})
func (s State) Update(attempt int, event engine.Event) (State, Verdict) {
	if attempt != s.attempt || s.ended {
		return s, Drop{}
	}
	switch e := event.(type) {
	case engine.Accepted:
		return s.accept(e)
	case engine.Token:
		return s.token(e)
	case engine.Done:
		s.ended = true
		return s, Pass{}
	default:
		return s, Drop{}
	}
}

func (s State) accept(e engine.Accepted) (State, Verdict) {
	if s.next > 0 && (e.WeightVersion != s.weights || e.WeightVersion == "") {
		return s, Fail{Reason: "the weights changed in the middle of the stream"}
	}
	s.weights = e.WeightVersion
	return s, Pass{}
}

func (s State) token(e engine.Token) (State, Verdict) {
	switch {
	case e.Offset < s.next:
		return s, Drop{}
	case e.Offset > s.next:
		return s, Fail{Reason: "a chunk is missing"}
	default:
		s.next++
		return s, Pass{}
	}
}
