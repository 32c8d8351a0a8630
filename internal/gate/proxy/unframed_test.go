package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sealed begins a successful answer; its headers are not yet complete.
const sealed = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"

// closing ends a connection after an answer.
type closing func(conn *net.TCPConn)

func finish(conn *net.TCPConn) { _ = conn.CloseWrite() }

func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// bare writes an answer on the bare connection and closes it. It counts the requests
// that follow on the connection.
func bare(text string, end closing, reused *atomic.Int32) target {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		conn, reader, _ := w.(http.Hijacker).Hijack()
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, text)
		end(conn.(*net.TCPConn))
		if _, err := http.ReadRequest(reader.Reader); err == nil {
			reused.Add(1)
		}
	}
}

// TestUnframedAnswers guards against an answer without a length that a reset has cut
// off and that passes for a whole one, and against a request on a connection that has
// ended.
func TestUnframedAnswers(t *testing.T) {
	const closed, open = "Connection: close\r\n\r\n", "\r\n"
	const old, failure = "HTTP/1.0 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n", "HTTP/1.1 500 Error\r\nId: r1\r\nSeal: s\r\n"
	long := strings.Repeat("0123456789abcdef", 1<<14)
	tests := map[string]struct {
		path, text string
		end        closing
		status     int
		want       string
		arrivals   int32
	}{
		"whole, once":                     {"/once/x", sealed + closed + "whole", finish, 200, "whole", 1},
		"whole, repeatable":               {"/safe/x", sealed + closed + "whole", finish, 200, "whole", 1},
		"whole, without Connection":       {"/once/x", sealed + open + "whole", finish, 200, "whole", 1},
		"whole, of HTTP/1.0":              {"/once/x", old + "whole", finish, 200, "whole", 1},
		"whole and long":                  {"/once/x", sealed + closed + long, finish, 200, long, 1},
		"whole and empty":                 {"/once/x", sealed + closed, finish, 200, "", 1},
		"whole, a failure":                {"/once/x", failure + closed + "failed", finish, 500, "failed", 1},
		"reset before the body, once":     {"/once/x", sealed + closed, abort, 502, "", 1},
		"reset within the body, once":     {"/once/x", sealed + closed + "sho", abort, 502, "", 1},
		"reset within, without header":    {"/once/x", sealed + open + "sho", abort, 502, "", 1},
		"reset within, of HTTP/1.0":       {"/once/x", old + "sho", abort, 502, "", 1},
		"reset within a long body, once":  {"/once/x", sealed + closed + long, abort, 502, "", 1},
		"reset within a failure":          {"/once/x", failure + closed + "fai", abort, 502, "", 1},
		"reset before, repeatable":        {"/safe/x", sealed + closed, abort, 200, "good", 2},
		"reset within, repeatable":        {"/safe/x", sealed + closed + "sho", abort, 200, "good", 2},
		"reset within a long, repeatable": {"/safe/x", sealed + closed + long, abort, 200, "good", 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var reused atomic.Int32
			serve := first(bare(test.text, test.end, &reused), good)
			w := newFixture(t, []target{serve, serve})
			got := w.send(t, test.path)
			require.NoError(t, got.err)
			assert.Equal(t, test.status, got.status)
			if test.status == http.StatusBadGateway {
				assert.Contains(t, got.body, `"ran":"unknown"`)
			} else {
				assert.Equal(t, test.want, got.body)
			}
			assert.Equal(t, test.arrivals, w.arrivals.Load())
			for range 4 {
				next := w.send(t, test.path)
				require.NoError(t, next.err)
				assert.Equal(t, "good", next.body)
			}
			assert.Equal(t, test.arrivals+4, w.arrivals.Load())
			assert.Zero(t, reused.Load())
		})
	}
}

// framings are the ways in which a body may be sent, by name.
var framings = map[string]func(body string) string{
	"unframed":          func(body string) string { return sealed + "Connection: close\r\n\r\n" + body },
	"without any label": func(body string) string { return sealed + "\r\n" + body },
	"length": func(body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", sealed, len(body), body)
	},
	"chunks": func(body string) string {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", sealed, len(body), body)
	},
}

// numbered returns the events from one number to another, with a line end.
func numbered(lineEnd string, from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: x%d\n\n", i, i)
	}
	return strings.ReplaceAll(text, "\n", lineEnd)
}

// resuming sends the events after the one that the caller names.
func resuming(lineEnd string) target {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		seal(w, r)
		from, _ := strconv.Atoi(r.Header.Get("Resume"))
		_, _ = io.WriteString(w, numbered(lineEnd, from+1, lastEvent))
	}
}

// streamEnd is a way in which a stream of four events ends.
type streamEnd struct {
	// whole is the number of whole events, part what follows them.
	whole    int
	part     string
	end      closing
	complete bool
}

// lastEvent is the number of the last event of a complete stream.
const lastEvent = 4

// TestEndsOfStreams guards against a stream that a target has broken off, by a reset
// or within an event, and that ends as a complete one, and against a part of an event
// in what the client gets.
func TestEndsOfStreams(t *testing.T) {
	tests := map[string]streamEnd{
		"whole":                              {whole: lastEvent, end: finish, complete: true},
		"blank line after the last event":    {whole: lastEvent, part: "\n", end: finish, complete: true},
		"ends within a name":                 {whole: 2, part: "id: 3\nda", end: finish},
		"ends within data":                   {whole: 2, part: "id: 3\ndata: x", end: finish},
		"ends within a number":               {whole: 2, part: "id: ", end: finish},
		"ends after a line":                  {whole: 2, part: "id: 3\n", end: finish},
		"ends before the blank line":         {whole: 2, part: "id: 3\ndata: x3\n", end: finish},
		"last event lacks its blank line":    {whole: 3, part: "id: 4\ndata: x4\n", end: finish},
		"last event lacks its line end":      {whole: 3, part: "id: 4\ndata: x4", end: finish},
		"ends within the first event":        {whole: 0, part: "id: 1\ndata: x", end: finish},
		"ends within a comment":              {whole: 2, part: ": al", end: finish},
		"reset within an event":              {whole: 2, part: "id: 3\nda", end: abort},
		"reset before the blank line":        {whole: 2, part: "id: 3\ndata: x3\n", end: abort},
		"reset after an event":               {whole: 2, end: abort},
		"reset before the first event":       {whole: 0, end: abort},
		"reset after the last event":         {whole: lastEvent, end: abort},
		"reset between blank lines":          {whole: 2, part: "\n", end: abort},
		"reset within the end of the stream": {whole: 3, part: "id: 4\ndata: x4\n", end: abort},
	}
	for name, test := range tests {
		for ending, lineEnd := range map[string]string{"LF": "\n", "CRLF": "\r\n"} {
			for framing := range framings {
				t.Run(name+"/"+ending+"/"+framing, func(t *testing.T) {
					t.Parallel()
					test.check(t, framing, lineEnd)
				})
			}
		}
	}
}

// check sends the stream to a client whose route allows no resumption, and to one
// whose route does.
func (s streamEnd) check(t *testing.T, framing, lineEnd string) {
	part := strings.ReplaceAll(s.part, "\n", lineEnd)
	before, whole := numbered(lineEnd, 1, s.whole), numbered(lineEnd, 1, lastEvent)
	text := framings[framing](before + part)
	framed := framing == "length" || framing == "chunks"
	switch {
	case s.complete:
		whole += part
	case framed && strings.Trim(part, "\r\n") == "":
		// The target states this end, whatever happens to the connection then.
		whole, s.complete = before+part, true
	}
	for _, path := range []string{"/stream/x", "/resume/x"} {
		var reused atomic.Int32
		serve := first(bare(text, s.end, &reused), resuming(lineEnd))
		w := newFixture(t, []target{serve, serve})
		got := w.send(t, path)
		arrivals := int32(1)
		switch {
		case s.complete:
			require.NoError(t, got.err, path)
			assert.Equal(t, whole, got.body, path)
		case path == "/resume/x":
			require.NoError(t, got.err, path)
			assert.Equal(t, whole, got.body, path)
			arrivals = 2
		case before == "":
			assert.Equal(t, http.StatusBadGateway, got.status)
			assert.Contains(t, got.body, `"ran":"unknown"`)
		default:
			assert.Error(t, got.err, "a stream that is broken off looks complete")
			assert.Equal(t, before, got.body)
		}
		assert.Equal(t, arrivals, w.arrivals.Load(), path)
		next := w.send(t, path)
		require.NoError(t, next.err)
		assert.Equal(t, numbered(lineEnd, 1, lastEvent), next.body)
		if !framed {
			assert.Zero(t, reused.Load())
		}
	}
}
