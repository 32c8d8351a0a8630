// Package docs_test checks that the documentation matches the code.
package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readFiles returns the content of the files below a folder of the repository
// whose path ends in suffix, by path.
func readFiles(t *testing.T, folder, suffix string) map[string]string {
	t.Helper()
	texts := map[string]string{}
	err := filepath.WalkDir(filepath.Join("..", folder), func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		text, err := os.ReadFile(path)
		texts[path] = string(text)
		return err
	})
	require.NoError(t, err)
	return texts
}

func concatenate(texts map[string]string) string {
	var all strings.Builder
	for _, text := range texts {
		all.WriteString(text)
	}
	return all.String()
}

// TestNamedTestsExist checks that the tests cited in the documentation exist.
func TestNamedTestsExist(t *testing.T) {
	code := concatenate(readFiles(t, "internal", "_test.go")) + concatenate(readFiles(t, "cmd", "_test.go")) + concatenate(readFiles(t, "docs", "_test.go")) + concatenate(readFiles(t, "platform", "_test.go"))
	named := regexp.MustCompile("`(?:[a-z/]+\\.)?((?:Test|Fuzz|Benchmark)[A-Z]\\w*)`")
	for path, text := range readFiles(t, "docs", ".md") {
		for _, match := range named.FindAllStringSubmatch(text, -1) {
			assert.Contains(t, code, "func "+match[1]+"(", "%s names %s", path, match[1])
		}
	}
}

// TestNamedBenchmarksExist checks that the benchmarks in the commands of the
// documentation and of the recorded slopes exist.
func TestNamedBenchmarksExist(t *testing.T) {
	code := concatenate(readFiles(t, "internal", "_test.go")) + concatenate(readFiles(t, "cmd", "_test.go"))
	command := regexp.MustCompile(`-bench[= ]'?\^?([A-Z]\w+)`)
	pages := readFiles(t, "docs", ".md")
	for path, text := range readFiles(t, "internal/tool/sizing", ".jsonc") {
		pages[path] = text
	}
	for path, text := range pages {
		for _, match := range command.FindAllStringSubmatch(text, -1) {
			assert.Contains(t, code, "func Benchmark"+strings.TrimPrefix(match[1], "Benchmark"), "%s names %s", path, match[1])
		}
	}
}

// TestLinksResolve checks that relative links lead to existing files.
func TestLinksResolve(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	pages := readFiles(t, "docs", ".md")
	for _, name := range []string{"README.md", "CONTRIBUTING.md"} {
		text, err := os.ReadFile(filepath.Join("..", name))
		require.NoError(t, err)
		pages[filepath.Join("..", name)] = string(text)
	}
	for path, text := range pages {
		for _, match := range link.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), match[1]))
			assert.NoError(t, err, "%s links to %s", path, match[1])
		}
	}
}

// TestErrorCodesAndTheirPageAgree checks that docs/PROTOCOL.md lists every error
// code that is returned to callers, and that some test refers to each listed code.
func TestErrorCodesAndTheirPageAgree(t *testing.T) {
	page, err := os.ReadFile("PROTOCOL.md")
	require.NoError(t, err)
	listed := map[string]bool{}
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.SplitN(line, "|", 3)
		if len(cells) < 3 {
			continue
		}
		for _, match := range regexp.MustCompile("`([a-z][A-Za-z]+)`").FindAllStringSubmatch(cells[1], -1) {
			listed[match[1]] = true
		}
	}
	returned := regexp.MustCompile(`(?:fault\.Error\{\s*Code:|Refuse\{(?:Job: [a-zA-Z.]+, )?Code:|refusal\()\s*"([a-zA-Z]+)"`)
	for path, code := range readFiles(t, "internal", ".go") {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		for _, match := range returned.FindAllStringSubmatch(code, -1) {
			assert.True(t, listed[match[1]], "%s returns %s, which PROTOCOL.md does not list", path, match[1])
		}
	}
	tests := concatenate(readFiles(t, "internal", "_test.go")) + concatenate(readFiles(t, "cmd", "_test.go"))
	names := codeConstants(t)
	for code := range listed {
		tested := strings.Contains(tests, code) || names[code] != "" && strings.Contains(tests, "."+names[code])
		assert.True(t, tested, "no test refers to %s", code)
	}
}

// codeConstants returns the names of string constants by value.
func codeConstants(t *testing.T) map[string]string {
	t.Helper()
	names := map[string]string{}
	defined := regexp.MustCompile(`(\w+)\s+(?:Code )?= "([a-z]\w+)"`)
	for _, code := range readFiles(t, "internal", ".go") {
		for _, match := range defined.FindAllStringSubmatch(code, -1) {
			names[match[2]] = match[1]
		}
	}
	return names
}
