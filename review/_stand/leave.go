package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// leaveStreams is the number of streams, of which every leaveEvery-th is left.
	leaveStreams = 40
	leaveEvery   = 4
	// leaveTime is how long clients leave, from the beginning.
	leaveTime = 5 * time.Second
	// leaveAfter is when a client leaves. A stream has streamPieces, one each piecePause.
	leaveAfter   = 200 * time.Millisecond
	streamPieces = 20
	piecePause   = 30 * time.Millisecond
)

// playLeave has some clients leave in the middle of a stream: they close their sending
// side and read what still comes.
func playLeave(r *record, folder string, trouble bool) bool {
	store, address := startStore()
	configure(store, []route{{name: "post-query", prefix: "/q/", service: engines, kind: "stream", timeout: streamDeadline, objective: 400 * time.Millisecond, attempts: 1}})
	e := &server{id: "i-7f3a91c2", service: engines, model: modelName, slots: 128}
	e.run = func(conn net.Conn, request *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nX-Cicadamill-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", sealed(request))
		for piece := range streamPieces {
			time.Sleep(piecePause)
			if !writeChunk(conn, fmt.Appendf(nil, "id: %d\ndata: post\n\n", piece+1)) {
				return false
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	e.start(store)
	h := newHost("front-tema-1", folder, address, r)
	h.start()
	broken, began := 0, time.Now()
	for n := range leaveStreams {
		id, leaves := fmt.Sprintf("%016x", n+1), trouble && n%leaveEvery == 0 && time.Since(began) < leaveTime
		pieces, err := readStream(h.front, id, leaves)
		r.write("client: stream %s, leaves: %v; %d of %d pieces, end: %v", id, leaves, pieces, streamPieces, err)
		if err == nil && pieces < streamPieces {
			broken++
			r.write("rule: stream %s ended as complete after %d of %d pieces", id, pieces, streamPieces)
		}
	}
	r.write("%d of %d streams ended as complete before their last piece", broken, leaveStreams)
	return broken > 0
}

// readStream sends a streamed request and returns the number of pieces that came. The
// error is nil if the answer looks complete.
func readStream(address, id string, leaves bool) (pieces int, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /q/ HTTP/1.1\r\nHost: %s\r\nX-Cicadamill-Request-Id: %s\r\nX-Cicadamill-Deadline-Ms: 15000\r\nX-Cicadamill-Key: %s\r\nX-Cicadamill-Model: %s\r\nX-Cicadamill-Token-Count: 826,73\r\nX-Cicadamill-Prefix-Hash: 5c1e07a2:119,91bd3f06:79,%s:628\r\nContent-Length: 1\r\n\r\nq", hostName, id, apiKey, modelName, id)
	if err != nil {
		return 0, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && leaves {
		time.AfterFunc(leaveAfter, func() { _ = tcp.CloseWrite() })
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(response.Body)
	return bytes.Count(body, []byte("id: ")), err
}
