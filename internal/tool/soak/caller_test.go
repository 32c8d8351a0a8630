package soak_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

const (
	// requestInterval is the pause of a caller between two requests.
	requestInterval = 25 * time.Millisecond
	// probeInterval is the pause between two probes of the recent routes.
	probeInterval = 100 * time.Millisecond
	// requestsPerHost is the number of requests after which a caller switches to
	// another host.
	requestsPerHost = 25
	requestTimeout  = 4 * time.Second
)

// record is one request with its outcome.
type record struct {
	id, path, key, host string
	// parts is the list of the prompt's parts; empty for plain requests.
	parts       string
	incarnation int
	sent, ended time.Time
	status      int
	incomplete  bool
	// violation describes a fault of the answer that the caller can see; empty for
	// none.
	violation string
}

// caller sends requests over keep-alive connections, to one host at a time.
type caller struct {
	fleet  *fleet
	name   string
	random *rand.Rand
	client *http.Client
	sent   int
	// body replaces the ID of a request as its body; empty for none.
	body string
}

func newCaller(f *fleet, seed uint64, number int) *caller {
	return &caller{
		fleet: f, name: fmt.Sprintf("%x-%d", seed, number), random: rand.New(rand.NewPCG(seed, uint64(number))),
		client: &http.Client{Transport: &http.Transport{}},
	}
}

// sendRequests sends requests until the context ends. It picks a new host at random
// after [requestsPerHost] requests and after an incomplete answer.
func (c *caller) sendRequests(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	paths := []string{fake.Streams, fake.Streams, fake.Effects, fake.Effects, fake.Lookups}
	host := 0
	for n := 0; ctx.Err() == nil; n++ {
		if n%requestsPerHost == 0 {
			host = c.random.IntN(len(c.fleet.hosts))
		}
		workspace, key := c.random.IntN(workspaceCount), "ab"[c.random.IntN(2)]
		r := c.send(c.fleet.hosts[host], paths[c.random.IntN(len(paths))], fmt.Sprintf("key-%d-%c", workspace, key))
		if r.incomplete {
			host = c.random.IntN(len(c.fleet.hosts))
		}
		c.fleet.checker.addRecord(r)
		time.Sleep(requestInterval)
	}
}

// probeRoutes requests the recently added routes from one host over and over, to
// record which of them it serves.
func (c *caller) probeRoutes(ctx context.Context, p *process) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		for _, path := range c.fleet.checker.recentRoutes() {
			c.fleet.checker.addRecord(c.send(p, path, "key-0-a"))
		}
		time.Sleep(probeInterval)
	}
}

// send sends a request. A stream's prompt begins with the shared parts, or with parts
// that many sound requests share.
func (c *caller) send(p *process, path, key string, shared ...string) record {
	c.sent++
	r := record{id: fmt.Sprintf("%s-%d", c.name, c.sent), path: path, key: key, host: p.settings.Name, incarnation: p.incarnation(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	clientRequest := fake.ClientRequest{Address: p.settings.Front, Name: fake.Host, Path: path + "x", ID: r.id, Key: key, Deadline: requestTimeout, Body: cmp.Or(c.body, r.id)}
	if path == fake.Lookups {
		// All callers send the same lookup.
		clientRequest.Body = "{}"
	}
	if path == fake.Streams {
		if len(shared) == 0 {
			shared = c.soundParts()
		}
		r.parts = strings.Join(append(shared, "c"+r.id+":100"), ",")
		clientRequest.Model, clientRequest.Tokens, clientRequest.Parts = fake.Model, promptTokens(r.parts), r.parts
	}
	request, err := clientRequest.Request(ctx)
	if err != nil {
		r.violation = err.Error()
		return r
	}
	response, err := c.client.Do(request)
	if err != nil {
		r.incomplete, r.ended = true, time.Now()
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.status = response.StatusCode
	if r.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
	} else {
		r.violation, r.incomplete = r.check(response)
	}
	r.ended = time.Now()
	return r
}

// check reads an answer and returns what is wrong with it, and whether it is
// incomplete.
func (r *record) check(response *http.Response) (violation string, incomplete bool) {
	if got := fake.RequestID(response.Header); got != r.id || !fake.Sealed(response.Header) {
		return "answer without a seal or with another request ID: " + got, false
	}
	if r.path == fake.Streams {
		return r.checkStream(response.Body)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", true
	}
	if string(body) != r.id {
		return "body of another request: " + string(body), false
	}
	return "", false
}

// checkStream checks that the events of a stream belong to the request and come
// once each and in order, and that a stream with a proper end has all of them.
func (r *record) checkStream(body io.Reader) (violation string, incomplete bool) {
	scanner := bufio.NewScanner(body)
	last := 0
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if want := fmt.Sprintf("%s %d", r.id, last+1); data != want {
			return fmt.Sprintf("event %q instead of %q", data, want), false
		}
		last++
	}
	switch {
	case scanner.Err() != nil:
		return "", true
	case last != fake.StreamEvents:
		return fmt.Sprintf("stream ended without an error after %d events", last), false
	default:
		return "", false
	}
}
