// Package loop runs the state machine of a cell: it passes messages to Update one
// at a time and executes the resulting commands.
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

// The codes of a [cell.Refuse] that the loop sends itself.
const (
	// Restarted means that the cell has lost its state. A request without a
	// running attempt should send [cell.Arrived] again.
	Restarted = "restarted"
	// Stopped means that the loop has ended.
	Stopped = "stopping"
)

// ErrStopped is returned when a message is sent to a loop that has ended.
var ErrStopped = errors.New("the cell's loop has ended")

// Loop owns the state of one cell. It is a suture service.
type Loop struct {
	inbox         chan cell.Message
	fetchSnapshot func(ctx context.Context, target string)
	stopped       chan struct{}
	importer      func(ctx context.Context, command cell.Import)
	countsSink    func(cell.Counts)
	update        func(cell.State, time.Time, cell.Message) (cell.State, []cell.Command)

	mu        sync.Mutex
	mailboxes map[string]chan cell.Command
	targets   cell.Targets
	starts    int
	isStopped bool
}

// New returns a loop. The function fetch must not block: it starts reading an
// engine's cache snapshot in the background.
//
//	cellLoop := loop.New(fetch)
//	supervisor.Add(cellLoop)
func New(fetch func(ctx context.Context, target string)) *Loop {
	return &Loop{
		inbox:         make(chan cell.Message, inboxLength),
		fetchSnapshot: fetch,
		stopped:       make(chan struct{}),
		update:        cell.State.Update,
		mailboxes:     map[string]chan cell.Command{},
	}
}

// Serve runs until ctx ends. After a panic the supervisor calls it again; it then
// starts from the last list of engines, and refuses every open request with
// [Restarted], because the cell's state is lost.
func (l *Loop) Serve(ctx context.Context) error {
	defer func() {
		if ctx.Err() != nil {
			l.stop()
		}
	}()
	state := cell.New(cell.WithSeed(rand.Uint64()))
	state, commands := state.Update(time.Now(), l.prepareStart())
	timers := newTimers()
	defer timers.stop()
	l.executeAll(ctx, timers, commands)
	for {
		var message cell.Message = cell.Tick{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message = <-l.inbox:
		case <-timers.ticks():
			l.reportCounts(state)
		case <-timers.wakeUps():
			timers.clearWake()
		}
		state, commands = l.update(state, time.Now(), message)
		l.executeAll(ctx, timers, commands)
	}
}

// Send sends a message to the cell. It fails when ctx or the loop has ended.
func (l *Loop) Send(ctx context.Context, message cell.Message) error {
	if targets, ok := message.(cell.Targets); ok {
		l.storeTargets(targets)
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

// OpenMailbox opens a mailbox for the commands to one request. The second result
// removes it. The loop closes a mailbox that overflows because the request doesn't
// read it.
func (l *Loop) OpenMailbox(id string) (<-chan cell.Command, func()) {
	mailbox := make(chan cell.Command, mailboxLength)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isStopped {
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

func (l *Loop) executeAll(ctx context.Context, timers *timers, commands []cell.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case cell.Start:
			l.deliver(c.Job, c)
		case cell.Refuse:
			l.deliver(c.Job, c)
		case cell.Cancel:
			l.deliver(c.Job, c)
		case cell.FetchSnapshot:
			l.fetchSnapshot(ctx, c.Target)
		case cell.Import:
			l.importBlocks(ctx, c)
		case cell.Wake:
			timers.wakeAt(c.At)
		}
	}
}

// WithImport sets the function that runs an import in the background and reports
// its end by [cell.Imported]. Without it, every import fails at once.
func (l *Loop) WithImport(bring func(ctx context.Context, command cell.Import)) *Loop {
	l.importer = bring
	return l
}

// WithCounts sets the function that receives the cell's counters on every tick.
// They start at zero again when the loop restarts.
func (l *Loop) WithCounts(count func(cell.Counts)) *Loop {
	l.countsSink = count
	return l
}

func (l *Loop) reportCounts(state cell.State) {
	if l.countsSink != nil {
		l.countsSink(state.Counts())
	}
}

func (l *Loop) importBlocks(ctx context.Context, c cell.Import) {
	if l.importer != nil {
		l.importer(ctx, c)
		return
	}
	go func(ctx context.Context) {
		_ = l.Send(ctx, cell.Imported{Job: c.Job, Target: c.Target, Incarnation: c.Incarnation, WeightVersion: c.WeightVersion})
	}(ctx)
}

func (l *Loop) deliver(id string, command cell.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliverLocked(id, command)
}

// deliverLocked puts a command into a request's mailbox without blocking the
// cell. A full mailbox is closed, so that the request notices and never misses
// a command in between. The caller holds the lock.
func (l *Loop) deliverLocked(id string, command cell.Command) {
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

// prepareStart returns the last list of engines. On a restart it also refuses the
// open requests.
func (l *Loop) prepareStart() cell.Targets {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	if l.starts > 1 {
		l.refuseAll(Restarted)
	}
	return l.targets
}

func (l *Loop) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isStopped {
		return
	}
	l.isStopped = true
	close(l.stopped)
	l.refuseAll(Stopped)
}

func (l *Loop) refuseAll(code string) {
	for id := range l.mailboxes {
		l.deliverLocked(id, refusal(id, code))
	}
}

func refusal(id, code string) cell.Refuse {
	return cell.Refuse{
		Job: id, Code: code, Outcome: effect.NotRun{Reason: "the node is " + code},
		RetryAfter: time.Second, Message: "the node is " + code,
	}
}

func (l *Loop) storeTargets(targets cell.Targets) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = targets
}
