// Package live holds the active configuration of this node.
package live

import (
	"sync/atomic"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// Applied is the active configuration. Readers always see one complete version; it is
// safe for concurrent use.
type Applied struct {
	current atomic.Pointer[version]
}

type version struct {
	// set is false until the first call of Apply.
	set    bool
	number uint64
	text   []byte
	config site.Config
}

// New returns an Applied at version zero with an empty configuration.
//
//	applied := live.New()
//	applied.Apply(7, text, config)
func New() *Applied {
	a := &Applied{}
	a.current.Store(&version{})
	return a
}

// Config returns the active configuration.
func (a *Applied) Config() site.Config { return a.current.Load().config }

// Version returns the number of the active configuration; zero means the bootstrap
// configuration or none.
func (a *Applied) Version() uint64 { return a.current.Load().number }

// Text returns the text of the active configuration; nil if it was applied without
// one.
func (a *Applied) Text() []byte { return a.current.Load().text }

// Apply makes a configuration the active one if it is newer, and reports whether it
// did.
func (a *Applied) Apply(number uint64, text []byte, config site.Config) bool {
	next := &version{set: true, number: number, text: text, config: config}
	for {
		current := a.current.Load()
		if current.set && current.number >= number {
			return false
		}
		if a.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
