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
	"github.com/cicadamill/cicadamill/internal/standin/inproc"
)

// pages maps documentation pages to the prefixes of the metrics that they
// describe. All other metrics are described on the main page.
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

// reportPause is longer than the interval at which metrics are exported.
const reportPause = 3 * time.Second

// scrapeNames returns the names of the metrics exported by two nodes that have
// answered and refused some requests, without the common prefix.
func scrapeNames(t *testing.T) map[string]bool {
	t.Helper()
	first, second, text := startPeers(t)
	names := map[string]bool{}
	for _, node := range []server.Addresses{first, second} {
		_, _ = postChat(t, node.Caller, inproc.MembersKey, "What do posts cost?", true)
		_, _ = postChat(t, node.Caller, "wrong", "What do posts cost?", true)
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

// scrapeUntil scrapes a node and adds the metrics to names, until one scrape has
// all wanted metrics.
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

// documentedNames returns the names of the metrics in the tables of a page.
func documentedNames(t *testing.T, page string) map[string]bool {
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

// pageOf returns the page that describes a metric.
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
	names := scrapeNames(t)
	described := map[string]map[string]bool{mainPage: documentedNames(t, mainPage)}
	for page := range pages {
		if _, err := os.Stat(filepath.Join(folder, page)); err == nil {
			described[page] = documentedNames(t, page)
		}
	}
	for name := range names {
		if on, ok := described[pageOf(name)]; ok {
			assert.True(t, on[name], "%s is exported but not described in %s", name, pageOf(name))
		}
	}
	for name := range described[mainPage] {
		assert.True(t, names[name], "%s is described in %s but not exported", name, mainPage)
	}
}
