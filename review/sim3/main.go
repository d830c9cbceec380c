// Command sim3 plays the cases of the third review that are scripts: it starts the program of the deploy file on loopback addresses,
// with stand-ins of the platform, the executors, the operator and the requesters.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(w *world, trouble bool){
	"counts":    counts,
	"forgotten": forgotten,
	"holders":   holders,
	"suspects":  suspects,
	"wave":      wave,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: sim3 CASE FOLDER")
	}
	w := newWorld(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	w.log("case", "name", os.Args[1], "trouble", trouble)
	cases[os.Args[1]](w, trouble)
	w.close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) > 0 {
		for _, v := range w.violations {
			fmt.Println("broken:", v)
		}
		os.Exit(1)
	}
	w.log("the rule held")
	fmt.Println("the rule held")
}
