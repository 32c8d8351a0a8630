// Package procs tests a deployment of separate processes on loopback. It builds
// the binary, starts routers and stand-ins, sends load, kills and restarts
// processes by a seeded plan, and compares the responses to callers with the
// requests that engines and services ran. It contains only tests.
//
//	go test ./internal/tool/procs -v
//	go test ./internal/tool/procs -v -args -long -seed 7
package procs
