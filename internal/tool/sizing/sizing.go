// Package sizing works out what each role of a node costs at a fleet's size,
// from slopes that were measured with this code.
//
// The page docs/CAPACITY.md is printed by this package, and a test holds the
// page to it, so that the page can't drift from the slopes.
package sizing
