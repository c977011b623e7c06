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

// Exit codes of all commands.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is a subcommand of bench.
type command struct {
	name    string
	short   string
	factory func(out io.Writer) flags.Commander
}

// commands are the registered commands.
var commands []command

// register registers a command. It is called from init functions.
func register(c command) { commands = append(commands, c) }

// run runs the command named by the arguments and returns the exit code.
func run(args []string, out, errOut io.Writer) (code int) {
	parser := flags.NewNamedParser("bench", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.factory(out)); err != nil {
			fmt.Fprintln(errOut, "bench:", err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	if errors.Is(err, demo.ErrChecksFailed) {
		// The failures were printed. Print nothing after the line with the totals.
		return exitFailed
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			fmt.Fprintln(out, flagErr.Message)
			return exitOK
		}
		fmt.Fprintln(errOut, "bench:", flagErr.Message)
		return exitUsage
	}
	fmt.Fprintln(errOut, "bench:", err)
	return exitFailed
}

// signalContext returns a context that is cancelled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// upstreamFlags holds the flags common to all simulated upstreams.
type upstreamFlags struct {
	Listen  string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Name    string        `long:"name" required:"true" description:"name to announce"`
	Service string        `long:"service" required:"true" description:"service to announce"`
	Zone    string        `long:"zone" default:"lakes-a" description:"availability zone"`
	Entries []string      `long:"entries" value-name:"ADDRESS,..." description:"entries to announce to" default:""`
	Token   string        `long:"token" description:"upstream credential"`
	Journal string        `long:"journal" description:"file that keeps the run counts across restarts"`
	Grace   time.Duration `long:"grace" default:"3s" description:"time that new work is accepted after leaving"`
	// loadedModel returns the model and version currently loaded. It is nil for upstreams without models.
	loadedModel func() (model, version string)
}

// serve runs an upstream until a signal arrives. It announces the given announcement, completed
// with the values of the flags, unless the flags name no entries.
func (u *upstreamFlags) serve(h announce.Host, runs *fault.RunCounter, announced announce.Announcement, load func() announce.Load) (err error) {
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
	announced.Name, announced.Service, announced.Zone = u.Name, u.Service, u.Zone
	announced.Address = h.Listener.Addr().String()
	h.GracePeriod = u.Grace
	if entries := splitAddresses(u.Entries); len(entries) > 0 {
		h.Announcer = announce.New(announce.Options{
			Announcement: announced, Entries: entries, Token: u.Token, Timer: h.Timer, Log: log, Load: load, LoadedModel: u.loadedModel,
		})
	}
	ctx, cancel := signalContext()
	defer cancel()
	log.Info("serving", zap.String("name", u.Name), zap.String("address", announced.Address))
	return h.Run(ctx)
}

// serve serves an HTTP handler that is not announced until a signal arrives.
func serve(listen string, t timer.Service, mux *http.ServeMux) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, cancel := signalContext()
	defer cancel()
	h := announce.Host{Listener: l, Handler: mux, Timer: t}
	return h.Run(ctx)
}
