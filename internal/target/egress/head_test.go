package egress

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestHeads scans answers in pieces of all sizes.
func TestHeads(t *testing.T) {
	tests := map[string]struct {
		text    string
		invalid bool
	}{
		"as many lines as there may be":   {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A:\n", maxLines-2) + "\nbody\n", false},
		"too many lines":                  {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A:\n", maxLines-1) + "\n", true},
		"too many interim answers":        {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxLines/2) + "HTTP/1.1 200 OK\r\n", true},
		"none":                            {"HTTP/1.1 200 OK\r\nA:  b\r\n\r\n body", false},
		"line feeds only":                 {"HTTP/1.1 200 OK\nA: b\n\n body\n body", false},
		"no field":                        {"HTTP/1.1 200 OK\r\n\r\n\tbody", false},
		"long line":                       {"HTTP/1.1 200 OK\r\nA: 0123456789012345678901234567890 \t\r\n\r\n", false},
		"after interim answers":           {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n body", false},
		"with a blank":                    {"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", true},
		"with a tab":                      {"HTTP/1.1 200 OK\nA: b\n\tC: d\n\n", true},
		"blank line":                      {"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n", true},
		"first field":                     {"HTTP/1.1 200 OK\r\n A: b\r\n\r\n", true},
		"in an interim answer":            {"HTTP/1.1 100 Continue\r\nA: b\r\n C: d\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		"after an interim answer":         {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", true},
		"after blanks before the status":  {"HTTP/1.1  100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", true},
		"after a reason that looks alike": {"HTTP/1.1 200 100\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.text); size++ {
				h, invalid := head{reading: true}, false
				for at := 0; at < len(test.text); at += size {
					invalid = h.scan([]byte(test.text[at:min(at+size, len(test.text))])) != nil || invalid
				}
				assert.Equal(t, test.invalid, invalid, size)
			}
		})
	}
}
