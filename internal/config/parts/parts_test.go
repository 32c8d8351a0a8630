package parts_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/config/parts"
	"github.com/cicadamill/cicadamill/internal/config/site"
)

// samples returns the sample configurations.
func samples(t testing.TB) map[string]string {
	t.Helper()
	paths, err := filepath.Glob("../../../examples/*/configuration.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	texts := map[string]string{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		texts[path] = string(text)
	}
	return texts
}

// large returns a text with the engines and workspaces of the planned size.
func large(engines, workspaces, change int) []byte {
	var b strings.Builder
	b.WriteString(`{"site": "large", "weights": {"tailTtft": 1, "recomputation": 1}, "regions": [{"name": "r", "dataCentres": ["dc"]}], "models": [{"name": "m", "weightVersion": "1", "blockTokens": 2000}],` + "\n\"engines\": [\n")
	var names []string
	for i := range engines {
		names = append(names, fmt.Sprintf("%q", fmt.Sprintf("engine-%05d", i)))
		fmt.Fprintf(&b, "  {\"name\": \"engine-%05d\", \"address\": \"10.0.%d.%d:8000\", \"dataCentre\": \"dc\", \"model\": \"m\", \"cacheBlocks\": 100000},\n", i, i/250, i%250+1)
	}
	fmt.Fprintf(&b, "],\n\"applications\": [{\"name\": \"app\", \"model\": \"m\", \"engines\": [%s]}],\n\"workspaces\": [\n", strings.Join(names, ","))
	for i := range workspaces {
		share := 1
		if i == change%workspaces {
			share = 2 + change
		}
		fmt.Fprintf(&b, "  // Customer %d.\n  {\"name\": \"workspace-%d\", \"share\": %d, \"keyHashes\": [\"%064x\"], \"applications\": [\"app\"]},\n", i, i, share, i+1)
	}
	b.WriteString("]}\n")
	return []byte(b.String())
}

func TestParseEqualsWholeParse(t *testing.T) {
	cache := parts.New()
	for path, text := range samples(t) {
		want, err := site.Parse([]byte(text))
		require.NoError(t, err, path)
		got, err := cache.Parse([]byte(text))
		require.NoError(t, err, path)
		assert.Equal(t, want, got, path)
	}
}

func TestParseTakesOverWhatDidNotChange(t *testing.T) {
	cache := parts.New()
	_, err := cache.Parse(large(50, 20, 0))
	require.NoError(t, err)
	before, _ := cache.Counts()
	got, err := cache.Parse(large(50, 20, 7))
	require.NoError(t, err)
	after, _ := cache.Counts()
	assert.Equal(t, 4, after-before, "the site's name, its weights and the two workspaces that changed")
	assert.EqualValues(t, 9, got.Workspaces[7].Share)
}

func TestParseFallsBackOnOddTexts(t *testing.T) {
	tests := map[string]string{
		"not an object":  `[]`,
		"cut short":      `{"site": "a", "engines": [{"name": "`,
		"field twice":    `{"site": "a", "site": "b"}`,
		"unknown field":  `{"site": "a", "colour": 1}`,
		"list is a text": `{"site": "a", "engines": "none"}`,
		"bad element":    `{"site": "a", "engines": [{"name": 3}]}`,
		"open comment":   `{"site": "a" /* `,
		"empty":          ``,
	}
	for name, source := range tests {
		t.Run(name, func(t *testing.T) {
			_, want := site.Parse([]byte(source))
			_, got := parts.New().Parse([]byte(source))
			require.Error(t, got)
			assert.Equal(t, want.Error(), got.Error())
		})
	}
}

func TestParseEqualsWholeParseAfterEdits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := parts.New()
		for range rapid.IntRange(1, 4).Draw(t, "edits") {
			source := large(rapid.IntRange(1, 6).Draw(t, "engines"), rapid.IntRange(1, 6).Draw(t, "workspaces"), rapid.IntRange(0, 9).Draw(t, "change"))
			if rapid.Bool().Draw(t, "damage") {
				at := rapid.IntRange(0, len(source)-1).Draw(t, "at")
				source = append(source[:at:at], source[at+1:]...)
			}
			want, wantErr := site.Parse(source)
			got, err := cache.Parse(source)
			if wantErr == nil {
				require.NoError(t, err)
				assert.Equal(t, want, got)
			}
		}
	})
}

func BenchmarkParse(b *testing.B) {
	const engines, workspaces = 11000, 2600
	b.Run("whole", func(b *testing.B) {
		source := large(engines, workspaces, 0)
		for b.Loop() {
			if _, err := site.Parse(source); err != nil {
				b.Fatal(err)
			}
		}
	})
	for _, size := range []int{1000, 4000, engines} {
		b.Run(fmt.Sprintf("change/%d", size), func(b *testing.B) {
			cache := parts.New()
			sources := [][]byte{large(size, workspaces, 1), large(size, workspaces, 2)}
			_, err := cache.Parse(sources[1])
			require.NoError(b, err)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := cache.Parse(sources[i%2]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func ExampleCache_Parse() {
	cache := parts.New()
	_, _ = cache.Parse(large(100, 10, 0))
	_, _ = cache.Parse(large(100, 10, 1))
	_, reused := cache.Counts()
	fmt.Println(reused)
	// Output: 111
}
