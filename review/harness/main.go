// Command harness plays the cases of the review that can't be put as a day: it starts the project's own program as
// separate processes on loopback addresses, with stand-ins for the platform, the operator, workers and clients.
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
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxLength bounds a case.
const maxLength = 110 * time.Second

// play is a case: it returns whether the rule was broken, with what was seen.
type play func(c *cluster, trouble bool) (broken bool, seen string, err error)

var plays = map[string]play{
	"first-configuration": firstConfiguration,
	"leave":               leave,
	"other-writer":        otherWriter,
	"sized-stream":        sizedStream,
	"flapping-disk":       flappingDisk,
}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/wisteriakeel", "the program under test")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	place := flag.String("site", "review", "deployment: review, harbison-lakes or gnsw-frostline")
	flag.Parse()
	s, ok := sites[*place]
	if !ok {
		fmt.Fprintf(os.Stderr, "no site %q\n", *place)
		os.Exit(exitFailed)
	}
	os.Exit(runCase(*name, *binary, s, *path, os.Getenv("TROUBLE") != "0"))
}

func runCase(name, binary string, s site, path string, trouble bool) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	c, err := newCluster(binary, s, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	c.keep = os.Getenv("KEEP") == "1"
	defer c.close()
	type result struct {
		broken bool
		seen   string
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, seen, err := p(c, trouble)
		ended <- result{broken, seen, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
		return exitFailed
	case <-time.After(maxLength):
		r.printf("the case did not end in time")
		return exitFailed
	case e := <-ended:
		switch {
		case e.err != nil:
			r.printf("the case could not run: %v", e.err)
			fmt.Println("could not run:", e.err)
			return exitFailed
		case e.broken:
			r.printf("BROKEN: %s", e.seen)
			fmt.Println("broken:", e.seen)
			return exitBroken
		default:
			r.printf("held: %s", e.seen)
			fmt.Println("held:", e.seen)
			return exitHeld
		}
	}
}
