// Command stand plays the cases of the review: it starts hosts as separate processes
// and stand-ins of the platform, the engines and the clients on loopback addresses.
//
//	stand CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD. The exit
// code is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
// TROUBLE=0 in the environment the case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*record, string, bool) bool{
	"slashes": playSlashes,
	"endless": playEndless,
	"bodies":  playBodies,
	"leave":   playLeave,
	"twice":   playTwice,
}

// record is the file with what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", values...)
}

// cleanUp is called before the process exits.
var cleanUp = func() {}

func fail(format string, values ...any) {
	fmt.Fprintf(os.Stderr, "the case couldn't run: "+format+"\n", values...)
	cleanUp()
	os.Exit(exitFailed)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: stand CASE RECORD")
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fail("%v", err)
	}
	r := &record{began: time.Now(), file: file}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	cleanUp = func() {
		for _, h := range hosts {
			h.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		fail("ended by %v", <-interrupted)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	if _, err := os.Stat(hostBinary); err != nil {
		fail("%v", err)
	}
	r.write("case %s, trouble: %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](r, folder, trouble)
	cleanUp()
	if broken {
		r.write("the rule was broken")
		fmt.Println("broken")
		os.Exit(exitBroken)
	}
	r.write("the rule held")
	fmt.Println("held")
	os.Exit(exitHeld)
}
