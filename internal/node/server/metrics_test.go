package server_test

import (
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/admin"
	"github.com/cicadamill/cicadamill/internal/node/server"
	"github.com/cicadamill/cicadamill/internal/standin/embed"
)

// pages maps the operators' pages to the prefixes of the metrics that they
// explain. The page on nodes and configuration has all the others.
var pages = map[string][]string{
	"stream.md":  {"stream_"},
	"decide.md":  {"decide_"},
	"fleet.md":   {"fleet_", "drain_"},
	"effects.md": {"effects_", "ledger_", "service_", "target_failures", "orders", "lease_"},
}

const (
	folder   = "../../../docs/operations"
	mainPage = "config.md"
)

// reportPause is longer than the interval in which values reach the page.
const reportPause = 3 * time.Second

// scraped returns the names on the metrics pages of two nodes that have
// answered and refused some requests, without the common prefix.
func scraped(t *testing.T) map[string]bool {
	t.Helper()
	first, second, text := pair(t)
	names := map[string]bool{}
	for _, node := range []server.Addresses{first, second} {
		_, _ = ask(t, node.Caller, embed.MembersKey, "What do posts cost?", true)
		_, _ = ask(t, node.Caller, "wrong", "What do posts cost?", true)
		_, err := client(node.Operator).Submit(t.Context(), admin.Submission{Nonce: "n", Text: "{}"})
		require.Error(t, err)
		_, err = client(node.Operator).Submit(t.Context(), admin.Submission{Nonce: "m", Text: text})
		require.NoError(t, err)
	}
	for _, node := range []server.Addresses{first, second} {
		scrapeUntil(t, node.Operator, names, "refusals", "config_submissions_refused")
	}
	return names
}

// scrapeUntil gathers names until a page has all of some.
func scrapeUntil(t *testing.T, address string, names map[string]bool, wanted ...string) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, page := get(t, address, "/metrics")
		require.Equal(t, http.StatusOK, status)
		found := map[string]bool{}
		for _, match := range regexp.MustCompile(`(?m)^# TYPE cicadamill_(\w+) `).FindAllStringSubmatch(page, -1) {
			found[match[1]], names[match[1]] = true, true
		}
		return !slices.ContainsFunc(wanted, func(name string) bool { return !found[name] })
	}, reportPause, 50*time.Millisecond)
}

// documented returns the metrics that the tables of a page explain.
func documented(t *testing.T, page string) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(folder, page))
	require.NoError(t, err)
	names := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		for _, match := range regexp.MustCompile("`(\\w+)(?:\\{[^`]*\\})?`").FindAllStringSubmatch(cells[1], -1) {
			names[match[1]] = true
		}
	}
	return names
}

// pageOf returns the page that explains a metric.
func pageOf(name string) string {
	for page, prefixes := range pages {
		for _, prefix := range prefixes {
			if strings.HasPrefix(name, prefix) {
				return page
			}
		}
	}
	return mainPage
}

func TestMetricsAndTheirPagesAgree(t *testing.T) {
	names := scraped(t)
	explained := map[string]map[string]bool{mainPage: documented(t, mainPage)}
	for page := range pages {
		if _, err := os.Stat(filepath.Join(folder, page)); err == nil {
			explained[page] = documented(t, page)
		}
	}
	for name := range names {
		if on, ok := explained[pageOf(name)]; ok {
			assert.True(t, on[name], "%s is scraped and not explained in %s", name, pageOf(name))
		}
	}
	for name := range explained[mainPage] {
		assert.True(t, names[name], "%s is explained in %s and not scraped", name, mainPage)
	}
}
