package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRequests measures ordinary requests through a gateway: short ones that may run
// once, and streams of twenty events.
func BenchmarkRequests(b *testing.B) {
	tests := map[string]struct {
		path   string
		target target
	}{
		"unary":  {"/once/x", good},
		"stream": {"/stream/x", events(20, 0)},
	}
	for name, test := range tests {
		b.Run(name, func(b *testing.B) {
			w := newFixture(b, []target{test.target})
			body := strings.Repeat("x", 800)
			b.ReportAllocs()
			for b.Loop() {
				request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, w.server.URL+test.path, strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				request.Host = "a.example"
				request.Header.Set("Id", "r1")
				request.Header.Set("Key", "k")
				response, err := http.DefaultTransport.RoundTrip(request)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
