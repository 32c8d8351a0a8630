// Package batch groups the writes of many callers into transactions.
//
// The table service accepts a limited number of transactions per second, so
// queued writes share transactions. A transaction is atomic; if the condition of
// one write fails, only that write is reported as a conflict, and the others are
// sent again.
package batch

import (
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/infra/table"
)

// Options are the limits of a [State].
type Options struct {
	// MaxWrites is the maximum number of writes in one transaction.
	MaxWrites int
	// MaxQueue is the maximum number of queued writes.
	MaxQueue int
	// MaxInFlight is the maximum number of transactions in flight.
	MaxInFlight int
	// Interval is the minimum time between the starts of two transactions.
	Interval time.Duration
}

// State holds the queued writes and the transactions in flight.
type State struct {
	options      Options
	queue        []Write
	inFlight     map[uint64]transaction
	lastTxn      uint64
	lastCommitAt time.Time
}

type transaction struct {
	writes    []Write
	conflicts int
}

// New returns a state without writes.
//
//	state := batch.New(batch.Options{MaxWrites: 64, MaxQueue: 1024, MaxInFlight: 2})
//	state, commands := state.Update(now, batch.Add{Write: write})
func New(options Options) State {
	return State{options: options, inFlight: map[uint64]transaction{}}
}

// Waiting returns the number of queued writes.
func (s State) Waiting() int { return len(s.queue) }

// Update applies a message and returns the commands to run.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	var commands []Command
	switch m := message.(type) {
	case Add:
		if len(s.queue) >= s.options.MaxQueue {
			return s, []Command{Finish{ID: m.Write.ID, Result: Full}}
		}
		s.queue = append(s.queue, m.Write)
	case Committed:
		commands = s.finishAll(m.Txn, Done)
	case Lost:
		commands = s.finishAll(m.Txn, Unsure)
	case Unavailable:
		commands = s.finishAll(m.Txn, Failed)
	case Conflicted:
		commands = s.applyConflict(m)
	case Versions:
		commands = s.applyVersions(m)
	case Tick:
	}
	return s.startTransactions(now, commands)
}

// startTransactions starts transactions until the queue is empty or a limit is
// reached.
func (s State) startTransactions(now time.Time, commands []Command) (State, []Command) {
	for len(s.queue) > 0 && len(s.inFlight) < s.options.MaxInFlight {
		if wait := s.options.Interval - now.Sub(s.lastCommitAt); !s.lastCommitAt.IsZero() && wait > 0 {
			return s, append(commands, Wake{After: wait})
		}
		var writes []Write
		writes, s.queue = s.nextTransaction()
		s.lastTxn++
		s.lastCommitAt = now
		s.inFlight[s.lastTxn] = transaction{writes: writes}
		commands = append(commands, commit(s.lastTxn, writes))
	}
	return s, commands
}

// nextTransaction splits the queue into the writes of the next transaction and
// the rest. A transaction contains at most one write to each row, and the writes
// to a row keep their order.
func (s State) nextTransaction() (writes, rest []Write) {
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

// finishAll ends a transaction with the same result for all of its writes.
func (s State) finishAll(id uint64, result Result) []Command {
	var commands []Command
	for _, write := range s.inFlight[id].writes {
		commands = append(commands, Finish{ID: write.ID, Result: result})
	}
	delete(s.inFlight, id)
	return commands
}

// applyConflict finishes the write that conflicted. After the first conflict of a
// transaction the other writes are sent again at once. After any further one the
// versions of their rows are read first, so that many duplicate requests at once
// cost reads instead of transactions.
func (s State) applyConflict(m Conflicted) []Command {
	txn, ok := s.inFlight[m.Txn]
	if !ok {
		return nil
	}
	at := slices.IndexFunc(txn.writes, func(w Write) bool { return w.Put.Key == m.Key })
	if at < 0 {
		return s.finishAll(m.Txn, Failed)
	}
	commands := []Command{Finish{ID: txn.writes[at].ID, Result: Conflict}}
	txn.writes = slices.Delete(slices.Clone(txn.writes), at, at+1)
	txn.conflicts++
	if txn.conflicts > 1 && len(txn.writes) > 0 {
		s.inFlight[m.Txn] = txn
		return append(commands, Probe{Txn: m.Txn, Keys: conditionalKeys(txn.writes)})
	}
	return append(commands, s.resend(m.Txn, txn)...)
}

// applyVersions finishes each write whose expected version doesn't match its row,
// and sends the others again.
func (s State) applyVersions(m Versions) []Command {
	txn, ok := s.inFlight[m.Txn]
	if !ok {
		return nil
	}
	var commands []Command
	var rest []Write
	for _, write := range txn.writes {
		if version, read := m.ByKey[write.Put.Key]; read && version != write.Put.IfVersion {
			commands = append(commands, Finish{ID: write.ID, Result: Conflict})
			continue
		}
		rest = append(rest, write)
	}
	txn.writes = rest
	return append(commands, s.resend(m.Txn, txn)...)
}

func (s State) resend(id uint64, txn transaction) []Command {
	if len(txn.writes) == 0 {
		delete(s.inFlight, id)
		return nil
	}
	s.inFlight[id] = txn
	return []Command{commit(id, txn.writes)}
}

func commit(id uint64, writes []Write) Command {
	puts := make([]table.Put, 0, len(writes))
	for _, write := range writes {
		puts = append(puts, write.Put)
	}
	return Commit{Txn: id, Puts: puts}
}

func conditionalKeys(writes []Write) []string {
	var keys []string
	for _, write := range writes {
		if !write.Put.Unconditional {
			keys = append(keys, write.Put.Key)
		}
	}
	return keys
}
