package render_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/tool/bench"
	"github.com/cicadamill/cicadamill/internal/tool/judge"
	"github.com/cicadamill/cicadamill/internal/tool/render"
	"github.com/cicadamill/cicadamill/internal/tool/score"
)

func rows() []bench.Row {
	return []bench.Row{
		{Site: "kochi", Load: "steady", Policy: "home", Result: score.Result{HitRate: 0.8, HitRateCeiling: 0.9, WorstTTFT: []float64{10, 30, 20}}},
		{Site: "kochi", Load: "steady", Policy: "leastLoaded", Result: score.Result{HitRate: 0.4, WorstTTFT: []float64{50, 40, 60}}},
	}
}

func TestAllFormats(t *testing.T) {
	var table, verdicts, encoded, plot bytes.Buffer
	require.NoError(t, render.Table(&table, rows()))
	require.NoError(t, render.Verdicts(&verdicts, judge.Verdicts(rows(), "home")))
	require.NoError(t, render.JSON(&encoded, rows()))
	require.NoError(t, render.Plot(&plot, rows(), "kochi", "steady"))
	assert.Equal(t, 3, bytes.Count(table.Bytes(), []byte("\n")))
	assert.Contains(t, verdicts.String(), "hit rate by ceiling")
	assert.Contains(t, verdicts.String(), "false", "0.8 of 0.9 misses the target")
	var decoded []bench.Row
	require.NoError(t, json.Unmarshal(encoded.Bytes(), &decoded))
	assert.Equal(t, rows(), decoded)
	assert.Contains(t, plot.String(), "<svg")
}
