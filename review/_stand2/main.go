// Command _stand2 plays the cases 6 to 10 of the review: it starts gateways as separate
// processes on loopback addresses, with stand-ins of the platform's store, the engines
// and the clients, and checks what these see.
//
//	target/review2 CASE RECORD
//
// It writes RECORD, the path of record.txt, and exits with 1 if the rule was broken, 0 if it held and 2
// if the case couldn't run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cantRun    = 2
)

// longest bounds the time of a case.
const longest = 110 * time.Second

// cases are the cases by number.
var cases = map[string]func(context.Context, *site) (broken []string, err error){
	"6":  extraBytes,
	"7":  ordersInTurn,
	"8":  isolatedLater,
	"9":  lateRefusals,
	"10": twoModels,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(cantRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer record.close()
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	s, err := newSite(record)
	if err != nil {
		record.add("couldn't run: %v", err)
		return cantRun
	}
	defer s.close()
	broken, err := cases[name](ctx, s)
	for _, line := range broken {
		record.add("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	switch {
	case len(broken) > 0:
		return ruleBroken
	case err != nil:
		record.add("couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return cantRun
	}
	record.add("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}

// trouble reports whether the disruption is part of the run.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// add writes a line with the time since the start of the case.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() { _ = r.file.Close() }

// sleep waits, or returns false when the context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
