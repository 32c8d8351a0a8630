package gossip_test

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/fleet/member"
	"github.com/cicadamill/cicadamill/internal/node/gossip"
	"github.com/cicadamill/cicadamill/internal/node/steer"
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// TestLeavingNodeIsNoHome checks the pattern "planned stops in turn": a node that
// has said that it is leaving gets no further requests, however soon they come.
func TestLeavingNodeIsNoHome(t *testing.T) {
	other := note.Entry{Name: "node-2", Address: "10.0.0.2:7000", DataCentre: "tema", Incarnation: 1, State: note.Alive}
	leaving := other
	leaving.State = note.Leaving
	third := note.Entry{Name: "node-3", Address: "10.0.0.3:7000", DataCentre: "tema", Incarnation: 1, State: note.Alive}
	tests := map[string]note.Note{
		"its own note":         {From: leaving},
		"note of another node": {From: third, Entries: []note.Entry{leaving}},
		"repair of the view":   {From: third, Repair: []note.Entry{leaving}},
	}
	for name, received := range tests {
		t.Run(name, func(t *testing.T) {
			g := gossip.New(gossip.Options{
				Member: member.Options{Name: "node-1", Address: "10.0.0.1:7000", DataCentre: "tema", Incarnation: 1},
				Scope:  tally.NoopScope, Logger: hclog.NewNullLogger(),
			})
			_, err := g.Receive(t.Context(), note.Note{From: other})
			require.NoError(t, err)
			g.Leave() // assigns the homes
			home := steer.Home{Name: other.Name, Address: other.Address}
			require.Contains(t, g.Homes("tema/0", "tema", 2), home)
			_, err = g.Receive(t.Context(), received)
			require.NoError(t, err)
			assert.NotContains(t, g.Homes("tema/0", "tema", 2), home)
		})
	}
}
