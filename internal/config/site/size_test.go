package site_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// largeText returns a text of the size planned for two years ahead: 11,000 engines
// and 2,600 workspaces in 9 data centres with 6 models.
func largeText() []byte {
	const dataCentres, models, engines, workspaces = 9, 6, 11000, 2600
	var b bytes.Buffer
	b.WriteString("{\n\"site\": \"large\",\n\"regions\": [\n")
	for i := range dataCentres {
		fmt.Fprintf(&b, "  {\"name\": \"region-%d\", \"dataCentres\": [\"dc-%d\"]},\n", i, i)
	}
	b.WriteString("],\n\"weights\": {\"tailTtft\": 1, \"recomputation\": 1},\n\"models\": [\n")
	for i := range models {
		fmt.Fprintf(&b, "  {\"name\": \"model-%d\", \"weightVersion\": \"2026-11\", \"blockTokens\": 2000},\n", i)
	}
	b.WriteString("],\n\"engines\": [\n")
	lists := make([][]string, models)
	for i := range engines {
		lists[i%models] = append(lists[i%models], fmt.Sprintf("%q", fmt.Sprintf("engine-%05d", i)))
		fmt.Fprintf(&b, "  {\"name\": \"engine-%05d\", \"address\": \"10.%d.%d.%d:8000\", \"dataCentre\": \"dc-%d\", \"model\": \"model-%d\", \"cacheBlocks\": 100000, \"checksFence\": true},\n",
			i, i%dataCentres, i/dataCentres/250, i/dataCentres%250+1, i%dataCentres, i%models)
	}
	b.WriteString("],\n\"applications\": [\n")
	for i := range models {
		fmt.Fprintf(&b, "  {\"name\": \"app-%d\", \"model\": \"model-%d\", \"engines\": [\n    %s,\n  ]},\n", i, i, strings.Join(lists[i], ",\n    "))
	}
	b.WriteString("],\n\"services\": [],\n\"workspaces\": [\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "  // Customer %d.\n  {\"name\": \"workspace-%04d\", \"share\": %d, \"class\": \"interactive\", \"keyHashes\": [\"%064x\"], \"applications\": [\"app-%d\"]},\n", i, i, 1+i%5, i+1, i%models)
	}
	b.WriteString("],\n}\n")
	return b.Bytes()
}

func TestLargeText(t *testing.T) {
	config, err := site.Parse(largeText())
	require.NoError(t, err)
	assert.Len(t, config.Engines, 11000)
	assert.Len(t, config.Workspaces, 2600)
}

// BenchmarkParse reads and validates a text of the size planned for two years ahead.
func BenchmarkParse(b *testing.B) {
	source := largeText()
	b.SetBytes(int64(len(source)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := site.Parse(source); err != nil {
			b.Fatal(err)
		}
	}
}
