// Package mark bounds the age of rows that nobody saw being written. The store reports
// no write times, but each of its responses has its newest version and its clock: a
// row with a higher version was written later.
package mark

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/infra/epoch"
)

// maxMarks bounds the length of a [History].
const maxMarks = 12

// Mark is a moment of the store.
type Mark struct {
	// Version is the store's newest version at that moment.
	Version uint64 `json:"version"`
	// ClockMillis is the store's clock at that moment.
	ClockMillis int64 `json:"clockMillis"`
}

// History is a list of marks in ascending order. It is stored with a row that is
// written often.
type History []Mark

// Add returns the history with a later mark. A mark without a version is ignored: the
// store reports none.
func (h History) Add(m Mark) History {
	if m.Version == 0 || len(h) > 0 && m.ClockMillis < h[len(h)-1].ClockMillis {
		return h
	}
	h = append(h[:len(h):len(h)], m)
	return h[max(0, len(h)-maxMarks):]
}

// WrittenAfter returns a time by the store's clock after which a row of the given
// version was written; false if the history has no older mark. A restored store has rows
// that were written before the restoration, so that the counters are compared: those of
// marks from before it are either of the same numbering, or of an earlier time.
func (h History) WrittenAfter(version uint64) (time.Duration, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].Version < version && epoch.Version(h[i].Version).Counter() < epoch.Version(version).Counter() {
			return time.Duration(h[i].ClockMillis) * time.Millisecond, true
		}
	}
	return 0, false
}

// WrittenBefore returns a time by the store's clock before which a row of the given
// version was written; false if the history has no mark that is as new as it.
func (h History) WrittenBefore(version uint64) (time.Duration, bool) {
	for _, m := range h {
		if m.Version >= version {
			return time.Duration(m.ClockMillis) * time.Millisecond, true
		}
	}
	return 0, false
}
