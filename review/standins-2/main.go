// Command standins plays one case of the review: it starts the project's gateways as processes on loopback
// addresses, stands in for workers, clients, the operator and the platform, and checks one rule.
//
// Its exit status is 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// result is what a case has found.
type result int

const (
	held   result = 0
	broken result = 1
	failed result = 2
)

// recorder writes record.txt. All times are seconds since the start of the case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// seconds returns the time since the start of the case.
func (r *recorder) seconds() float64 { return time.Since(r.start).Seconds() }

// log writes one line.
func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", r.seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// play is a case in progress.
type play struct {
	*recorder
	// trouble is false if the case runs without its disruption.
	trouble bool
	// only, if set, names the one disruption of several that is played.
	only    string
	cluster *cluster
}

// cases are the cases by number.
var cases = map[string]func(p *play) (result, error){}

func main() {
	os.Exit(int(run()))
}

func run() result {
	binary := flag.String("binary", "", "the project's program")
	record := flag.String("record", "", "where the record is written")
	keep := flag.String("keep", "", "a folder for settings, disks and logs; without it a temporary one, which is removed")
	number := flag.String("case", "", "number of the case")
	flag.Parse()
	c, ok := cases[*number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	file, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	p := &play{recorder: &recorder{file: file, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", only: os.Getenv("ONLY")}
	folder := *keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return failed
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	p.cluster, err = newCluster(p.recorder, *binary, folder)
	if err != nil {
		p.log("the case couldn't run: %v", err)
		return failed
	}
	defer p.cluster.stopAll()
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		result result
		err    error
	}
	done := make(chan outcome, 1)
	p.log("case %s, with its disruption: %t", *number, p.trouble)
	go func() {
		r, err := c(p)
		done <- outcome{r, err}
	}()
	select {
	case <-end:
		err = errors.New("ended from outside")
	case <-time.After(110 * time.Second):
		err = errors.New("no result after 110 s")
	case o := <-done:
		if o.err == nil {
			p.log("%s", [...]string{"the rule held", "the rule was broken", "no result"}[o.result])
			return o.result
		}
		err = o.err
	}
	p.log("the case couldn't run: %v", err)
	return failed
}
