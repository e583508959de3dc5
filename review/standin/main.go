//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns whether the rule was broken, or an error if the case could not run.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"removed": removed,
	"silent":  silentStore,
}

func main() { os.Exit(run()) }

func run() int {
	name, path := flag.String("case", "", "name of the case"), flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	out, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer out.Close()
	f, err := newFleet(&record{out: out, began: time.Now()})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.close()
	type result struct {
		isBroken bool
		err      error
	}
	ended, interrupted := make(chan result, 1), make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		isBroken, err := play(f, os.Getenv("TROUBLE") != "0")
		ended <- result{isBroken: isBroken, err: err}
	}()
	var isBroken bool
	select {
	case r := <-ended:
		isBroken, err = r.isBroken, r.err
	case s := <-interrupted:
		err = fmt.Errorf("interrupted: %v", s)
	}
	switch {
	case err != nil:
		f.rec.logf("the case could not run: %v", err)
		return failed
	case isBroken:
		f.rec.logf("the rule was broken")
		return broken
	}
	f.rec.logf("the rule held")
	return held
}
