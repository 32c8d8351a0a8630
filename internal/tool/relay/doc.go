// Package relay holds benchmarks of the path of a stream through a node, with a
// plain reverse proxy as the yardstick. It has no code of its own outside its
// tests.
//
//	go test ./internal/tool/relay -run '^$' -bench . -benchtime 1x
package relay
