package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

// server is a stand-in of an engine or of a plain target.
type server struct {
	id, service, model string
	slots              int
	address            string
	// run answers a request that begins to run. It returns false to close the connection.
	run func(conn net.Conn, r *http.Request, body []byte) bool
	// serveConn serves a whole connection in place of run, if set.
	serveConn func(conn net.Conn, in *bufio.Reader)
}

// start makes the server listen and lists it in the store.
func (s *server) start(store *fake.Store) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("server: %v", err)
	}
	s.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": "tema", "version": 1, "slots": s.slots, "state": "ready", "coldLeftMs": 0,
		"seq": 1, "born": time.Now().UnixMilli(),
	}
	if s.model != "" {
		entry["stage"], entry["models"] = "unified", []map[string]any{{"name": s.model, "version": 1, "adapters": []any{}}}
	}
	if err := store.Put("servers", s.id, entry); err != nil {
		fail("list of servers: %v", err)
	}
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	if s.serveConn != nil {
		s.serveConn(conn, in)
		return
	}
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if want := r.Header.Get("X-Cicadamill-Expect-Instance"); want != "" && want != s.id {
			answer(conn, r, "421 Misdirected Request", "X-Cicadamill-Not-Executed: 1\r\n", nil)
			continue
		}
		switch r.URL.Path {
		case "/cicadamill/report":
			answer(conn, r, "200 OK", "Content-Type: application/json\r\n", fmt.Appendf(nil,
				`{"stage":"unified","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":129972,"handles":0}`, s.model))
		case "/cicadamill/kv-events":
			time.Sleep(500 * time.Millisecond)
			answer(conn, r, "200 OK", "Content-Type: application/json\r\n", []byte(`{"bootEpoch":77120,"next":1,"lost":false,"events":[]}`))
		case "/cicadamill/kv-list":
			answer(conn, r, "200 OK", "Content-Type: application/json\r\n", []byte(`{"bootEpoch":77120,"next":1,"held":[]}`))
		default:
			if !s.run(conn, r, body) {
				return
			}
		}
	}
}

// sealed are the header fields of a server's answer to a request.
func sealed(r *http.Request) string {
	id := r.Header.Get("X-Cicadamill-Request-Id")
	return "X-Cicadamill-Request-Id: " + id + "\r\nX-Cicadamill-Response-Seal: 3e1b." + id + "\r\n"
}

// answer writes a whole answer with a length.
func answer(conn net.Conn, r *http.Request, status, header string, body []byte) {
	if id := r.Header.Get("X-Cicadamill-Request-Id"); id != "" && header == "" {
		header = sealed(r)
	}
	_, _ = conn.Write(fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body))
}
