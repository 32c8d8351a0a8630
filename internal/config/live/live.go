// Package live holds the configuration that is in force on this node.
package live

import (
	"sync/atomic"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// Applied is the configuration in force. Readers always see one whole version.
type Applied struct {
	current atomic.Pointer[version]
}

type version struct {
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

// Config returns the configuration in force.
func (a *Applied) Config() site.Config { return a.current.Load().config }

// Version returns the number of the configuration in force; zero means none.
func (a *Applied) Version() uint64 { return a.current.Load().number }

// Text returns the text of the configuration in force, when it was applied
// with one.
func (a *Applied) Text() []byte { return a.current.Load().text }

// Apply puts a configuration in force if it is newer than the present one, and
// reports whether it was.
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
