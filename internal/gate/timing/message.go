package timing

import (
	"time"

	"github.com/zeebo/xxh3"
)

// Instance is one start of a target.
type Instance struct {
	ID string
	// Born is the start time in Unix milliseconds.
	Born int64
}

// key identifies the instance in reports, in which its name would be the largest part.
func (i Instance) key() uint32 { return uint32(xxh3.HashStringSeed(i.ID, uint64(i.Born))) } //nolint:gosec // The low half of the hash.

// Answer is an observed time to the first token, or to the answer of a plain target.
type Answer struct {
	Service  string
	Instance Instance
	// Ahead is the number of prompt tokens that were known to be ahead of the request
	// when it was sent.
	Ahead int
	// Own is the number of the request's own tokens that needed prefill.
	Own int
	// Took is the time from the sending to the first token, without the time to copy
	// cached parts.
	Took time.Duration
	// Unsure is true if Took includes something else that the model doesn't have, such
	// as a copy between engines. It then says nothing of the service.
	Unsure bool
}

// Model describes the engines of one service: the time to the first token is Base plus
// PerToken for each prompt token that the engine prefills until then.
type Model struct {
	_ struct{} `cbor:",toarray"`
	// Base is the time to the first token without waiting and without prefill; of a
	// plain service, the time of a request that does not wait.
	Base time.Duration `json:"baseNanos"`
	// PerToken is the prefill time per prompt token.
	PerToken time.Duration `json:"perTokenNanos"`
	// Samples is the number of answers that the model was learned from, up to
	// settledSamples.
	Samples int `json:"samples"`
}

// Sample is one answer, for the model of its service. Its time is that at an engine of
// the service's usual speed.
type Sample struct {
	_      struct{} `cbor:",toarray"`
	Ahead  int
	Own    int
	Micros int
}

// Ratios are the answers of one instance since the last report.
type Ratios struct {
	_        struct{} `cbor:",toarray"`
	Instance uint32
	Count    int
	// Percent is 100 times the mean logarithm of the actual over the expected time at an
	// instance of usual speed.
	Percent int
	// Clean is the number of answers without known work ahead, CleanPercent like Percent
	// for these and the time without waiting.
	Clean, CleanPercent int
}

// Speed is the usual speed of one instance.
type Speed struct {
	_        struct{} `cbor:",toarray"`
	Instance uint32   `json:"instance"`
	// Percent is 100 times the logarithm of the factor on the times of the model.
	Percent int `json:"percent"`
}

// Learned is all that was learned of services and instances.
type Learned struct {
	// Models are the models by service.
	Models map[string]Model `json:"models"`
	// Speeds are the speeds of instances that don't have the usual one.
	Speeds []Speed `json:"speeds,omitempty"`
}

// Report is what one node tells another. Samples and ratios are sent once each: a lost
// message loses some answers, of which there are more than needed.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Samples are answers by service.
	Samples map[string][]Sample
	// Ratios are the answers by instance.
	Ratios []Ratios
	// Models and Speeds are all that the sender has learned. They are sent to a node
	// that has asked for them.
	Models map[string]Model
	Speeds []Speed
	// Asks is true while the sender has received no models since its start.
	Asks bool
}
