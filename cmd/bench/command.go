package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"wisteriakeel.example/wisteriakeel/internal/bench/announce"
	"wisteriakeel.example/wisteriakeel/internal/bench/demo"
	"wisteriakeel.example/wisteriakeel/internal/bench/fault"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Exit codes of every command.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one registered command.
type command struct {
	name    string
	short   string
	factory func(out io.Writer) flags.Commander
}

var commands []command

// register adds a command; it is called from init.
func register(c command) { commands = append(commands, c) }

// run runs the command that the arguments name and returns the exit code.
func run(args []string, out, errout io.Writer) (code int) {
	parser := flags.NewNamedParser("bench", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.factory(out)); err != nil {
			fmt.Fprintln(errout, "bench:", err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	if errors.Is(err, demo.ErrChecksFailed) {
		// The line of totals stays the last one.
		return exitFailed
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(out, usage.Message)
			return exitOK
		}
		fmt.Fprintln(errout, "bench:", usage.Message)
		return exitUsage
	}
	fmt.Fprintln(errout, "bench:", err)
	return exitFailed
}

// signals returns a context that ends with an interrupt or a request to terminate.
func signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// upstream holds the flags that all simulated upstreams share.
type upstream struct {
	Listen  string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Name    string        `long:"name" required:"true" description:"name to announce"`
	Service string        `long:"service" required:"true" description:"service to announce"`
	Zone    string        `long:"zone" default:"lakes-a" description:"availability zone"`
	Entries []string      `long:"entries" value-name:"ADDRESS,..." description:"entries to announce to" default:""`
	Token   string        `long:"token" description:"upstream credential"`
	Journal string        `long:"journal" description:"file that keeps the run counts across restarts"`
	Grace   time.Duration `long:"grace" default:"3s" description:"time that new work is accepted after leaving"`
	// holds reports the model and version of the moment; it may be nil.
	holds func() (model, version string)
}

// serve runs one service until a signal.
func (u *upstream) serve(h announce.Host, runs *fault.RunCounter, shape announce.Announcement, load func() announce.Load) (err error) {
	if u.Journal != "" {
		if err = runs.OpenJournal(u.Journal); err != nil {
			return err
		}
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	if h.Listener, err = net.Listen("tcp", u.Listen); err != nil {
		return errors.Wrap(err, "listen")
	}
	shape.Name, shape.Service, shape.Zone = u.Name, u.Service, u.Zone
	shape.Address = h.Listener.Addr().String()
	h.GracePeriod = u.Grace
	if entries := split(u.Entries); len(entries) > 0 {
		h.Announcer = announce.New(announce.Options{
			Announcement: shape, Entries: entries, Token: u.Token, Timer: h.Timer, Log: log, Load: load, LoadedModel: u.holds,
		})
	}
	ctx, cancel := signals()
	defer cancel()
	log.Info("serving", zap.String("name", u.Name), zap.String("address", shape.Address))
	return h.Run(ctx)
}

// serve runs a service that does not announce itself.
func serve(listen string, t timer.Service, mux *http.ServeMux) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, cancel := signals()
	defer cancel()
	h := announce.Host{Listener: l, Handler: mux, Timer: t}
	return h.Run(ctx)
}
