// Package procs tests whole processes on loopback: it builds the binary, starts
// routers and stand-ins, sends a load, kills and restarts them by a plan drawn
// from a seed, and checks what callers were told against what engines and
// services did. It has no code of its own outside its tests.
//
//	go test ./internal/tool/procs -v
//	go test ./internal/tool/procs -v -args -long -seed 7
package procs
