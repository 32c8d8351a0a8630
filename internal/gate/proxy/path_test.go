package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/proxy"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
)

// rawTarget is a target that records the request lines and bodies that it gets.
type rawTarget struct {
	listener net.Listener
	lines    chan string
	bodies   chan string
}

func newRawTarget(t testing.TB) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &rawTarget{listener: listener, lines: make(chan string, 16), bodies: make(chan string, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

// serve answers requests on a connection without interpreting their target.
func (r *rawTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		id, length := "", 0
		for {
			field, err := in.ReadString('\n')
			if err != nil || field == "\r\n" {
				break
			}
			name, value, _ := strings.Cut(strings.TrimSpace(field), ": ")
			switch name {
			case "Id":
				id = value
			case "Content-Length":
				_, _ = fmt.Sscan(value, &length)
			}
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		r.lines <- strings.TrimRight(line, "\r\n")
		r.bodies <- string(body)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 4\r\n\r\ngood", id)
	}
}

// sendLine sends a request with a request target as it is through a gateway, and returns
// the status and what the target got; empty if it got nothing.
func sendLine(t testing.TB, w *fixture, r *rawTarget, method, uri, body string) (status int, line, got string) {
	t.Helper()
	conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(longTimeout)))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", method, uri, len(body), body)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	select {
	case line = <-r.lines:
		got = <-r.bodies
	default:
	}
	return response.StatusCode, line, got
}

// newPathFixture returns a gateway with one target and a route for all paths.
func newPathFixture(t testing.TB) (*fixture, *rawTarget) {
	t.Helper()
	r := newRawTarget(t)
	w := newFixture(t, nil, func(o *proxy.Options) {
		p := plan.New(plan.Plan{Version: 1, HasWorkspaces: true, Services: map[string]plan.Service{"app": {Name: "app", MaxConns: 50}}},
			[]plan.Route{{Name: "all", Host: "a.example", Prefix: "/", Kind: plan.AtMostOnce, Splits: []plan.Split{{Service: "app", Weight: 1}}, Timeout: longTimeout, Objective: longTimeout / 2, Attempts: 1}},
			map[string]plan.Workspace{"k": {Name: "members", Priority: -1}})
		o.Plan = func() *plan.Plan { return p }
		o.Picker.SetPlan(p)
		o.Picker.SetTargets(map[string]roster.Target{"t0": {ID: "t0", Born: 1, Service: "app", Address: r.listener.Addr().String(), Slots: 8}})
	})
	return w, r
}

// TestRequestLinesAreUnchanged guards against requests that reach the target with another
// method, path, query or body.
func TestRequestLinesAreUnchanged(t *testing.T) {
	paths := map[string]string{
		"plain": "/x/y", "root": "/", "two slashes": "//orders/7", "three slashes": "///orders", "two slashes alone": "//", "two slashes within": "/a//b",
		"two slashes, port": "//orders:99/7", "user": "//user@orders/7", "dot segments": "/a/./b/../c", "dots first": "/../a", "encoded dots": "/a/%2e%2e/b",
		"encoded slash": "/a%2Fb", "lower case escape": "/a%2fb", "encoded percent": "/a%25b", "encoded space": "/a%20b", "encoded letter": "/%61",
		"colon": "/a:b", "looks like a URL": "/http://b.example/x", "looks like a host": "/b.example", "empty query": "/a?", "query": "/a?b=c&d=%20+e",
		"two question marks": "/a?b?c", "slashes in the query": "/a?//b", "two slashes, empty query": "//a?", "two slashes, query": "//a?b", "semicolon": "/a;b=c?d;e",
		"backslash": `/a\b`, "pipe": "/a|b", "quotes": `/a"b'`, "brackets": "/a[b]{c}", "star": "/*", "tilde": "/~a", "at": "/@a", "not ASCII": "/é/日本",
		"control as escape": "/a%00b", "trailing slash": "/a/", "trailing dots": "/a/..", "exclamation": "/!$&'()*+,;=", "caret": "/a^b`c",
	}
	for name, path := range paths {
		for _, method := range []string{"POST", "GET", "PUT", "DELETE", "PATCH", "OPTIONS", "get", "X-Y"} {
			t.Run(name+", "+method, func(t *testing.T) {
				t.Parallel()
				w, r := newPathFixture(t)
				body := "body"
				if method == "GET" {
					body = ""
				}
				status, line, got := sendLine(t, w, r, method, path, body)
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, method+" "+path+" HTTP/1.1", line)
				assert.Equal(t, body, got)
			})
		}
	}
}

// TestOddRequestTargets says what is rejected instead of being passed on.
func TestOddRequestTargets(t *testing.T) {
	tests := map[string]struct {
		method, uri string
		status      int
	}{
		"bad escape":             {"POST", "/a%zz", http.StatusBadRequest},
		"cut escape":             {"POST", "/a%2", http.StatusBadRequest},
		"control":                {"POST", "/a\x01b", http.StatusBadRequest},
		"space":                  {"POST", "/a b", http.StatusBadRequest},
		"asterisk":               {"OPTIONS", "*", http.StatusBadRequest},
		"asterisk, other method": {"POST", "*", http.StatusBadRequest},
		"absolute form":          {"POST", "http://a.example/x", http.StatusBadRequest},
		"absolute, other host":   {"POST", "http://b.example/x", http.StatusBadRequest},
		"authority form":         {"CONNECT", "a.example:80", http.StatusBadRequest},
		"fragment":               {"POST", "/a#b", http.StatusBadRequest},
		"no slash":               {"POST", "a", http.StatusBadRequest},
		"two slashes, pipe":      {"POST", "//a|b", http.StatusBadRequest},
		"two slashes, not ASCII": {"POST", "//é", http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, r := newPathFixture(t)
			status, line, _ := sendLine(t, w, r, test.method, test.uri, "")
			assert.Equal(t, test.status, status)
			assert.Empty(t, line)
		})
	}
}

// FuzzRequestLines sends what net/http accepts and compares what the target gets.
func FuzzRequestLines(f *testing.F) {
	for _, path := range []string{"/", "//a", "/a//b", "/a/../b", "/a%2Fb?c=d", "/a?", "//?", "/%61", "/:", "/a;b", "///", "//a:b@c"} {
		f.Add(path, "body")
	}
	w, r := newPathFixture(f)
	f.Fuzz(func(t *testing.T, path, body string) {
		if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\r\n") || len(path)+len(body) > 4<<10 {
			t.Skip()
		}
		status, line, got := sendLine(t, w, r, "POST", path, body)
		switch status {
		case http.StatusOK:
			assert.Equal(t, "POST "+path+" HTTP/1.1", line)
			assert.Equal(t, body, got)
		default:
			assert.Equal(t, http.StatusBadRequest, status)
			assert.Empty(t, line)
		}
	})
}
