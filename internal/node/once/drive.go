package once

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cicadamill/cicadamill/internal/infra/object"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/safety/batch"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/ledger"
)

const (
	maxInlineAnswerBytes = 4 << 10
	operationTimeout     = 3 * time.Second
	maxStoreAttempts     = 8
	initialStoreDelay    = 100 * time.Millisecond
)

// drive runs the state machine of a call up to the last write. Until then,
// repeats on this node join the call.
func (r *Runner) drive(ctx context.Context, f *flight) {
	var message ledger.Message = ledger.Begin{}
	for message != nil {
		var commands []ledger.Command
		f.state, commands = f.state.Update(r.limits.Now(), message)
		message = nil
		for _, command := range commands {
			if next := r.execute(ctx, f, command); next != nil {
				message = next
			}
		}
	}
}

// execute executes one command. A result other than nil is the next message to
// the state machine.
func (r *Runner) execute(ctx context.Context, f *flight, command ledger.Command) ledger.Message {
	switch c := command.(type) {
	case ledger.Reserve:
		return r.reserve(ctx, f, c)
	case ledger.Read:
		return r.read(ctx, f)
	case ledger.ReadAnswer:
		return r.readAnswer(ctx, c.Nonce)
	case ledger.Wait:
		time.Sleep(c.For)
		return ledger.WaitDone{}
	case ledger.Dispatch:
		finished := f.call.Dispatch(ctx, c)
		r.scope.Tagged(map[string]string{"outcome": effect.Name(finished.Outcome)}).Counter("effects_dispatched").Inc(1)
		return finished
	case ledger.Store:
		r.storeAnswer(ctx, f.state.Call(), c.Answer)
	case ledger.Reply:
		r.deliverReply(ctx, f, c)
	case ledger.Refuse:
		r.scope.Tagged(map[string]string{"code": c.Code, "ran": effect.Name(c.Outcome)}).Counter("effects_refused").Inc(1)
		f.refuse = &c
		close(f.done)
	}
	return nil
}

func (r *Runner) reserve(ctx context.Context, f *flight, c ledger.Reserve) ledger.Message {
	value, err := json.Marshal(c.Record)
	if err != nil {
		return ledger.Unavailable{}
	}
	ctx, cancel := context.WithTimeout(ctx, r.limits.Limits.Hold)
	defer cancel()
	switch r.writer.Write(ctx, table.Put{Key: f.state.Call().Row, Value: value, IfVersion: c.IfVersion}) {
	case batch.Done:
		return ledger.Reserved{}
	case batch.Conflict:
		return ledger.Conflicted{}
	case batch.Unsure:
		r.scope.Counter("effects_read_back").Inc(1)
		return ledger.Lost{}
	default:
		return ledger.Unavailable{}
	}
}

func (r *Runner) read(ctx context.Context, f *flight) ledger.Message {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	row, err := r.table.Get(ctx, f.state.Call().Row)
	if err != nil {
		return ledger.Unavailable{}
	}
	found := ledger.Row{Version: row.Version}
	if row.Version > 0 && json.Unmarshal(row.Value, &found.Record) != nil {
		r.scope.Counter("ledger_malformed").Inc(1)
		return ledger.Unavailable{}
	}
	return found
}

func (r *Runner) readAnswer(ctx context.Context, nonce string) ledger.Message {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	row, err := r.table.Get(ctx, ledger.AnswerKey(nonce))
	if err != nil {
		return ledger.Unavailable{}
	}
	if row.Version == 0 {
		return ledger.NoAnswer{}
	}
	var answer ledger.Answer
	if json.Unmarshal(row.Value, &answer) != nil {
		r.scope.Counter("ledger_malformed").Inc(1)
		return ledger.Unavailable{}
	}
	if !answer.Object {
		return answer
	}
	return r.fetchBody(ctx, nonce, answer)
}

// fetchBody reads the body of a large answer from the object store. If the body
// is missing, the answer is marked as lost: the call is still known to have run.
func (r *Runner) fetchBody(ctx context.Context, nonce string, answer ledger.Answer) ledger.Message {
	body, err := r.objects.Get(ctx, ledger.AnswerKey(nonce))
	var missing *object.NotFoundError
	switch {
	case errors.As(err, &missing):
		answer.Lost = true
	case err != nil:
		return ledger.Unavailable{}
	}
	answer.Body = body
	return answer
}

func (r *Runner) deliverReply(ctx context.Context, f *flight, c ledger.Reply) {
	if c.Answer.Lost {
		r.scope.Counter("effects_answer_lost").Inc(1)
		r.execute(ctx, f, ledger.Refuse{Code: "answerNotKept", Outcome: effect.Answered{}, Message: "the request with this key ran, but its answer was not kept"})
		return
	}
	if c.Repeated {
		r.scope.Counter("effects_repeated").Inc(1)
	}
	f.reply = c
	close(f.done)
}

// storeAnswer stores the outcome of a call. The key of the row is the nonce and
// its content never changes, so retries are idempotent. If it can't be stored, a
// repeat gets the outcome "unknown".
func (r *Runner) storeAnswer(ctx context.Context, call ledger.Call, answer ledger.Answer) {
	answer.Expires = call.Expires
	if len(answer.Body) > maxInlineAnswerBytes {
		answer.Object = true
		answer.Lost = !r.retry(func() bool { return r.objects.Put(ctx, ledger.AnswerKey(call.Nonce), answer.Body) == nil })
		answer.Object = !answer.Lost
		answer.Body = nil
	}
	value, err := json.Marshal(answer)
	if err != nil {
		return
	}
	stored := r.retry(func() bool {
		writeCtx, cancel := context.WithTimeout(ctx, operationTimeout)
		defer cancel()
		return r.writer.Write(writeCtx, table.Put{Key: ledger.AnswerKey(call.Nonce), Value: value, Unconditional: true}) == batch.Done
	})
	if !stored {
		r.scope.Counter("effects_not_kept").Inc(1)
	}
}

func (r *Runner) retry(attempt func() bool) bool {
	wait := initialStoreDelay
	for range maxStoreAttempts {
		if attempt() {
			return true
		}
		time.Sleep(wait)
		wait *= 2
	}
	return false
}
