package peers

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/tree"
)

// TestRestartedPeerGetsEverything guards against hosts that sent requests to crash
// targets although all others knew better: a peer that restarted before it was missed
// got only what was new, not what it had forgotten.
func TestRestartedPeerGetsEverything(t *testing.T) {
	var asked []Cursor
	p := New(Options{
		Self: tree.Node{Name: "a"}, Address: "a:1",
		Compose: func(_ oplog.Recipient, after Cursor) Message {
			asked = append(asked, after)
			return Message{Next: Cursor{Crashes: 7}}
		},
		Apply: func(oplog.Origin, Message, bool) {}, DropLoad: func(string) {}, OnParentReply: func() {},
		Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
	})
	now := time.Unix(1000, 0)
	send := func() outgoing {
		now = now.Add(meshInterval)
		messages := p.due(now)
		require.Len(t, messages, 1)
		return messages[0]
	}
	hear := func(start uint64) {
		p.receive(now, Message{From: "b", Address: "b:1", Start: start})
	}
	hear(1)
	for range 2 {
		p.handleResult(now, sendResult{outgoing: send(), ok: true})
	}
	lost := send()
	hear(2)
	p.handleResult(now, sendResult{outgoing: lost, ok: true})
	p.handleResult(now, sendResult{outgoing: send(), ok: true})
	send()
	assert.Equal(t, []Cursor{latest, {Crashes: 7}, {Crashes: 7}, latest, {Crashes: 7}}, asked)
}
