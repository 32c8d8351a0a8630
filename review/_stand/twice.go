package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// twiceHosts and twiceTargets are the numbers of hosts and of targets, twiceClients is
	// the number of clients of each host.
	twiceHosts   = 12
	twiceTargets = 4
	twiceClients = 40
	// twiceConns is the number of connections that a target takes from all hosts.
	twiceConns = 24
	twiceTime  = 110 * time.Second
	// targetSlots is the number of requests that a target works on at once, targetQueue
	// that of those that wait.
	targetSlots = 6
	targetQueue = 24
	// greyTime is how long the first target refuses greyShare of its requests, greyPause
	// the pause until it does so again.
	greyTime  = 6500 * time.Millisecond
	greyPause = 500 * time.Millisecond
	greyShare = 0.45
	// extraShare is the part of the answers of the first garbledTargets of which a second
	// copy comes late.
	garbledTargets = 2
	// garbleTime is how long they do so, garblePause the pause until they do it again.
	garbleTime  = 5 * time.Second
	garblePause = 250 * time.Millisecond
	extraShare  = 0.03
	// workTime is the mean work of book-pay.
	workTime = 60 * time.Millisecond
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Cicadamill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// runs counts the runs of each request.
type runs struct {
	mu    sync.Mutex
	by    map[string][]string
	twice []string
}

func (t *runs) add(id, target string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.by[id] = append(t.by[id], target)
	if len(t.by[id]) == 2 {
		t.twice = append(t.twice, id)
	}
	return len(t.by[id])
}

// playTwice has targets refuse requests without having run them, and send a second copy
// of some answers late.
func playTwice(r *record, folder string, trouble bool) bool {
	store, address := startStore()
	configureConns(store, []route{{name: "book-pay", prefix: "/pay/", service: plain, kind: "unsafe", timeout: 1500 * time.Millisecond, objective: 300 * time.Millisecond, attempts: 1}}, twiceConns)
	ran := &runs{by: map[string][]string{}}
	var grey atomic.Int32
	var garbles atomic.Bool
	grey.Store(-1)
	var refused, extra, extraBeforeRun atomic.Int64
	for n := range twiceTargets {
		t := &server{id: fmt.Sprintf("i-%08x", n+1), service: plain, slots: targetSlots}
		var busy atomic.Int32
		slots := make(chan struct{}, targetSlots)
		t.serveConn = func(conn net.Conn, in *bufio.Reader) {
			late := ""
			for {
				request, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					return
				}
				id := request.Header.Get("X-Cicadamill-Request-Id")
				if want := request.Header.Get("X-Cicadamill-Expect-Instance"); want != t.id {
					answer(conn, request, "421 Misdirected Request", "X-Cicadamill-Not-Executed: 1\r\n", nil)
					continue
				}
				response := refusal
				if busy.Add(1) > targetSlots+targetQueue || trouble && int(grey.Load()) == n && rand.Float64() < greyShare {
					refused.Add(1)
				} else {
					// A request has run once a slot begins to work on it.
					slots <- struct{}{}
					if again := ran.add(id, t.id); again > 1 {
						r.write("target %s: runs %s, which has run %d times before", t.id, id, again-1)
					}
					if late != "" {
						extraBeforeRun.Add(1)
						r.write("target %s: sends a late copy of %q while it runs %s", t.id, late[9:12], id)
						_, _ = io.WriteString(conn, late)
						late = ""
					}
					time.Sleep(workTime)
					<-slots
					response = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\npaid", sealed(request))
				}
				busy.Add(-1)
				if _, err := io.WriteString(conn, response); err != nil {
					return
				}
				if trouble && garbles.Load() && n < garbledTargets && rand.Float64() < extraShare {
					extra.Add(1)
					late = response
				}
			}
		}
		t.start(store)
	}
	all := startFleet(twiceHosts, folder, address, r)
	ctx, cancel := context.WithTimeout(context.Background(), twiceTime)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			garbles.Store(true)
			time.Sleep(garbleTime)
			garbles.Store(false)
			time.Sleep(garblePause)
		}
	}()
	go func() {
		for ctx.Err() == nil {
			grey.Store(0)
			time.Sleep(greyTime)
			grey.Store(-1)
			time.Sleep(greyPause)
		}
	}()
	var clients sync.WaitGroup
	var sent atomic.Int64
	var answered sync.Map
	for _, h := range all {
		for range twiceClients {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c := &client{address: h.front}
				for ctx.Err() == nil {
					id := fmt.Sprintf("%016x", sent.Add(1))
					status, pause := c.post(id, "/pay/", 3*time.Second)
					answered.Store(id, status)
					time.Sleep(pause)
				}
			}()
		}
	}
	clients.Wait()
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for n := range sent.Load() {
		id := fmt.Sprintf("%016x", n+1)
		status, _ := answered.Load(id)
		r.write("request %s: answered %v, ran at %v", id, status, ran.by[id])
	}
	falseRefusals := 0
	counts := map[string]int{}
	answered.Range(func(id, status any) bool {
		counts[status.(string)]++
		if status == "503 Service Unavailable" && len(ran.by[id.(string)]) > 0 {
			falseRefusals++
			r.write("client: %v was answered %v and has run at %v", id, status, ran.by[id.(string)])
		}
		return true
	})
	for _, id := range ran.twice {
		status, _ := answered.Load(id)
		r.write("rule: %s ran at %v, answered %v", id, ran.by[id], status)
	}
	r.write("%d sent, %d refused by targets, %d late copies prepared, %d sent while another request ran", sent.Load(), refused.Load(), extra.Load(), extraBeforeRun.Load())
	r.write("answers: %v", counts)
	r.write("%d requests that may run once ran more than once; %d were answered 503 and had run", len(ran.twice), falseRefusals)
	return falseRefusals > 0 || len(ran.twice) > 0
}

// client sends requests on one kept connection.
type client struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

func (c *client) post(id, path string, deadline time.Duration) (status string, pause time.Duration) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return "not connected", 100 * time.Millisecond
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Cicadamill-Request-Id: %s\r\nX-Cicadamill-Deadline-Ms: %d\r\nX-Cicadamill-Key: %s\r\nContent-Length: 3\r\n\r\npay", path, hostName, id, deadline.Milliseconds(), apiKey)
	response, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil || response.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
	if err != nil {
		return "cut", 100 * time.Millisecond
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		pause = min(time.Duration(seconds*float64(time.Second)), deadline/3)
	}
	return response.Status, pause
}
