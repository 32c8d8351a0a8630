package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// checksPerS is the number of requests for streams a second, checkTime for how long
	// clients send them.
	checksPerS = 16
	checkTime  = 60 * time.Second
	// fullEvery is how many requests an engine in trouble gets for each one that it refuses.
	// A copy of each refusal comes late: one in so many answers is spoiled.
	fullEvery = spoiled
	// firstToken is the time from the start of a request to its first event.
	firstToken = 700 * time.Millisecond
	// overlap is for how long an engine may still work on a request that goes on at
	// another one.
	overlap = 400 * time.Millisecond
)

// work is the work of one engine on one request.
type work struct {
	engine     string
	began, end time.Time
}

// busyEngines are engines whose requests take a while to their first event, and what they
// worked on.
type busyEngines struct {
	site *site

	mu     sync.Mutex
	works  map[string][]*work
	counts map[string]int
}

// lateRefusals lets one of the engines refuse some requests and send a late copy of the
// refusal where the answer to the next request is expected, and checks that none of them works on a request that has
// gone on at another one.
func lateRefusals(ctx context.Context, s *site) ([]string, error) {
	engines := &busyEngines{site: s, works: map[string][]*work{}, counts: map[string]int{}}
	for i := range 4 {
		if err := engines.start(ctx, fmt.Sprintf("i-busy%d", i+1), trouble() && i == 0); err != nil {
			return nil, err
		}
	}
	if err := s.startSmall(ctx, 0, 2); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	for n := range checksPerS * int(checkTime/time.Second) {
		clients.Go(func() { s.ask(s.gateways[n%len(s.gateways)], tenants[0], fmt.Sprintf("check-%d", n)) })
		if !sleep(ctx, time.Second/checksPerS) {
			break
		}
	}
	clients.Wait()
	return engines.overlaps(), nil
}

// overlaps returns the requests that an engine still worked on some time after they had
// begun at another one.
func (b *busyEngines) overlaps() (broken []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, works := range b.works {
		for i := 1; i < len(works); i++ {
			before, next := works[i-1], works[i]
			if before.engine == next.engine {
				continue
			}
			if since := before.end.Sub(next.began); since > overlap {
				broken = append(broken, fmt.Sprintf("TWICE: %s went on at %s while %s worked on it for %d ms more", id, next.engine, before.engine, since.Milliseconds()))
			}
		}
	}
	slices.Sort(broken)
	return broken
}

// start starts an engine. If late is true, it refuses some requests, and copies of these
// refusals come late, for some seconds again and again.
func (b *busyEngines) start(ctx context.Context, id string, late bool) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	born, address := time.Now().UnixMilli(), listener.Addr().String()
	publish := func(seq int) error {
		return b.site.store.Put("servers", id, map[string]any{
			"service": enginesName, "address": address, "zone": zone, "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": seq,
			"born": born, "stage": "unified", "models": []map[string]any{{"name": model, "version": 1, "adapters": []any{}}},
		})
	}
	if err := publish(0); err != nil {
		return err
	}
	go func() {
		for seq := 1; sleep(ctx, heartbeat); seq++ {
			_ = publish(seq)
		}
		_ = listener.Close()
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn, id, born, late)
		}
	}()
	return nil
}

// serve serves the requests of one connection, one after the other.
func (b *busyEngines) serve(conn net.Conn, engine string, born int64, late bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	copyDue := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Cicadamill-Request-Id")
		if strings.HasPrefix(r.URL.Path, "/cicadamill/") {
			wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
			time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
			text := fmt.Sprintf(`{"bootEpoch":%d,"next":1,"lost":false,"events":[],"held":[],"stage":"unified","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0}`, born, model)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		}
		refusal := "HTTP/1.1 %s\r\nX-Cicadamill-Request-Id: " + id + "\r\nX-Cicadamill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		if r.Header.Get("X-Cicadamill-Expect-Instance") != engine {
			fmt.Fprintf(conn, refusal, "421 Misdirected Request")
			continue
		}
		inTrouble := late && time.Since(b.site.record.began)%(spoilTime+spoilPause) < spoilTime
		if inTrouble && b.isFull(engine) {
			text := fmt.Sprintf(refusal, "503 Service Unavailable")
			b.site.record.add("%s refuses %s", engine, id)
			_, _ = io.WriteString(conn, text)
			copyDue = text
			continue
		}
		w := b.begin(engine, id)
		if copyDue != "" {
			b.site.record.add("%s sends a copy of the refusal before, while it works on %s", engine, id)
			_, _ = io.WriteString(conn, copyDue)
			copyDue = ""
		}
		whole := b.run(conn, reader, r, engine, id)
		b.finish(w, engine, id, whole)
		if !whole {
			return
		}
	}
}

// isFull reports whether the engine refuses this request, as every fullEvery-th.
func (b *busyEngines) isFull(engine string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[engine]++
	return b.counts[engine]%fullEvery == 0
}

func (b *busyEngines) begin(engine, id string) *work {
	b.site.record.add("%s begins to work on %s", engine, id)
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &work{engine: engine, began: time.Now()}
	b.works[id] = append(b.works[id], w)
	return w
}

func (b *busyEngines) finish(w *work, engine, id string, whole bool) {
	b.site.record.add("%s ends its work on %s, whole %v", engine, id, whole)
	b.mu.Lock()
	defer b.mu.Unlock()
	w.end = time.Now()
}

// run sends a stream, and ends at once when the caller closes the connection. It reports
// whether the stream is complete.
func (b *busyEngines) run(conn net.Conn, reader *bufio.Reader, r *http.Request, engine, id string) bool {
	closed := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The caller sends nothing before the end of the answer, so that this fails
		// when it closes the connection, or at the deadline that is set at the end.
		if _, err := reader.Peek(1); err != nil {
			var timeout net.Error
			if !asTimeout(err, &timeout) {
				close(closed)
			}
		}
	}()
	whole := func() bool {
		select {
		case <-closed:
			return false
		case <-time.After(firstToken):
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Cicadamill-Request-Id: %s\r\nX-Cicadamill-Response-Seal: seal.%s.%s\r\nX-Cicadamill-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id, engine, id)
		if _, err := io.WriteString(conn, head); err != nil {
			return false
		}
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for k := from + 1; k <= streamEvents; k++ {
			text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", k, id, k)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
			select {
			case <-closed:
				return false
			case <-time.After(eventGap):
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}()
	_ = conn.SetReadDeadline(time.Now())
	<-ended
	_ = conn.SetReadDeadline(time.Time{})
	return whole
}

func asTimeout(err error, timeout *net.Error) bool {
	t, ok := err.(net.Error)
	*timeout = t
	return ok && t.Timeout()
}
