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
	smallAnswerBytes = 4 << 10
	operationTimeout = 3 * time.Second
	keepTries        = 8
	firstKeepWait    = 100 * time.Millisecond
)

// drive carries a call from its beginning to the last write about it. Repeats
// at this node join until then.
func (r *Runner) drive(ctx context.Context, f *flight) {
	var message ledger.Message = ledger.Begin{}
	for message != nil {
		var commands []ledger.Command
		f.state, commands = f.state.Update(time.Now(), message)
		message = nil
		for _, command := range commands {
			if next := r.run(ctx, f, command); next != nil {
				message = next
			}
		}
	}
}

// run carries out one command; a result that is not nil goes to the slice.
func (r *Runner) run(ctx context.Context, f *flight, command ledger.Command) ledger.Message {
	switch c := command.(type) {
	case ledger.Reserve:
		return r.reserve(ctx, f, c)
	case ledger.Read:
		return r.read(ctx, f)
	case ledger.ReadAnswer:
		return r.readAnswer(ctx, c.Nonce)
	case ledger.Wait:
		time.Sleep(c.For)
		return ledger.Woke{}
	case ledger.Dispatch:
		finished := f.call.Dispatch(ctx, c)
		r.scope.Tagged(map[string]string{"outcome": effect.Name(finished.Outcome)}).Counter("effects_dispatched").Inc(1)
		return finished
	case ledger.Keep:
		r.keep(ctx, f.state.Call(), c.Answer)
	case ledger.Reply:
		r.answer(ctx, f, c)
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
		return ledger.Down{}
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.Limits.Hold)
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
		return ledger.Down{}
	}
}

func (r *Runner) read(ctx context.Context, f *flight) ledger.Message {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	row, err := r.table.Get(ctx, f.state.Call().Row)
	if err != nil {
		return ledger.Down{}
	}
	found := ledger.Row{Version: row.Version}
	if row.Version > 0 && json.Unmarshal(row.Value, &found.Record) != nil {
		r.scope.Counter("ledger_malformed").Inc(1)
		return ledger.Down{}
	}
	return found
}

func (r *Runner) readAnswer(ctx context.Context, nonce string) ledger.Message {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	row, err := r.table.Get(ctx, ledger.AnswerKey(nonce))
	if err != nil {
		return ledger.Down{}
	}
	if row.Version == 0 {
		return ledger.NoAnswer{}
	}
	var answer ledger.Answer
	if json.Unmarshal(row.Value, &answer) != nil {
		r.scope.Counter("ledger_malformed").Inc(1)
		return ledger.Down{}
	}
	if !answer.Object {
		return answer
	}
	return r.fetch(ctx, nonce, answer)
}

// fetch reads the body of a large answer. A body that is gone is told as such;
// that the call ran stays certain.
func (r *Runner) fetch(ctx context.Context, nonce string, answer ledger.Answer) ledger.Message {
	body, err := r.objects.Get(ctx, ledger.AnswerKey(nonce))
	var missing *object.MissingError
	switch {
	case errors.As(err, &missing):
		answer.Lost = true
	case err != nil:
		return ledger.Down{}
	}
	answer.Body = body
	return answer
}

func (r *Runner) answer(ctx context.Context, f *flight, c ledger.Reply) {
	if c.Answer.Lost {
		r.scope.Counter("effects_answer_lost").Inc(1)
		r.run(ctx, f, ledger.Refuse{Code: "answerNotKept", Outcome: effect.Answered{}, Message: "the request with this key ran, but its answer was not kept"})
		return
	}
	if c.Repeated {
		r.scope.Counter("effects_repeated").Inc(1)
	}
	f.reply = c
	close(f.done)
}

// keep stores what became of a call. The row is named by the nonce and always
// says the same, so writing it again does no harm. When it can't be stored, a
// repeat is told "unknown".
func (r *Runner) keep(ctx context.Context, call ledger.Call, answer ledger.Answer) {
	answer.Expires = call.Expires
	if len(answer.Body) > smallAnswerBytes {
		answer.Object = true
		answer.Lost = !r.try(func() bool { return r.objects.Put(ctx, ledger.AnswerKey(call.Nonce), answer.Body) == nil })
		answer.Object = !answer.Lost
		answer.Body = nil
	}
	value, err := json.Marshal(answer)
	if err != nil {
		return
	}
	kept := r.try(func() bool {
		bounded, cancel := context.WithTimeout(ctx, operationTimeout)
		defer cancel()
		return r.writer.Write(bounded, table.Put{Key: ledger.AnswerKey(call.Nonce), Value: value, Always: true}) == batch.Done
	})
	if !kept {
		r.scope.Counter("effects_not_kept").Inc(1)
	}
}

func (r *Runner) try(attempt func() bool) bool {
	wait := firstKeepWait
	for range keepTries {
		if attempt() {
			return true
		}
		time.Sleep(wait)
		wait *= 2
	}
	return false
}
