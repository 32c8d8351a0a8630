package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/route/job"
)

// serve starts a loop under a supervisor until the test ends.
func serve(t *testing.T, l *Loop) context.CancelFunc {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	supervisor := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
	supervisor.Add(l)
	ended := supervisor.ServeBackground(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return cancel
}

func arrived(id string) cell.Arrived {
	return cell.Arrived{Job: job.Job{ID: id, Application: "p"}}
}

func TestPanicRefusesOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(func(context.Context, string) {})
		l.update = func(s cell.State, now time.Time, m cell.Message) (cell.State, []cell.Command) {
			if m == (cell.Message)(cell.Cancelled{Job: "poison"}) {
				panic("planted")
			}
			return s.Update(now, m)
		}
		require.NoError(t, l.Send(context.Background(), cell.Targets{All: []cell.Target{{Name: "a", Applications: []string{"p"}, Capacity: 1}}}))
		serve(t, l)
		mailbox, closeMailbox := l.OpenMailbox("1")
		defer closeMailbox()
		require.NoError(t, l.Send(context.Background(), arrived("1")))
		assert.IsType(t, cell.Start{}, <-mailbox)
		require.NoError(t, l.Send(context.Background(), cell.Cancelled{Job: "poison"}))
		refuse, ok := (<-mailbox).(cell.Refuse)
		require.True(t, ok)
		assert.Equal(t, Restarted, refuse.Code)
		require.NoError(t, l.Send(context.Background(), arrived("1")))
		assert.IsType(t, cell.Start{}, <-mailbox, "the restarted cell has the list of engines")
	})
}

func TestStopRefusesOpenAndLaterRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(func(context.Context, string) {})
		cancel := serve(t, l)
		open, closeOpen := l.OpenMailbox("1")
		defer closeOpen()
		synctest.Wait()
		cancel()
		synctest.Wait()
		later, closeLater := l.OpenMailbox("2")
		defer closeLater()
		for _, mailbox := range []<-chan cell.Command{open, later} {
			refuse, ok := (<-mailbox).(cell.Refuse)
			require.True(t, ok)
			assert.Equal(t, Stopped, refuse.Code)
		}
		for range 2 * inboxLength {
			if l.Send(context.Background(), cell.Tick{}) != nil {
				return
			}
		}
		assert.Fail(t, "a loop that has ended accepted every message")
	})
}

func TestFullMailboxIsClosed(t *testing.T) {
	l := New(func(context.Context, string) {})
	mailbox, closeMailbox := l.OpenMailbox("1")
	defer closeMailbox()
	for range mailboxLength + 1 {
		l.deliver("1", cell.Cancel{Job: "1"})
	}
	read := 0
	for range mailbox {
		read++
	}
	assert.Equal(t, mailboxLength, read)
}

func TestEarliestWakeUpFires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(func(context.Context, string) {})
		start := time.Now()
		var woken []time.Duration
		l.update = func(s cell.State, now time.Time, m cell.Message) (cell.State, []cell.Command) {
			switch m.(type) {
			case cell.Leaving:
				return s, []cell.Command{cell.Wake{At: start.Add(60 * time.Millisecond)}, cell.Wake{At: start.Add(30 * time.Millisecond)}}
			case cell.Tick:
				woken = append(woken, now.Sub(start))
			}
			return s, nil
		}
		serve(t, l)
		require.NoError(t, l.Send(context.Background(), cell.Leaving{}))
		time.Sleep(90 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, []time.Duration{30 * time.Millisecond}, woken)
	})
}
