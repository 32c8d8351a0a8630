// Package soak runs gateways as separate processes against stand-ins of the
// platform, injects faults from outside the processes, and checks what callers
// and targets observe. It contains only tests.
//
//	go test ./internal/tool/soak -run Soak -v -args -seed 7 -seconds 20 -hosts 6
//
// A seed reproduces the plan of faults and requests, but not their exact timing.
package soak
