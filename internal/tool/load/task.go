package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
)

// task is one request to send, drawn from the seed before it is sent.
type task interface {
	do(ctx context.Context, r *Run)
}

// base is what every task has.
type base struct {
	key string
	// nodes is the order in which addresses are tried.
	nodes []int
}

func (b base) address(r *Run, attempt int) string {
	return r.options.Addresses[b.nodes[attempt%len(b.nodes)]]
}

func (b base) header(header http.Header) {
	header.Set("Authorization", "Bearer "+b.key)
	header.Set("Content-Type", "application/json")
}

// draw makes the next task.
func (r *Run) draw() task {
	workspace := r.random.IntN(len(r.options.Keys))
	b := base{key: r.options.Keys[workspace], nodes: r.random.Perm(len(r.options.Addresses))}
	if r.options.Service != "" && r.random.Float64() < r.options.ServicePart {
		if r.random.IntN(2) == 0 {
			return read{base: b, path: fmt.Sprintf("/orders/%d", r.random.IntN(1000))}
		}
		return action{base: b, id: fmt.Sprintf("load-%d-%016x", r.options.Seed, r.random.Uint64())}
	}
	return r.drawChat(b, workspace)
}

func (r *Run) drawChat(b base, workspace int) task {
	sheet := r.random.IntN(max(1, r.options.Sheets))
	levels := []string{
		text("common", 0, r.options.LevelWords[0]),
		text("workspace", uint64(workspace), r.options.LevelWords[1]),
		text(fmt.Sprint("sheet", workspace), uint64(sheet), r.options.LevelWords[2]),
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
		base: b, body: body, stream: stream, shared: len(prompt),
		prefixes: [3]string{"", fmt.Sprint(workspace), fmt.Sprint(workspace, "/", sheet)},
		lengths:  [3]int{len(levels[0]), len(levels[0]) + len(levels[1]) + 1, len(prompt)},
	}
}

// text is the same for the same name and number.
func text(name string, number uint64, words int) string {
	random := rand.New(rand.NewPCG(number, uint64(len(name))))
	var all strings.Builder
	fmt.Fprintf(&all, "%s %d:", name, number)
	for range words {
		fmt.Fprintf(&all, " %s%d", name, random.IntN(10_000))
	}
	return all.String()
}
