// Package epoch orders the versions of a store across its restorations from a backup. A
// restored store gives out versions again that it had given to rows which it has lost;
// with the number of restorations in front, versions only rise and name one row each.
package epoch

// counterBits is the number of bits of the store's own counter.
const counterBits = 40

// Version is a version of a store: the number of its restorations, and its counter since
// the last one. Zero means that there is no row.
type Version uint64

// New returns the version with a counter in an epoch.
//
//	version := epoch.New(2, 67)
//	version.Counter() // 67
func New(epoch, counter uint64) Version { return Version(epoch<<counterBits | counter) }

// Epoch returns the number of restorations.
func (v Version) Epoch() uint64 { return uint64(v) >> counterBits }

// Counter returns the store's counter.
func (v Version) Counter() uint64 { return uint64(v) & (1<<counterBits - 1) }
