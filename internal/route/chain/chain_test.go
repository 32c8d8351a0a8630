package chain_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/route/chain"
)

func TestHashSharesOnlyEqualPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "common")
		left := append(bytes.Clone(common), rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "left")...)
		right := append(bytes.Clone(common), rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "right")...)
		seed := chain.Seed{Workspace: "w", Model: "m"}
		a, b := chain.Hash(seed, left, 2), chain.Hash(seed, right, 2)
		for i := range min(len(a), len(b)) {
			end := (i + 1) * 2 * chain.BytesPerToken
			assert.Equal(t, bytes.Equal(left[:end], right[:end]), a[i] == b[i])
		}
	})
}

func TestHashSeedSeparates(t *testing.T) {
	base := chain.Seed{Workspace: "w", Model: "m", Adapter: "a", WeightVersion: "1"}
	tests := map[string]chain.Seed{
		"workspace":        {Workspace: "x", Model: "m", Adapter: "a", WeightVersion: "1"},
		"model":            {Workspace: "w", Model: "n", Adapter: "a", WeightVersion: "1"},
		"adapter":          {Workspace: "w", Model: "m", Adapter: "b", WeightVersion: "1"},
		"weight version":   {Workspace: "w", Model: "m", Adapter: "a", WeightVersion: "2"},
		"shifted boundary": {Workspace: "wm", Model: "", Adapter: "a", WeightVersion: "1"},
	}
	text := bytes.Repeat([]byte("x"), 64)
	want := chain.Hash(base, text, 2)
	for name, seed := range tests {
		t.Run(name, func(t *testing.T) {
			got := chain.Hash(seed, text, 2)
			for i := range got {
				assert.NotEqual(t, want[i], got[i])
			}
		})
	}
}

func ExampleHash() {
	seed := chain.Seed{Workspace: "members", Model: "quay-7b", WeightVersion: "1"}
	blocks := chain.Hash(seed, []byte("twelve bytes and a rest"), 3)
	fmt.Println(len(blocks))
	// Output: 1
}
