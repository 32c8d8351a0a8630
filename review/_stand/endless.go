package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// endlessHosts is the number of hosts, endlessEngines that of the engines, which all
	// send bytes without end.
	endlessHosts   = 2
	endlessEngines = 9
	// streamsPerSecond is the number of streams a second at one host: the rate of post-query
	// at the only machine of kasoa.
	streamsPerSecond = 10
	// paymentsPerSecond is the rate of the plain requests there.
	paymentsPerSecond = 6
	endlessTime       = 75 * time.Second
	streamDeadline    = 15 * time.Second
)

// endlessBytes is what a sick engine sends at once; it goes on with endlessChunk after
// each endlessPause.
const (
	endlessBytes = 1_000_000
	endlessChunk = 256
	endlessPause = 500 * time.Millisecond
)

// playEndless lets engines send bytes without end in place of the rest of an answer.
func playEndless(r *record, folder string, trouble bool) bool {
	store, address := startStore()
	configure(store, []route{{name: "book-pay", prefix: "/pay/", service: plain, kind: "unsafe", timeout: 1500 * time.Millisecond, objective: 300 * time.Millisecond, attempts: 1}, {name: "post-query", prefix: "/q/", service: engines, kind: "stream", timeout: streamDeadline, objective: 400 * time.Millisecond, attempts: 1}})
	var open atomic.Int32
	ran := &ranSet{ids: map[string]bool{}}
	for n := range 4 {
		t := &server{id: fmt.Sprintf("i-%08x", 100+n), service: plain, slots: 6}
		t.run = func(conn net.Conn, request *http.Request, _ []byte) bool {
			ran.add(request.Header.Get("X-Cicadamill-Request-Id"))
			time.Sleep(60 * time.Millisecond)
			answer(conn, request, "200 OK", "", []byte("paid"))
			return true
		}
		t.start(store)
	}
	for n := range endlessEngines {
		sick := trouble
		e := &server{id: fmt.Sprintf("i-%08x", n+1), service: engines, model: modelName, slots: 128}
		e.run = func(conn net.Conn, request *http.Request, _ []byte) bool {
			open.Add(1)
			defer open.Add(-1)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nX-Cicadamill-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", sealed(request))
			for event := range 20 {
				time.Sleep(15 * time.Millisecond)
				writeChunk(conn, fmt.Appendf(nil, "id: %d\ndata: post\n\n", event+1))
				if sick && event == 0 {
					sendEndless(conn)
					return false
				}
			}
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return true
		}
		e.start(store)
	}
	all := startFleet(endlessHosts, folder, address, r)
	ctx, cancel := context.WithTimeout(context.Background(), endlessTime)
	defer cancel()
	var clients sync.WaitGroup
	var number, whole, cut, refused, paid, lost atomic.Int64
	for _, h := range all {
		clients.Add(1)
		go func() {
			defer clients.Done()
			kept := make(chan *client, paymentsPerSecond)
			for range paymentsPerSecond {
				kept <- &client{address: h.front}
			}
			ticker := time.NewTicker(time.Second / paymentsPerSecond)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				c := <-kept
				clients.Add(1)
				go func() {
					defer clients.Done()
					defer func() { kept <- c }()
					id := fmt.Sprintf("%016x", number.Add(1))
					status, _ := c.post(id, "/pay/", 3*time.Second)
					r.write("client: payment %s, answered %s, a target had begun to run it: %v", id, status, ran.has(id))
					switch {
					case status == "200 OK":
						paid.Add(1)
					case status == "cut" && ran.has(id):
						lost.Add(1)
						r.write("client: the connection of payment %s ended without an answer; a sound target had run it", id)
					}
				}()
			}
		}()
		clients.Add(1)
		go func() {
			defer clients.Done()
			ticker := time.NewTicker(time.Second / streamsPerSecond)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					id := fmt.Sprintf("%016x", number.Add(1))
					end := sendStream(ctx, h.front, id)
					r.write("client: stream %s, end: %s", id, end)
					switch end {
					case "whole":
						whole.Add(1)
					case "refused":
						refused.Add(1)
					default:
						cut.Add(1)
					}
				}()
			}
		}()
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
			for _, h := range all {
				h.mu.Lock()
				r.write("host %s: peak of anonymous memory %d KB, %d streams open at engines, ended over its limit %d times, otherwise %d times", h.name, h.peakKB, open.Load(), h.overLimit, h.ownEnds)
				h.mu.Unlock()
			}
		}
	}
	clients.Wait()
	r.write("clients: %d streams whole, %d cut, %d refused", whole.Load(), cut.Load(), refused.Load())
	fallen := fallenHosts(r, all)
	r.write("clients: %d payments answered, %d run and cut without an answer", paid.Load(), lost.Load())
	r.write("rule Fault: processes of %d hosts ended by themselves three times, of at most 1", fallen)
	return fallen >= 2
}

// fallenHosts returns the number of hosts whose process ended by itself three times.
func fallenHosts(r *record, all []*host) int {
	fallen := 0
	for _, h := range all {
		h.mu.Lock()
		r.write("host %s: peak of anonymous memory %d KB, ended over its limit %d times, otherwise %d times", h.name, h.peakKB, h.overLimit, h.ownEnds)
		if h.overLimit+h.ownEnds >= 3 {
			fallen++
		}
		h.mu.Unlock()
	}
	return fallen
}

func writeChunk(conn net.Conn, data []byte) bool {
	_, err := conn.Write(fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data))
	return err == nil
}

// sendEndless sends bytes that are no answer until the caller closes.
func sendEndless(conn net.Conn) {
	data := bytes.Repeat([]byte{'x'}, endlessBytes)
	for writeChunk(conn, data) {
		data = data[:endlessChunk]
		time.Sleep(endlessPause)
	}
}

// sendStream sends a streamed request and reads the answer.
func sendStream(ctx context.Context, address, id string) string {
	ctx, cancel := context.WithTimeout(ctx, streamDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/q/", bytes.NewReader(bytes.Repeat([]byte{'q'}, 1700)))
	if err != nil {
		return err.Error()
	}
	request.Host = hostName
	request.Close = true
	for name, value := range map[string]string{
		"X-Cicadamill-Request-Id": id, "X-Cicadamill-Deadline-Ms": fmt.Sprint(streamDeadline.Milliseconds()), "X-Cicadamill-Key": apiKey,
		"X-Cicadamill-Model": modelName, "X-Cicadamill-Token-Count": "826,73",
		"X-Cicadamill-Prefix-Hash": fmt.Sprintf("5c1e07a2:119,%x:79,%x:628", rand.IntN(264)+1, rand.Uint32()),
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	switch {
	case err != nil:
		return "cut"
	case response.StatusCode == http.StatusOK:
		return "whole"
	default:
		return "refused"
	}
}
