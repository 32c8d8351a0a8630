// Package relay benchmarks the path of a stream through a node, with
// [net/http/httputil.ReverseProxy] as the baseline. It contains only tests.
//
//	go test ./internal/tool/relay -run '^$' -bench . -benchtime 1x
package relay
