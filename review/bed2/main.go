// Command bed2 plays the scripts of the second independent review. It starts the project's nodes as processes of their own and stands in
// for the platform, the executors and the requesters, as the users' pages describe them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed2 CASE RECORD")
		return exitNotRun
	}
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken int
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](b)
		results <- result{broken, err}
	}()
	select {
	case <-stopped:
		return exitNotRun
	case <-time.After(118 * time.Second):
		fmt.Fprintln(os.Stderr, "the script takes too long")
		return exitNotRun
	case r := <-results:
		if r.err != nil {
			fmt.Fprintln(os.Stderr, r.err)
			return exitNotRun
		}
		b.record.line("result: %d breaches", r.broken)
		fmt.Printf("%d breaches, see %s\n", r.broken, os.Args[2])
		if r.broken > 0 {
			return exitBroken
		}
		return exitHeld
	}
}
