// Package loop runs the cell slice: it feeds messages to Update one at a time
// and hands each command to whom it concerns.
package loop

import (
	"context"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
)

const (
	inboxLength   = 1024
	mailboxLength = 8
	tickInterval  = 100 * time.Millisecond
)

// Loop owns the state of one cell. It is a suture service.
type Loop struct {
	inbox chan cell.Message
	fetch func(ctx context.Context, target string)

	mu        sync.Mutex
	mailboxes map[string]chan cell.Command
	targets   cell.Targets
}

// New returns a loop. The function fetch reads an engine's snapshot in the
// background.
//
//	cellLoop := loop.New(fetch)
//	supervisor.Add(cellLoop)
func New(fetch func(ctx context.Context, target string)) *Loop {
	return &Loop{
		inbox:     make(chan cell.Message, inboxLength),
		fetch:     fetch,
		mailboxes: map[string]chan cell.Command{},
	}
}

// Serve runs until the context ends. After a panic the supervisor calls it
// again; it then starts from the last list of engines.
func (l *Loop) Serve(ctx context.Context) error {
	state := cell.New()
	state, commands := state.Update(time.Now(), l.lastTargets())
	for _, command := range commands {
		l.run(ctx, command)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var message cell.Message = cell.Tick{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message = <-l.inbox:
		case <-ticker.C:
		}
		state, commands = state.Update(time.Now(), message)
		for _, command := range commands {
			l.run(ctx, command)
		}
	}
}

// Send hands a message to the slice.
func (l *Loop) Send(ctx context.Context, message cell.Message) error {
	if targets, ok := message.(cell.Targets); ok {
		l.remember(targets)
	}
	select {
	case l.inbox <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Open makes a mailbox for the commands that concern one request. The second
// result closes it.
func (l *Loop) Open(id string) (<-chan cell.Command, func()) {
	mailbox := make(chan cell.Command, mailboxLength)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mailboxes[id] = mailbox
	return mailbox, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.mailboxes, id)
	}
}

func (l *Loop) run(ctx context.Context, command cell.Command) {
	switch c := command.(type) {
	case cell.Start:
		l.deliver(c.Job, c)
	case cell.Refuse:
		l.deliver(c.Job, c)
	case cell.Stop:
		l.deliver(c.Job, c)
	case cell.Fetch:
		l.fetch(ctx, c.Target)
	case cell.Wake:
	}
}

// deliver never blocks the slice: a request that reads no commands is gone.
func (l *Loop) deliver(id string, command cell.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.mailboxes[id] <- command:
	default:
	}
}

func (l *Loop) remember(targets cell.Targets) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = targets
}

func (l *Loop) lastTargets() cell.Targets {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targets
}
