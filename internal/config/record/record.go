// Package record stores accepted configurations on the platform: the head row and the
// records of versions in the table, the operators' texts in the object store.
package record

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	jujuerrors "github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/config/submit"
	"github.com/cicadamill/cicadamill/internal/infra/object"
	"github.com/cicadamill/cicadamill/internal/infra/table"
)

const (
	headKey      = "config/head"
	entryPrefix  = "config/history/"
	textPrefix   = "config/text/"
	maxTextBytes = 32 << 20
	// tickInterval is the interval of ticks to a submission that waits for a retry.
	tickInterval = 100 * time.Millisecond
)

// Store reads and writes accepted configurations.
type Store struct {
	table  table.Client
	object object.Client
}

// New returns a store that uses the platform's table and object store.
//
//	store := record.New(tableClient, objectClient)
//	version, err := store.Submit(ctx, entry, text, applied.Version())
func New(tables table.Client, objects object.Client) *Store {
	return &Store{table: tables, object: objects}
}

// Head reads the head row. The first result is the table's version of the row; zero
// means that the row is missing, since no configuration was accepted yet.
func (s *Store) Head(ctx context.Context) (uint64, submit.Head, error) {
	var head submit.Head
	row, err := s.read(ctx, headKey, &head)
	return row, head, err
}

// Entry reads the record of a version. The nonce is empty if there is no record.
func (s *Store) Entry(ctx context.Context, version uint64) (submit.Entry, error) {
	var entry submit.Entry
	_, err := s.read(ctx, entryKey(version), &entry)
	return entry, err
}

// History returns up to limit records of versions below before, the newest first.
func (s *Store) History(ctx context.Context, before uint64, limit int) ([]submit.Entry, error) {
	after := uint64(0)
	if before > uint64(limit)+1 {
		after = before - uint64(limit) - 1
	}
	rows, err := s.table.List(ctx, entryPrefix, entryKey(after), limit)
	if err != nil {
		return nil, jujuerrors.Trace(err)
	}
	entries := make([]submit.Entry, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &entries[len(rows)-1-i]); err != nil {
			return nil, jujuerrors.Annotatef(err, "reading %s", row.Key)
		}
	}
	return entries, nil
}

// Text reads the operator's text of a version, including its comments.
func (s *Store) Text(ctx context.Context, entry submit.Entry) ([]byte, error) {
	compressed, err := s.object.Get(ctx, entry.TextKey)
	if err != nil {
		return nil, jujuerrors.Trace(err)
	}
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, jujuerrors.Annotatef(err, "unpacking %s", entry.TextKey)
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxTextBytes))
	return text, jujuerrors.Annotatef(err, "unpacking %s", entry.TextKey)
}

// TextKey returns the object key for a submission's text. The key contains the nonce,
// so that concurrent submissions never overwrite each other.
func TextKey(base uint64, nonce string) string {
	return fmt.Sprintf("%s%020d-%s", textPrefix, base+1, nonce)
}

// Submit runs a submission until it finishes or the context's deadline passes, and
// returns the accepted version. It fails with a [*submit.ConflictError] or a
// [*submit.OutageError]. newestActive is the newest version that this node has
// activated.
func (s *Store) Submit(ctx context.Context, entry submit.Entry, text []byte, newestActive uint64) (uint64, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, jujuerrors.New("a submission needs a deadline")
	}
	state, commands := submit.New(entry, newestActive, deadline)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var message submit.Message = submit.Tick{}
		if len(commands) > 0 {
			if finish, ok := commands[0].(submit.Finish); ok {
				return finish.Version, s.cleanUp(ctx, entry, finish)
			}
			message = s.execute(ctx, commands[0], text)
		} else {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				message = submit.CommandFailed{Reason: "the time is up"}
			}
		}
		state, commands = state.Update(time.Now(), message)
	}
}

// cleanUp returns the error of a finished submission. After a conflict it deletes the
// stored text, since the submission was certainly not accepted.
func (s *Store) cleanUp(ctx context.Context, entry submit.Entry, finish submit.Finish) error {
	var conflict *submit.ConflictError
	if errors.As(finish.Err, &conflict) {
		_ = s.object.Delete(ctx, entry.TextKey)
	}
	return finish.Err
}

func (s *Store) execute(ctx context.Context, command submit.Command, text []byte) submit.Message {
	switch c := command.(type) {
	case submit.ReadHead:
		row, head, err := s.Head(ctx)
		return messageOrLost(submit.HeadRead{RowVersion: row, Head: head}, err)
	case submit.ReadEntry:
		entry, err := s.Entry(ctx, c.Version)
		return messageOrLost(submit.EntryRead{Entry: entry, Current: c.Current}, err)
	case submit.StoreText:
		return messageOrLost(submit.TextStored{}, s.storeText(ctx, c.Key, text))
	case submit.Commit:
		return s.commit(ctx, c)
	default:
		return submit.CommandFailed{Reason: "unknown command"}
	}
}

func messageOrLost(message submit.Message, err error) submit.Message {
	if err != nil {
		return submit.CommandFailed{Reason: err.Error()}
	}
	return message
}

func (s *Store) storeText(ctx context.Context, key string, text []byte) error {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(text); err != nil {
		return jujuerrors.Trace(err)
	}
	if err := writer.Close(); err != nil {
		return jujuerrors.Trace(err)
	}
	return jujuerrors.Trace(s.object.Put(ctx, key, compressed.Bytes()))
}

func (s *Store) commit(ctx context.Context, c submit.Commit) submit.Message {
	head, err := json.Marshal(c.Head)
	if err != nil {
		return submit.CommandFailed{Reason: err.Error()}
	}
	entry, err := json.Marshal(c.Entry)
	if err != nil {
		return submit.CommandFailed{Reason: err.Error()}
	}
	puts := []table.Put{
		{Key: headKey, Value: head, IfVersion: c.IfRowVersion},
		{Key: entryKey(c.Entry.Version), Value: entry, Unconditional: true},
	}
	if c.ExpireVersion > 0 {
		puts = append(puts, table.Put{Key: entryKey(c.ExpireVersion), Unconditional: true})
	}
	err = s.table.Commit(ctx, table.Txn{Puts: puts})
	var conflict *table.ConflictError
	switch {
	case err == nil:
		return submit.Committed{}
	case errors.As(err, &conflict):
		return submit.ConditionFailed{}
	default:
		var outage *table.OutageError
		notApplied := errors.As(err, &outage) && !outage.MayHaveApplied
		return submit.CommandFailed{Reason: err.Error(), MayHaveApplied: !notApplied}
	}
}

func (s *Store) read(ctx context.Context, key string, into any) (uint64, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return 0, jujuerrors.Trace(err)
	}
	return row.Version, jujuerrors.Annotatef(json.Unmarshal(row.Value, into), "reading %s", key)
}

func entryKey(version uint64) string { return fmt.Sprintf("%s%020d", entryPrefix, version) }
