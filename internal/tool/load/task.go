package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
)

// task is one request. All its random choices are made before it is sent, so that
// the sequence depends on the seed alone.
type task interface {
	do(ctx context.Context, r *Generator)
}

// baseTask holds the fields common to all tasks.
type baseTask struct {
	key string
	// order lists indexes of addresses in the order in which they are tried.
	order []int
}

func (b baseTask) address(r *Generator, attempt int) string {
	return r.options.Addresses[b.order[attempt%len(b.order)]]
}

func (b baseTask) setHeader(header http.Header) {
	header.Set("Authorization", "Bearer "+b.key)
	header.Set("Content-Type", "application/json")
}

// newTask draws the next task.
func (g *Generator) newTask() task {
	workspace := g.random.IntN(len(g.options.Keys))
	b := baseTask{key: g.options.Keys[workspace], order: g.random.Perm(len(g.options.Addresses))}
	if g.options.Service != "" && g.random.Float64() < g.options.ServiceFraction {
		if g.random.IntN(2) == 0 {
			return readTask{baseTask: b, path: fmt.Sprintf("/orders/%d", g.random.IntN(1000))}
		}
		return actionTask{baseTask: b, id: fmt.Sprintf("load-%d-%016x", g.options.Seed, g.random.Uint64())}
	}
	return g.newChatTask(b, workspace)
}

func (g *Generator) newChatTask(b baseTask, workspace int) task {
	sheet := g.random.IntN(max(1, g.options.Documents))
	levels := []string{
		generateText("common", 0, g.options.LevelWords[0]),
		generateText("workspace", uint64(workspace), g.options.LevelWords[1]),
		generateText(fmt.Sprint("sheet", workspace), uint64(sheet), g.options.LevelWords[2]),
	}
	question := fmt.Sprintf("question %d", g.random.IntN(1_000_000))
	prompt := strings.Join(levels, "\n")
	request := map[string]any{
		"model": g.options.Application, "max_tokens": g.options.MaxTokens,
		"messages": []map[string]string{{"role": "system", "content": prompt}, {"role": "user", "content": question}},
	}
	stream := g.random.Float64() >= g.options.UnstreamedFraction
	request["stream"] = stream
	body, _ := json.Marshal(request)
	return chatTask{
		baseTask: b, body: body, stream: stream, shared: len(prompt),
		prefixes: [3]string{"", fmt.Sprint(workspace), fmt.Sprint(workspace, "/", sheet)},
		lengths:  [3]int{len(levels[0]), len(levels[0]) + len(levels[1]) + 1, len(prompt)},
	}
}

// generateText returns a text that is a function of its arguments alone.
func generateText(name string, number uint64, words int) string {
	random := rand.New(rand.NewPCG(number, uint64(len(name))))
	var all strings.Builder
	fmt.Fprintf(&all, "%s %d:", name, number)
	for range words {
		fmt.Fprintf(&all, " %s%d", name, random.IntN(10_000))
	}
	return all.String()
}
