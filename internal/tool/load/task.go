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
	do(ctx context.Context, r *Run)
}

// baseTask holds the fields common to all tasks.
type baseTask struct {
	key string
	// order lists indexes of addresses in the order in which they are tried.
	order []int
}

func (b baseTask) address(r *Run, attempt int) string {
	return r.options.Addresses[b.order[attempt%len(b.order)]]
}

func (b baseTask) setHeader(header http.Header) {
	header.Set("Authorization", "Bearer "+b.key)
	header.Set("Content-Type", "application/json")
}

// newTask draws the next task.
func (r *Run) newTask() task {
	workspace := r.random.IntN(len(r.options.Keys))
	b := baseTask{key: r.options.Keys[workspace], order: r.random.Perm(len(r.options.Addresses))}
	if r.options.Service != "" && r.random.Float64() < r.options.ServicePart {
		if r.random.IntN(2) == 0 {
			return readTask{baseTask: b, path: fmt.Sprintf("/orders/%d", r.random.IntN(1000))}
		}
		return actionTask{baseTask: b, id: fmt.Sprintf("load-%d-%016x", r.options.Seed, r.random.Uint64())}
	}
	return r.newChatTask(b, workspace)
}

func (r *Run) newChatTask(b baseTask, workspace int) task {
	sheet := r.random.IntN(max(1, r.options.Sheets))
	levels := []string{
		generateText("common", 0, r.options.LevelWords[0]),
		generateText("workspace", uint64(workspace), r.options.LevelWords[1]),
		generateText(fmt.Sprint("sheet", workspace), uint64(sheet), r.options.LevelWords[2]),
	}
	question := fmt.Sprintf("question %d", r.random.IntN(1_000_000))
	prompt := strings.Join(levels, "\n")
	request := map[string]any{
		"model": r.options.Application, "max_tokens": r.options.MaxTokens,
		"messages": []map[string]string{{"role": "system", "content": prompt}, {"role": "user", "content": question}},
	}
	stream := r.random.Float64() >= r.options.WholePart
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
