package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// slashRequests is the number of requests of the case.
const slashRequests = 20

// playSlashes sends requests to a route whose prefix is a single slash. With the
// trouble their paths begin with two slashes.
func playSlashes(r *record, folder string, trouble bool) bool {
	store, address := startStore()
	configure(store, []route{{name: "pay", prefix: "/", service: plain, kind: "unsafe", timeout: 1500 * time.Millisecond, objective: 300 * time.Millisecond, attempts: 1}})
	var mu sync.Mutex
	ran := map[string]string{}
	target := &server{id: "i-7f3a91c2", service: plain, slots: 6, run: func(conn net.Conn, request *http.Request, _ []byte) bool {
		id := request.Header.Get("X-Cicadamill-Request-Id")
		mu.Lock()
		ran[id] = request.RequestURI
		mu.Unlock()
		r.write("server: runs %s: %s %s (Host: %s)", id, request.Method, request.RequestURI, request.Host)
		answer(conn, request, "200 OK", "", []byte("paid"))
		return true
	}}
	target.start(store)
	h := newHost("front-tema-1", folder, address, r)
	h.start()
	broken := 0
	for n := range slashRequests {
		id, path := fmt.Sprintf("%016x", n+1), fmt.Sprintf("/orders/%d?copy=%d", n, n)
		if trouble {
			path = "/" + path
		}
		status := sendRaw(h.front, id, path, "600")
		r.write("client: sent %s: POST %s, answered %s", id, path, status)
		mu.Lock()
		if seen, ok := ran[id]; ok && seen != path {
			broken++
			r.write("rule: %s was sent with the path %s and ran with the path %s", id, path, seen)
		}
		if len(ran) != n+1 {
			r.write("note: %d requests sent, %d ran", n+1, len(ran))
		}
		mu.Unlock()
	}
	r.write("%d of %d requests ran with another path", broken, slashRequests)
	return broken > 0
}

// sendRaw sends a request on a connection of its own and returns the status line.
func sendRaw(address, id, path, deadline string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Cicadamill-Request-Id: %s\r\nX-Cicadamill-Deadline-Ms: %s\r\nX-Cicadamill-Key: %s\r\nContent-Length: 3\r\n\r\npay", path, hostName, id, deadline, apiKey)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Status
}
