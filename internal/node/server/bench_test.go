package server_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/node/server"
)

// BenchmarkPut parses a configuration of the size expected in two years and
// applies it to a running node. The time beyond parsing is the cost of updating
// the parts of the node that depend on the configuration.
func BenchmarkPut(b *testing.B) {
	const engines, workspaces, models, dataCentres = 11000, 2600, 6, 9
	var text strings.Builder
	text.WriteString(`{"site": "large", "weights": {"tailTtft": 1}, "regions": [{"name": "r", "dataCentres": [`)
	for i := range dataCentres {
		fmt.Fprintf(&text, `"dc-%d",`, i)
	}
	text.WriteString(`]}], "models": [`)
	for i := range models {
		fmt.Fprintf(&text, `{"name": "model-%d", "weightVersion": "1", "blockTokens": 2000},`, i)
	}
	text.WriteString(`], "engines": [`)
	lists := make([]strings.Builder, models)
	for i := range engines {
		fmt.Fprintf(&lists[i%models], `"engine-%05d",`, i)
		fmt.Fprintf(&text, `{"name": "engine-%05d", "address": "10.0.%d.%d:8000", "dataCentre": "dc-%d", "model": "model-%d", "cacheBlocks": 100000},`, i, i/200, i%200+1, i%dataCentres, i%models)
	}
	text.WriteString(`], "applications": [`)
	for i := range models {
		fmt.Fprintf(&text, `{"name": "app-%d", "model": "model-%d", "engines": [%s]},`, i, i, lists[i].String())
	}
	text.WriteString(`], "workspaces": [`)
	for i := range workspaces {
		fmt.Fprintf(&text, `{"name": "workspace-%04d", "keyHashes": ["%064x"], "applications": ["app-%d"]},`, i, i+1, i%models)
	}
	text.WriteString(`]}`)

	ctx, cancel := context.WithCancel(context.Background())
	node := server.New(local.Settings{Name: "node-1", DataCentre: "dc-0", CallerAddress: "127.0.0.1:0"}, hclog.NewNullLogger())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- node.Serve(ctx) }(ctx)
	<-node.Ready()
	source := []byte(text.String())
	b.ReportAllocs()
	version := uint64(0)
	for b.Loop() {
		version++
		if err := node.Apply(ctx, version, source); err != nil {
			b.Fatal(err)
		}
	}
	cancel()
	<-ended
}
