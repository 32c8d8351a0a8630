package docs_test

import (
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// platformNames matches names of the platform's headers, calls, tables and fields
// that only the adapter may use. It doesn't match X-Cicadamill-Code and the other
// headers of the public API.
var platformNames = regexp.MustCompile(`(?i)CICADAMILL_SETTINGS|"/cicadamill/|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|kv-(events|list|move|pin|handle)|` +
	`hold-(take|drop)|Kv-(Fetch|Save|Hold|Backup|From)|Cache-Salt|Not-Executed|Expect-(Instance|Version)|Response-Seal|Prefix-Hash|` +
	`Token-Count|Request-Urgency|Weight-Versions|Length-Hint|X-Cicadamill-(Tenant|Key|Model|Deadline-Ms|Request-Id|Pin-Ms|Instance-Id)|` +
	`fenceToken|bootEpoch|kvCapacity|kvTokenBytes|kvStoreAddr|engineAddr|apiKeys|sessionAffinity|objectiveMs|coldLeftMs|hot_swap|budgetRatio|versionMs|leaseMs`)

// TestOnlyTheAdapterNamesThePlatform checks that no code outside the adapter
// depends on names of the platform.
func TestOnlyTheAdapterNamesThePlatform(t *testing.T) {
	var found []string
	for _, folder := range []string{"internal", "cmd", "examples"} {
		for path, text := range readFiles(t, folder, ".go") {
			for _, name := range platformNames.FindAllString(text, -1) {
				found = append(found, path+": "+name)
			}
		}
	}
	assert.Empty(t, found)
}

// TestAdapterStaysSmall checks that the adapter has less than a tenth of the code.
// It should only translate; decisions belong to the packages in internal.
func TestAdapterStaysSmall(t *testing.T) {
	countLines := func(folder string) int {
		lines := 0
		for path, text := range readFiles(t, folder, ".go") {
			if !strings.HasSuffix(path, "_test.go") {
				lines += strings.Count(text, "\n")
			}
		}
		return lines
	}
	adapter, product := countLines("platform"), countLines("internal")+countLines("cmd")
	assert.Less(t, adapter*10, product)
}
