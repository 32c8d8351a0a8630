// Package soak runs gateways as separate processes against stand-ins of the
// platform, with faults from outside, and checks what callers and targets see.
//
//	go test ./internal/tool/soak -run Soak -v -args -seed 7 -seconds 20 -hosts 6
//
// A seed repeats the plan of faults and requests, not their exact timing. It is
// all tests.
package soak
