// Package batch decides which writes of many calls share one transaction.
//
// The table service takes a limited number of transactions a second, so writes
// that wait together travel together. A transaction takes effect wholly or not
// at all; when the condition of one write fails, that write alone is given back
// and the others are sent again.
package batch

import (
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/infra/table"
)

// Options bound the state.
type Options struct {
	// MaxWrites is the number of writes in one transaction.
	MaxWrites int
	// MaxQueue is the number of writes that may wait.
	MaxQueue int
	// MaxOpen is the number of transactions under way.
	MaxOpen int
	// Interval is the least time between the starts of two transactions.
	Interval time.Duration
}

// State holds the waiting writes and those under way.
type State struct {
	options Options
	queue   []Write
	open    map[uint64]transaction
	lastTxn uint64
	started time.Time
}

type transaction struct {
	writes    []Write
	conflicts int
}

// New returns a state without writes.
//
//	state := batch.New(batch.Options{MaxWrites: 64, MaxQueue: 1024, MaxOpen: 2})
//	state, commands := state.Update(now, batch.Add{Write: write})
func New(options Options) State {
	return State{options: options, open: map[uint64]transaction{}}
}

// Waiting returns the number of writes that wait for a transaction.
func (s State) Waiting() int { return len(s.queue) }

// Update takes a message at a time and returns what to do next.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	var commands []Command
	switch m := message.(type) {
	case Add:
		if len(s.queue) >= s.options.MaxQueue {
			return s, []Command{Finish{ID: m.Write.ID, Result: Full}}
		}
		s.queue = append(s.queue, m.Write)
	case Committed:
		commands = s.settle(m.Txn, Done)
	case Lost:
		commands = s.settle(m.Txn, Unsure)
	case Down:
		commands = s.settle(m.Txn, Failed)
	case Conflicted:
		commands = s.conflict(m)
	case Versions:
		commands = s.compare(m)
	case Tick:
	}
	return s.fill(now, commands)
}

// fill starts transactions while there is room.
func (s State) fill(now time.Time, commands []Command) (State, []Command) {
	for len(s.queue) > 0 && len(s.open) < s.options.MaxOpen {
		if wait := s.options.Interval - now.Sub(s.started); !s.started.IsZero() && wait > 0 {
			return s, append(commands, Wake{After: wait})
		}
		var writes []Write
		writes, s.queue = s.take()
		s.lastTxn++
		s.started = now
		s.open[s.lastTxn] = transaction{writes: writes}
		commands = append(commands, commit(s.lastTxn, writes))
	}
	return s, commands
}

// take splits the queue; a row stands in a transaction at most once.
func (s State) take() (writes, rest []Write) {
	keys := map[string]bool{}
	for _, write := range s.queue {
		if len(writes) < s.options.MaxWrites && !keys[write.Put.Key] {
			writes = append(writes, write)
		} else {
			rest = append(rest, write)
		}
		keys[write.Put.Key] = true
	}
	return writes, rest
}

// settle ends a transaction with one result for all.
func (s State) settle(id uint64, result Result) []Command {
	var commands []Command
	for _, write := range s.open[id].writes {
		commands = append(commands, Finish{ID: write.ID, Result: result})
	}
	delete(s.open, id)
	return commands
}

// conflict gives the failed write back. After the first conflict of a
// transaction the rest is sent again as it is; after a second one the rows are
// read, so that many repeats at once cost reads and not transactions.
func (s State) conflict(m Conflicted) []Command {
	open, ok := s.open[m.Txn]
	if !ok {
		return nil
	}
	at := slices.IndexFunc(open.writes, func(w Write) bool { return w.Put.Key == m.Key })
	if at < 0 {
		return s.settle(m.Txn, Failed)
	}
	commands := []Command{Finish{ID: open.writes[at].ID, Result: Conflict}}
	open.writes = slices.Delete(slices.Clone(open.writes), at, at+1)
	open.conflicts++
	if open.conflicts > 1 && len(open.writes) > 0 {
		s.open[m.Txn] = open
		return append(commands, Probe{Txn: m.Txn, Keys: conditional(open.writes)})
	}
	return append(commands, s.resend(m.Txn, open)...)
}

// compare gives back every write whose condition no longer holds.
func (s State) compare(m Versions) []Command {
	open, ok := s.open[m.Txn]
	if !ok {
		return nil
	}
	var commands []Command
	var rest []Write
	for _, write := range open.writes {
		if version, read := m.ByKey[write.Put.Key]; read && version != write.Put.IfVersion {
			commands = append(commands, Finish{ID: write.ID, Result: Conflict})
			continue
		}
		rest = append(rest, write)
	}
	open.writes = rest
	return append(commands, s.resend(m.Txn, open)...)
}

func (s State) resend(id uint64, open transaction) []Command {
	if len(open.writes) == 0 {
		delete(s.open, id)
		return nil
	}
	s.open[id] = open
	return []Command{commit(id, open.writes)}
}

func commit(id uint64, writes []Write) Command {
	puts := make([]table.Put, 0, len(writes))
	for _, write := range writes {
		puts = append(puts, write.Put)
	}
	return Commit{Txn: id, Puts: puts}
}

func conditional(writes []Write) []string {
	var keys []string
	for _, write := range writes {
		if !write.Put.Always {
			keys = append(keys, write.Put.Key)
		}
	}
	return keys
}
