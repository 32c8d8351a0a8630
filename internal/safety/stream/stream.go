// Package stream ensures that a client receives a complete stream in order, even
// if several attempts on different engines produce it.
//
// It processes the events of all attempts and passes on each chunk once, in
// order, and from the current attempt only.
package stream

import (
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// State is the progress of one stream.
type State struct {
	attempt int
	next    int
	weights string
	ended   bool
}

// Verdict is the decision on an event. It is one of [Pass], [Drop] or [Fail].
type Verdict interface{ verdict() }

// Pass sends the event to the client.
type Pass struct{}

// Drop discards the event, which is late, repeated or of another attempt.
type Drop struct{}

// Fail ends the attempt, because its events can't continue the stream sent so far.
type Fail struct {
	// Reason is a text for logs.
	Reason string
}

func (Pass) verdict() {}
func (Drop) verdict() {}
func (Fail) verdict() {}

// Resume returns the state of a stream that a client resumes on a new connection at
// the offset next. The chunks it already has were computed with these weights.
func Resume(weights string, next int) State {
	if next == 0 {
		return State{}
	}
	return State{weights: weights, next: next}
}

// Begin makes an attempt the current one. Events of other attempts are dropped
// from then on.
func (s State) Begin(attempt int) State {
	s.attempt = attempt
	return s
}

// Next returns the offset of the next chunk to send to the client.
func (s State) Next() int { return s.next }

// WeightVersion returns the version of the weights that the stream is computed
// with; empty before the first event.
func (s State) WeightVersion() string { return s.weights }

// Ended reports whether the stream is complete.
func (s State) Ended() bool { return s.ended }

// Update processes an event of an attempt and returns the new state and a verdict.
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
