package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyBytes is limits.bodyBytes of the configuration.
	bodyBytes = 4194304
	// uploadTime is how long a client takes to send a body.
	uploadTime = 2 * time.Second
	// usualClients is the number of clients of a host, burstClients that in a burst of 1.7
	// times the usual.
	usualClients = 14
	burstClients = 23
	// burstTime is how long a burst takes, burstPause the pause before it.
	burstTime     = 3 * time.Second
	burstPause    = 4 * time.Second
	bodiesHosts   = 2
	bodiesTargets = 4
	bodiesTime    = 100 * time.Second
)

// ranSet holds the requests that a sound target has begun to run.
type ranSet struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (s *ranSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[id] = true
}

func (s *ranSet) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// playBodies lets more clients than usual send the longest bodies that the configuration
// allows at the same time.
func playBodies(r *record, folder string, trouble bool) bool {
	store, address := startStore()
	configure(store, []route{{name: "order-check", prefix: "/q/", service: plain, kind: "safe", timeout: 5 * time.Second, objective: 500 * time.Millisecond, attempts: 2}})
	ran := &ranSet{ids: map[string]bool{}}
	for n := range bodiesTargets {
		t := &server{id: fmt.Sprintf("i-%08x", n+1), service: plain, slots: 6}
		t.run = func(conn net.Conn, request *http.Request, _ []byte) bool {
			ran.add(request.Header.Get("X-Cicadamill-Request-Id"))
			time.Sleep(60 * time.Millisecond)
			answer(conn, request, "200 OK", "", []byte("seen"))
			return true
		}
		t.start(store)
	}
	all := startFleet(bodiesHosts, folder, address, r)
	number := usualClients
	if trouble {
		number = burstClients
	}
	var bursts atomic.Bool
	ctx, cancel := context.WithTimeout(context.Background(), bodiesTime)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(burstPause)
			bursts.Store(true)
			time.Sleep(burstTime)
			bursts.Store(false)
		}
	}()
	var clients sync.WaitGroup
	var served, refused, lost, cut, sent atomic.Int64
	for _, h := range all {
		for n := range number {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c := &client{address: h.front}
				for ctx.Err() == nil {
					if n >= usualClients && !bursts.Load() {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					id := fmt.Sprintf("%016x", sent.Add(1))
					status := c.upload(id)
					r.write("client: %s, a body of %d bytes, answered %s, a target had begun to run it: %v", id, bodyBytes, status, ran.has(id))
					switch {
					case status == "200 OK":
						served.Add(1)
						continue
					case status == "cut" && ran.has(id):
						lost.Add(1)
						r.write("client: the connection of %s ended without an answer; a target had begun to run it", id)
					case status == "cut":
						cut.Add(1)
					default:
						refused.Add(1)
					}
					time.Sleep(restartDelay)
				}
			}()
		}
	}
	clients.Wait()
	fallen := fallenHosts(r, all)
	r.write("clients: %d sent, %d served, %d refused or not connected, %d cut before they ran, %d cut after a target had begun", sent.Load(), served.Load(), refused.Load(), cut.Load(), lost.Load())
	r.write("rule Fault: processes of %d hosts ended by themselves three times, of at most 1", fallen)
	return fallen >= 2
}

// upload sends a request with a body of the longest kind over the time that it takes.
func (c *client) upload(id string) string {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return "not connected"
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(uploadTime + 6*time.Second))
	_, _ = fmt.Fprintf(c.conn, "POST /q/ HTTP/1.1\r\nHost: %s\r\nX-Cicadamill-Request-Id: %s\r\nX-Cicadamill-Deadline-Ms: 5000\r\nX-Cicadamill-Key: %s\r\nContent-Length: %d\r\n\r\n", hostName, id, apiKey, bodyBytes)
	const steps = 16
	for range steps {
		if _, err := c.conn.Write(make([]byte, bodyBytes/steps)); err != nil {
			break
		}
		time.Sleep(uploadTime / steps)
	}
	response, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil || response.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
	if err != nil {
		return "cut"
	}
	return response.Status
}
