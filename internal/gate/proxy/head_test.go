package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// invalidHead answers with a head that is invalid and a body, and keeps the connection
// open; the head is that of a good answer, with replacements.
func invalidHead(replacements ...string) target {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 15\r\n\r\n"
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		conn, reader, _ := w.(http.Hijacker).Hijack()
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, strings.NewReplacer(replacements...).Replace(head)+"id: 1\ndata: x\n\n")
		_, _ = io.Copy(io.Discard, reader)
	}
}

// TestInvalidHeads has a target answer with a head that is invalid, most of them in
// ways that net/http accepts. No client may get such an answer: the request may have run, and
// another target answers it if it may be repeated.
func TestInvalidHeads(t *testing.T) {
	heads := map[string]target{
		"status 000":                       invalidHead("200 OK", "000 OK"),
		"status 000, without a reason":     invalidHead("200 OK", "000"),
		"status 000, refused":              invalidHead("200 OK", "000 Full", "Seal: s", "Not-Run: 1"),
		"status 099":                       invalidHead("200 OK", "099 OK"),
		"status 600":                       invalidHead("200 OK", "600 Error"),
		"status 999":                       invalidHead("200 OK", "999 Error"),
		"status with a sign":               invalidHead("200 OK", "+20 OK"),
		"status of a switch of protocol":   invalidHead("200 OK", "101 Switching Protocols"),
		"blank in a name":                  invalidHead("Seal: s", "Seal: s\r\nA b: c"),
		"blank at the end of a name":       invalidHead("Seal: s", "Seal: s\r\nA : b"),
		"blank after Content-Length":       invalidHead("Content-Length: 15", "Connection: close\r\nContent-Length : 15"),
		"blank after a second length":      invalidHead("Seal: s", "Seal: s\r\nContent-Length : 2"),
		"blank after Transfer-Encoding":    invalidHead("Seal: s", "Seal: s\r\nTransfer-Encoding : chunked"),
		"blank and no run":                 invalidHead("Seal: s", "Not-Run: 1\r\nA b: c", "200 OK", "503 Full"),
		"blank in a name of a failure":     invalidHead("200 OK", "500 Error", "Seal: s", "Seal: s\r\nA b: c"),
		"tab in a name":                    invalidHead("Seal: s", "Seal: s\r\nA\tb: c"),
		"tab at the end of a name":         invalidHead("Seal: s", "Seal: s\r\nA\t: b"),
		"zero byte in a name":              invalidHead("Seal: s", "Seal: s\r\nA\x00b: c"),
		"carriage return in a name":        invalidHead("Seal: s", "Seal: s\r\nA\rb: c"),
		"control byte in a name":           invalidHead("Seal: s", "Seal: s\r\nA\x01: b"),
		"delete in a name":                 invalidHead("Seal: s", "Seal: s\r\nA\x7f: b"),
		"name in place of the length":      invalidHead("Content-Length", "Content\x0bLength"),
		"empty name":                       invalidHead("Seal: s", "Seal: s\r\n: b"),
		"no name":                          invalidHead("Seal: s", "Seal: s\r\nA b"),
		"control byte in a value":          invalidHead("Seal: s", "Seal: s\r\nA: \x01"),
		"zero byte in a value":             invalidHead("Seal: s", "Seal: \x00"),
		"carriage return in a value":       invalidHead("Seal: s", "Seal: s\rA: b"),
		"folded line":                      invalidHead("Seal: s", "Seal: s\r\n A: b"),
		"folded line with a tab":           invalidHead("Seal: s", "Seal: s\r\n\tA: b"),
		"folded length":                    invalidHead("Content-Length: 15", "Connection: close\r\n Content-Length: 15"),
		"folded line of an interim answer": invalidHead("HTTP/1.1 200", "HTTP/1.1 100 Continue\r\nA: b\r\n C: d\r\n\r\nHTTP/1.1 200"),
		"folded line after an interim one": invalidHead("HTTP/1.1 200", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200", "Seal: s", "Seal: s\r\n A: b"),
		"folded blank line":                invalidHead("Seal: s", "Seal: s\r\n "),
		"too many fields":                  invalidHead("Seal: s", "Seal: s\r\n"+strings.Repeat("A:\n", 1000)+"B: c"),
		"folded first line":                invalidHead("Id: r1", " Id: r1"),
	}
	for name, head := range heads {
		for path, whole := range map[string]string{"/once/x": "", "/stream/x": "", "/safe/x": "good", "/resume/x": numbered("\n", 1, lastEvent)} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				next := target(good)
				if strings.HasPrefix(path, "/resume") {
					next = resuming("\n")
				}
				w := newFixture(t, []target{first(head, next), first(head, next)})
				got := w.send(t, path)
				require.NoError(t, got.err)
				if whole == "" {
					assert.Equal(t, http.StatusBadGateway, got.status)
					assert.Contains(t, got.body, `"ran":"unknown"`)
					assert.EqualValues(t, 1, w.arrivals.Load())
					return
				}
				assert.Equal(t, http.StatusOK, got.status)
				assert.Equal(t, whole, got.body)
				assert.EqualValues(t, 2, w.arrivals.Load())
			})
		}
	}
}
