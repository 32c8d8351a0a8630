package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cicadamill/cicadamill/internal/entry/chat"
	"github.com/cicadamill/cicadamill/internal/standin/words"
)

const (
	maxReconnects = 8
	reconnectWait = 100 * time.Millisecond
	maxLine       = 1 << 20
)

// chatTask is one chat request.
type chatTask struct {
	base
	body     []byte
	stream   bool
	shared   int
	prefixes [3]string
	lengths  [3]int
}

// progress is what a caller has of an answer so far, over all connections.
type progress struct {
	begun   time.Time
	last    time.Time
	lastID  string
	next    int
	text    strings.Builder
	weights string
}

// errEnd tells how one connection ended.
var (
	errSilent  = errors.New("the stream ended without an end or an error")
	errOrder   = errors.New("a chunk was repeated, skipped or out of order")
	errContent = errors.New("the answer is not that of the request")
	errTold    = errors.New("the router told of an error")
)

// do sends the request; a connection that breaks is followed by another at the
// next node, which goes on after the last event.
func (t chatTask) do(ctx context.Context, r *Run) {
	p := &progress{begun: time.Now()}
	r.tally.begin("chat")
	for attempt := range maxReconnects {
		err := t.try(ctx, r, p, attempt)
		switch {
		case err == nil:
			r.tally.count("answered")
			r.verify(t, p)
			return
		case errors.Is(err, errTold):
			return
		case isSentinel(err):
			r.tally.broken(err.Error())
			return
		case ctx.Err() != nil:
			r.tally.count("timedOut")
			return
		}
		r.tally.count("reconnects")
		wait(ctx, reconnectWait)
	}
	r.tally.count("gaveUp")
}

func (t chatTask) try(ctx context.Context, r *Run, p *progress, attempt int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.address(r, attempt)+"/v1/chat/completions", bytes.NewReader(t.body))
	if err != nil {
		return err
	}
	t.header(request.Header)
	if p.lastID != "" {
		request.Header.Set("Last-Event-ID", p.lastID)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return r.refused(response, "chat")
	}
	if weights := response.Header.Get("X-Cicadamill-Weight-Version"); weights != "" {
		p.weights = weights
	}
	if p.next == 0 {
		r.cached(response.Header, t)
	}
	read := r.readWhole
	if t.stream {
		read = r.readStream
	}
	err = read(response.Body, p)
	if err != nil && !isSentinel(err) {
		r.tally.count("cuts")
	}
	return err
}

// isSentinel reports whether an answer, not its connection, went wrong.
func isSentinel(err error) bool {
	return errors.Is(err, errSilent) || errors.Is(err, errOrder) || errors.Is(err, errContent) || errors.Is(err, errTold)
}

func (r *Run) readWhole(body io.Reader, p *progress) error {
	encoded, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(encoded, &answer) != nil || len(answer.Choices) != 1 {
		return errContent
	}
	p.text.WriteString(answer.Choices[0].Message.Content)
	return nil
}

func (r *Run) readStream(body io.Reader, p *progress) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLine)
	id, failing := "", false
	for scanner.Scan() {
		line := scanner.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = value
			continue
		}
		failing = failing || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch {
		case failing:
			r.told([]byte(data), http.Header{})
			return errTold
		case data == "[DONE]":
			return nil
		}
		if err := r.chunk(p, id, data); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errSilent
}

func (r *Run) chunk(p *progress, id, data string) error {
	now := time.Now()
	if p.next == 0 {
		r.tally.first(now.Sub(p.begun))
	} else {
		r.tally.gap(now.Sub(p.last))
	}
	p.last = now
	offset, err := strconv.Atoi(id[strings.LastIndexByte(id, '.')+1:])
	if err != nil || offset != p.next {
		return errOrder
	}
	var answer chat.Answer
	if answer.Add([]byte(data)) != nil {
		return errContent
	}
	p.text.WriteString(answer.Text())
	p.lastID = id
	p.next++
	return nil
}

// verify compares a finished answer with the stand-in's.
func (r *Run) verify(t chatTask, p *progress) {
	r.tally.learn(t.prefixes, t.lengths)
	if !r.options.Check {
		return
	}
	request, err := chat.Parse(t.body)
	if err != nil {
		return
	}
	if p.text.String() != words.New(request.Prompt, p.weights, "").Text(0, r.options.MaxTokens) {
		r.tally.broken(errContent.Error())
		return
	}
	r.tally.count("checked")
}

func (r *Run) cached(header http.Header, t chatTask) {
	cached, err1 := strconv.Atoi(header.Get("X-Cicadamill-Cached-Tokens"))
	prompt, err2 := strconv.Atoi(header.Get("X-Cicadamill-Prompt-Tokens"))
	if err1 == nil && err2 == nil {
		r.tally.cache(cached, prompt, t.prefixes, t.lengths)
	}
}
