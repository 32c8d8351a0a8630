// Command stand3 plays the cases of the third review that are scripts: it starts hosts as
// processes of the deploy file's program, with stand-ins of the platform's store and of
// engines on loopback addresses, and judges what the stand-ins and the clients saw.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// longest is the longest time that a case may take.
const longest = 100 * time.Second

type options struct {
	binary, folder string
	hosts          int
	trouble        bool
}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   *os.File
}

// add adds a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
}

// cases returns the number of times that the rule was broken.
var cases = map[string]func(context.Context, options, *record) (int, error){"earlier": earlier}

func main() { os.Exit(run()) }

func run() int {
	var o options
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	flag.StringVar(&o.binary, "gateway", "target/cicadamill", "program of the hosts")
	flag.Parse()
	o.trouble = os.Getenv("TROUBLE") != "0"
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return 2
	}
	out, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	if o.folder, err = os.MkdirTemp("", "cicadamill-review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(o.folder) }()
	}
	r := &record{began: time.Now(), out: out}
	r.add("trouble: %v", o.trouble)
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	broken, err := play(ctx, o, r)
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	case broken > 0:
		r.add("the rule was broken %d times", broken)
		fmt.Println("the rule was broken", broken, "times")
		return 1
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
