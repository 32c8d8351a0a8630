// Package sizing estimates the cost of each role of a node for a given fleet
// size from measured slopes: costs per request, engine, workspace or other unit.
//
// It prints the tables of docs/CAPACITY.md. A test compares the page with the
// output, so that the page always matches the recorded slopes.
package sizing
