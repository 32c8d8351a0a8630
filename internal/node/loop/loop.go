// Package loop runs the cell slice: it feeds messages to Update one at a time
// and hands each command to whom it concerns.
package loop

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

const (
	inboxLength   = 1024
	mailboxLength = 64
	tickInterval  = 100 * time.Millisecond
)

// The codes of a [cell.Refuse] that comes from the loop, not from the slice.
const (
	// Restarted tells that the slice lost its state. A request that has no
	// attempt running should arrive again.
	Restarted = "restarted"
	// Stopped tells that the loop has ended.
	Stopped = "stopping"
)

// ErrStopped is the failure to send to a loop that has ended.
var ErrStopped = errors.New("the cell's loop has ended")

// Loop owns the state of one cell. It is a suture service.
type Loop struct {
	inbox   chan cell.Message
	fetch   func(ctx context.Context, target string)
	stopped chan struct{}
	bring   func(ctx context.Context, command cell.Import)
	count   func(cell.Counts)
	update  func(cell.State, time.Time, cell.Message) (cell.State, []cell.Command)

	mu        sync.Mutex
	mailboxes map[string]chan cell.Command
	targets   cell.Targets
	starts    int
	over      bool
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
		stopped:   make(chan struct{}),
		update:    cell.State.Update,
		mailboxes: map[string]chan cell.Command{},
	}
}

// Serve runs until the context ends. After a panic the supervisor calls it
// again; it then starts from the last list of engines and tells every open
// request that what it had asked is forgotten.
func (l *Loop) Serve(ctx context.Context) error {
	defer func() {
		if ctx.Err() != nil {
			l.stop()
		}
	}()
	state := cell.New(cell.WithSeed(rand.Uint64()))
	state, commands := state.Update(time.Now(), l.restart())
	clock := newClock()
	defer clock.stop()
	l.runAll(ctx, clock, commands)
	for {
		var message cell.Message = cell.Tick{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message = <-l.inbox:
		case <-clock.ticks():
			l.report(state)
		case <-clock.wakes():
			clock.woken()
		}
		state, commands = l.update(state, time.Now(), message)
		l.runAll(ctx, clock, commands)
	}
}

// Send hands a message to the slice. It fails when the context or the loop has
// ended.
func (l *Loop) Send(ctx context.Context, message cell.Message) error {
	if targets, ok := message.(cell.Targets); ok {
		l.remember(targets)
	}
	select {
	case l.inbox <- message:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Open makes a mailbox for the commands that concern one request. The second
// result closes it. A mailbox that is closed from this side has overflowed:
// its request was not reading.
func (l *Loop) Open(id string) (<-chan cell.Command, func()) {
	mailbox := make(chan cell.Command, mailboxLength)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		mailbox <- refusal(id, Stopped)
		return mailbox, func() {}
	}
	l.mailboxes[id] = mailbox
	return mailbox, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.mailboxes, id)
	}
}

func (l *Loop) runAll(ctx context.Context, clock *clock, commands []cell.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case cell.Start:
			l.deliver(c.Job, c)
		case cell.Refuse:
			l.deliver(c.Job, c)
		case cell.Stop:
			l.deliver(c.Job, c)
		case cell.Fetch:
			l.fetch(ctx, c.Target)
		case cell.Import:
			l.importBlocks(ctx, c)
		case cell.Wake:
			clock.wakeAt(c.At)
		}
	}
}

// WithImport sets the function that runs an import in the background and sends
// its end as [cell.Imported]. Without one every import fails at once.
func (l *Loop) WithImport(bring func(ctx context.Context, command cell.Import)) *Loop {
	l.bring = bring
	return l
}

// WithCounts sets the function that takes the slice's counters with every tick.
// They begin at zero again when the loop restarts.
func (l *Loop) WithCounts(count func(cell.Counts)) *Loop {
	l.count = count
	return l
}

func (l *Loop) report(state cell.State) {
	if l.count != nil {
		l.count(state.Counts())
	}
}

func (l *Loop) importBlocks(ctx context.Context, c cell.Import) {
	if l.bring != nil {
		l.bring(ctx, c)
		return
	}
	go func(ctx context.Context) {
		_ = l.Send(ctx, cell.Imported{Job: c.Job, Target: c.Target, Incarnation: c.Incarnation, WeightVersion: c.WeightVersion})
	}(ctx)
}

func (l *Loop) deliver(id string, command cell.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.put(id, command)
}

// put never blocks the slice. A request that doesn't read finds its mailbox
// closed, never a command missing. The caller holds the lock.
func (l *Loop) put(id string, command cell.Command) {
	mailbox, ok := l.mailboxes[id]
	if !ok {
		return
	}
	select {
	case mailbox <- command:
	default:
		close(mailbox)
		delete(l.mailboxes, id)
	}
}

// restart returns the last list of engines. From the second start on it also
// tells the open requests.
func (l *Loop) restart() cell.Targets {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	if l.starts > 1 {
		l.tellAll(Restarted)
	}
	return l.targets
}

func (l *Loop) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	l.over = true
	close(l.stopped)
	l.tellAll(Stopped)
}

func (l *Loop) tellAll(code string) {
	for id := range l.mailboxes {
		l.put(id, refusal(id, code))
	}
}

func refusal(id, code string) cell.Refuse {
	return cell.Refuse{
		Job: id, Code: code, Outcome: effect.NotRun{Reason: "the node is " + code},
		RetryAfter: time.Second, Message: "the node is " + code,
	}
}

func (l *Loop) remember(targets cell.Targets) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = targets
}
