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
	maxAttempts    = 8
	reconnectDelay = 100 * time.Millisecond
	maxLineBytes   = 1 << 20
)

// chatTask is one chat request.
type chatTask struct {
	baseTask
	body     []byte
	stream   bool
	shared   int
	prefixes [3]string
	lengths  [3]int
}

// progress is the part of an answer received so far, over all connections.
type progress struct {
	start         time.Time
	lastChunk     time.Time
	lastID        string
	nextOffset    int
	text          strings.Builder
	weightVersion string
}

// Errors of an answer itself. Any other error means that the connection failed, and
// the request is sent again.
var (
	errNoEnd       = errors.New("the stream ended without an end or an error")
	errChunkOrder  = errors.New("a chunk was repeated, skipped or out of order")
	errWrongAnswer = errors.New("the answer is not that of the request")
	errReported    = errors.New("the router returned an error")
)

// do sends the request. When a connection breaks it reconnects to the next node,
// which resumes the stream after the last event received.
func (t chatTask) do(ctx context.Context, r *Generator) {
	p := &progress{start: time.Now()}
	r.tally.countRequest("chat")
	for attempt := range maxAttempts {
		err := t.sendOnce(ctx, r, p, attempt)
		switch {
		case err == nil:
			r.tally.countOutcome("answered")
			r.verify(t, p)
			return
		case errors.Is(err, errReported):
			return
		case isAnswerError(err):
			r.tally.countViolation(err.Error())
			return
		case ctx.Err() != nil:
			r.tally.countOutcome("timedOut")
			return
		}
		r.tally.countOutcome("reconnects")
		sleep(ctx, reconnectDelay)
	}
	r.tally.countOutcome("gaveUp")
}

func (t chatTask) sendOnce(ctx context.Context, r *Generator, p *progress, attempt int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.address(r, attempt)+"/v1/chat/completions", bytes.NewReader(t.body))
	if err != nil {
		return err
	}
	t.setHeader(request.Header)
	if p.lastID != "" {
		request.Header.Set("Last-Event-ID", p.lastID)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return r.countRefusal(response, "chat")
	}
	if weights := response.Header.Get("X-Cicadamill-Weight-Version"); weights != "" {
		p.weightVersion = weights
	}
	if p.nextOffset == 0 {
		r.countCached(response.Header, t)
	}
	read := r.readUnstreamed
	if t.stream {
		read = r.readStream
	}
	err = read(response.Body, p)
	if err != nil && !isAnswerError(err) {
		r.tally.countOutcome("cuts")
	}
	return err
}

// isAnswerError reports whether an error concerns the answer, not the connection.
func isAnswerError(err error) bool {
	return errors.Is(err, errNoEnd) || errors.Is(err, errChunkOrder) || errors.Is(err, errWrongAnswer) || errors.Is(err, errReported)
}

func (g *Generator) readUnstreamed(body io.Reader, p *progress) error {
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
		return errWrongAnswer
	}
	p.text.WriteString(answer.Choices[0].Message.Content)
	return nil
}

func (g *Generator) readStream(body io.Reader, p *progress) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	id, isError := "", false
	for scanner.Scan() {
		line := scanner.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = value
			continue
		}
		isError = isError || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch {
		case isError:
			g.countError([]byte(data), http.Header{})
			return errReported
		case data == "[DONE]":
			return nil
		}
		if err := g.addChunk(p, id, data); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return errNoEnd
}

func (g *Generator) addChunk(p *progress, id, data string) error {
	now := time.Now()
	if p.nextOffset == 0 {
		g.tally.recordTTFT(now.Sub(p.start))
	} else {
		g.tally.recordInterToken(now.Sub(p.lastChunk))
	}
	p.lastChunk = now
	offset, err := strconv.Atoi(id[strings.LastIndexByte(id, '.')+1:])
	if err != nil || offset != p.nextOffset {
		return errChunkOrder
	}
	var answer chat.Accumulator
	if answer.Add([]byte(data)) != nil {
		return errWrongAnswer
	}
	p.text.WriteString(answer.Text())
	p.lastID = id
	p.nextOffset++
	return nil
}

// verify compares a complete answer with the one that the engine stand-in derives
// from the prompt and the weight version.
func (g *Generator) verify(t chatTask, p *progress) {
	g.tally.markComputed(t.prefixes, t.lengths)
	if !g.options.CheckAnswers {
		return
	}
	request, err := chat.Parse(t.body)
	if err != nil {
		return
	}
	if p.text.String() != words.New(request.Prompt, p.weightVersion, "").Text(0, g.options.MaxTokens) {
		g.tally.countViolation(errWrongAnswer.Error())
		return
	}
	g.tally.countOutcome("checked")
}

func (g *Generator) countCached(header http.Header, t chatTask) {
	cached, err1 := strconv.Atoi(header.Get("X-Cicadamill-Cached-Tokens"))
	prompt, err2 := strconv.Atoi(header.Get("X-Cicadamill-Prompt-Tokens"))
	if err1 == nil && err2 == nil {
		g.tally.countTokens(cached, prompt, t.prefixes, t.lengths)
	}
}
