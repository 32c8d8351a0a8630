package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cicadamill/cicadamill/platform/stand"
)

const (
	// callerPause is the time between two requests of a caller.
	callerPause = 25 * time.Millisecond
	// probePause is the time between two looks at which routes are in force.
	probePause = 100 * time.Millisecond
	// perConnection is how many requests a caller sends to one host.
	perConnection = 25
	// deadline is how long callers wait.
	deadline = 4 * time.Second
)

// record is one request and what became of it.
type record struct {
	id, path, key, host string
	life                int
	sent, ended         time.Time
	status              int
	broken              bool
	// wrong is what the answer breaks by itself.
	wrong string
}

// caller sends requests over kept connections, to one host after another.
type caller struct {
	fleet  *fleet
	name   string
	random *rand.Rand
	client *http.Client
	sent   int
}

func newCaller(f *fleet, seed uint64, number int) *caller {
	return &caller{
		fleet: f, name: fmt.Sprintf("%x-%d", seed, number), random: rand.New(rand.NewPCG(seed, uint64(number))),
		client: &http.Client{Transport: &http.Transport{}},
	}
}

// call sends requests until the context ends.
func (c *caller) call(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	paths := []string{stand.Streams, stand.Streams, stand.Effects, stand.Effects, stand.Lookups}
	host := 0
	for n := 0; ctx.Err() == nil; n++ {
		if n%perConnection == 0 {
			host = c.random.IntN(len(c.fleet.hosts))
		}
		workspace, key := c.random.IntN(workspaces), "ab"[c.random.IntN(2)]
		r := c.ask(c.fleet.hosts[host], paths[c.random.IntN(len(paths))], fmt.Sprintf("key-%d-%c", workspace, key))
		if r.broken {
			host = c.random.IntN(len(c.fleet.hosts))
		}
		c.fleet.judge.record(r)
		time.Sleep(callerPause)
	}
}

// probe asks one host which of the routes that come and go are in force.
func (c *caller) probe(ctx context.Context, p *process) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		for _, path := range c.fleet.judge.paths() {
			c.fleet.judge.record(c.ask(p, path, "key-0-a"))
		}
		time.Sleep(probePause)
	}
}

func (c *caller) ask(p *process, path, key string) record {
	c.sent++
	r := record{id: fmt.Sprintf("%s-%d", c.name, c.sent), path: path, key: key, host: p.settings.Name, life: p.life(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ask := stand.Ask{Address: p.settings.Front, Name: stand.Host, Path: path + "x", ID: r.id, Key: key, Deadline: deadline, Body: r.id}
	if path == stand.Lookups {
		// Many callers look up the same.
		ask.Body = "{}"
	}
	if path == stand.Streams {
		ask.Model, ask.Tokens, ask.Parts = stand.Model, 900, fmt.Sprintf("aa:500,b%d:300,c%s:100", c.random.IntN(20), r.id)
	}
	request, err := ask.Request(ctx)
	if err != nil {
		r.wrong = err.Error()
		return r
	}
	response, err := c.client.Do(request)
	if err != nil {
		r.broken, r.ended = true, time.Now()
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.status = response.StatusCode
	if r.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
	} else {
		r.wrong, r.broken = r.check(response)
	}
	r.ended = time.Now()
	return r
}

// check reads an answer and tells what is wrong with it, and whether it broke off.
func (r *record) check(response *http.Response) (wrong string, broken bool) {
	if got := stand.Answers(response.Header); got != r.id || !stand.Sealed(response.Header) {
		return "answer bears the request " + got, false
	}
	if r.path == stand.Streams {
		return r.checkStream(response.Body)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", true
	}
	if string(body) != r.id {
		return "answer of another request: " + string(body), false
	}
	return "", false
}

// checkStream tells whether the events of a stream come in order, each once, all
// of this request, and whether an end that looks whole is.
func (r *record) checkStream(body io.Reader) (wrong string, broken bool) {
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
	case last != stand.Events:
		return fmt.Sprintf("stream ends as whole after %d events", last), false
	default:
		return "", false
	}
}
