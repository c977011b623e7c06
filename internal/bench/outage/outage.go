// Package outage runs instances as processes on a network that loses bytes, plays outages of the
// control group, and checks that changes, reads and callers are served again in time and that no
// acknowledged change is lost. A seed determines the outages, but not the timing within processes.
package outage

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/bench/cluster"
	"wisteriakeel.example/wisteriakeel/internal/bench/soak"
	"wisteriakeel.example/wisteriakeel/internal/kernel/group"
	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// readTimeout is the time limit of a read and of a probe.
const readTimeout = 2 * time.Second

// Load of a run.
const (
	readers = 4
	probers = 8
	// pause lies between two requests of a reader or a prober.
	pause = 100 * time.Millisecond
	// extraRoutes make a document of about 26 KB.
	extraRoutes = 70
	// manyRoutes make one that instances pass on in several pieces.
	manyRoutes = 1000
)

// Size is the size of a deployment with its time limits.
type Size struct {
	Instances, Disks, Zones int
	// Losses is how many instances with a disk may be lost at a time.
	Losses int
	// Contact is how long after a disturbance instances may be out of contact, Ack limits the
	// acknowledgement of a change, Recovery the time until all is well after the last disturbance.
	Contact, Ack, Recovery time.Duration
}

// Sizes of the deployments that are played.
var (
	Small = Size{Instances: 9, Disks: 3, Zones: 3, Losses: 1, Contact: 3 * time.Second, Ack: 4 * time.Second, Recovery: 12 * time.Second}
	Grown = Size{Instances: 69, Disks: 8, Zones: 4, Losses: 2, Contact: 4 * time.Second, Ack: 5 * time.Second, Recovery: 15 * time.Second}
)

// Options configures a run.
type Options struct {
	Dialect soak.Dialect
	Binary  string // absolute path of bench, or of a program with the same command gateway
	// Plain is set for a program without the network of this package, such as an earlier release.
	// Connections to a lost host are then reset, and outages that only the network can play are refused.
	Plain     bool
	Directory string // for settings, data directories and logs
	Seed      uint64
	Size      Size
	// Patterns are the names of the outages to play, in this order; all of them, shuffled, if empty.
	Patterns []string
	Rounds   int
	// Syncs describes the disks of all instances that have one. Its seed is not used.
	Syncs SlowSyncs
	// Subnet tells runs of one process apart, which use addresses of their own. It is below 4.
	Subnet int
	Timer  timer.Service
	Out    io.Writer
}

// ErrChecksFailed means that a check failed; the report lists the violations.
var ErrChecksFailed = errors.New("promises were broken")

// instance is one instance, which runs as a process of its own.
type instance struct {
	name, ip, zone string
	disk           string // data directory; empty without one
	mounted        int64  // size of the journal when the process was started
	process        *cluster.Process
	// impaired is set while the instance is down, frozen or cut off; guarded by run.mu.
	impaired bool
}

// run is the state of one run.
type run struct {
	Options
	launcher *cluster.Launcher
	client   *http.Client
	group    *group.Group
	random   *rand.Rand // for the outages
	// clockRandom draws the clocks of processes.
	clockRandom *rand.Rand
	syncRandom  *rand.Rand // for the seeds of slow syncs
	started     timer.Instant

	mu        sync.Mutex
	links     links
	instances []*instance // those that were replaced are not in it
	core      []*instance // those with a disk, the oldest first
	seeds     []string
	addresses int // how many were given out
	// impaired is how many instances of the core are impaired. majorityLost is set once most of
	// it was in this round.
	impaired     int
	majorityLost bool
	badLinks     bool
	disturbed    timer.Instant // the last disturbance or return
	quiet        bool          // no disturbance goes on
	ended        bool          // no read was confirmed for long, so that further rounds would check nothing
	checks       checks
	power        power
}

// Run plays the rounds with one seed and prints a report. It returns ErrChecksFailed if a check
// failed.
func Run(ctx context.Context, o Options) (err error) {
	r := &run{
		Options: o, launcher: cluster.NewLauncher(o.Directory), group: group.New(ctx), started: o.Timer.Now(),
		client: &http.Client{Transport: newTransport(o.Seed, o.Timer)},
		random: rand.New(rand.NewPCG(o.Seed, 1)), clockRandom: rand.New(rand.NewPCG(o.Seed, 3)),
		syncRandom: rand.New(rand.NewPCG(o.Seed, 4)),
		links:      links{acks: o.Seed%2 == 0, blocked: map[link]bool{}, seed: o.Seed},
		checks:     checks{counts: map[string]int{}, requests: map[string]*request{}, history: history{effects: map[any][]effect{}}},
	}
	defer func() { err = errors.CombineErrors(err, r.launcher.Close()) }()
	defer func() { _ = r.group.Stop() }()
	defer func() { err = errors.Wrapf(err, "seed %d", o.Seed) }()
	names, err := r.outages()
	if err != nil {
		return err
	}
	r.power = newPower(o.Seed, names)
	if err := r.start(ctx); err != nil {
		return err
	}
	for i := range o.Rounds {
		if err := r.playRound(ctx, names[i%len(names)]); err != nil {
			return err
		}
		if r.ended {
			break
		}
	}
	r.reportPower()
	return r.report()
}

// start starts all instances and the load, and waits until the deployment serves.
func (r *run) start(ctx context.Context) error {
	if err := r.links.write(r.linksPath()); err != nil {
		return err
	}
	for range r.Size.Instances {
		r.add(len(r.core) < r.Size.Disks)
	}
	for _, n := range r.core {
		r.seeds = append(r.seeds, n.ip)
	}
	for _, n := range r.instances {
		if err := r.startProcess(n, true); err != nil {
			return err
		}
	}
	r.touch()
	r.setQuiet(true)
	if !r.change(ctx, r.nextChange()) {
		return errors.New("the first document was not acknowledged")
	}
	if err := r.startUpstreams(ctx); err != nil {
		return err
	}
	r.group.Go("operator", (&operator{run: r, random: rand.New(rand.NewPCG(r.Seed, 2))}).loop)
	r.group.Go("staller", (&staller{r}).loop)
	for i := range readers {
		r.group.Go("reader", (&reader{run: r, random: rand.New(rand.NewPCG(r.Seed, uint64(100+i)))}).loop)
	}
	for i := range probers {
		r.group.Go("prober", (&prober{run: r, random: rand.New(rand.NewPCG(r.Seed, uint64(200+i)))}).loop)
	}
	for i := range r.Size.Instances {
		r.group.Go("sweeper", (&sweeper{run: r, number: i, random: rand.New(rand.NewPCG(r.Seed, uint64(400+i)))}).loop)
	}
	return nil
}

// add adds an instance with an address of its own, which is not started.
func (r *run) add(disk bool) *instance {
	r.addresses++
	n := &instance{
		name: fmt.Sprint("gateway-", r.addresses), zone: fmt.Sprint("zone-", r.addresses%r.Size.Zones),
		ip: r.address(r.addresses),
	}
	r.instances = append(r.instances, n)
	if disk {
		n.disk = filepath.Join(r.Directory, n.name+".disk")
		r.core = append(r.core, n)
	}
	return n
}

// address returns the IP address with a number below 256.
func (r *run) address(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 128+32*r.Subnet+os.Getpid()>>8&0x1f, os.Getpid()&0xff, n)
}

func (r *run) linksPath() string { return filepath.Join(r.Directory, "links") }

func (r *run) settingsPath(n *instance) string { return filepath.Join(r.Directory, n.name+".settings") }

// writeSettings writes the settings file of an instance.
func (r *run) writeSettings(n *instance, initial bool) error {
	return os.WriteFile(r.settingsPath(n), r.Dialect.SettingsFile(soak.Settings{
		Name: n.name, IP: n.ip, Zone: n.zone, SeedAddresses: r.seeds, InitialStart: initial, Losses: r.Size.Losses, DataDirectory: n.disk,
		GracePeriod: soak.GracePeriod, RevocationDelay: soak.RevocationDelay,
	}), 0o600)
}

// startProcess starts the process of an instance.
func (r *run) startProcess(n *instance, initial bool) (err error) {
	if n.disk != "" {
		if err := r.mount(n); err != nil {
			return err
		}
	}
	if err := r.writeSettings(n, initial); err != nil {
		return err
	}
	if err := r.bootClocks(n); err != nil {
		return err
	}
	p, err := r.launcher.StartWithEnv(append(r.storageEnvironment(n),
		r.Dialect.EnvironmentVariable(r.settingsPath(n)), LinksVariable+"="+r.linksPath(), AddressVariable+"="+n.ip,
		ClockVariable+"="+r.clockPath(n),
	), n.name, r.Binary, "gateway")
	r.mu.Lock()
	defer r.mu.Unlock()
	n.process = p
	return err
}

// playRound plays one outage, waits for the recovery and checks it.
func (r *run) playRound(ctx context.Context, name string) (err error) {
	defer func() { err = errors.Wrap(err, name) }()
	play, ok := patterns[name]
	if !ok {
		return errors.Newf("no such outage, expected one of %s", strings.Join(Patterns(), ", "))
	}
	r.printf("%s begins, leader %s", name, nameOf(r.leader()))
	r.mu.Lock()
	r.checks.beginRound(name)
	r.mu.Unlock()
	r.setQuiet(false)
	if err := play(ctx, r); err != nil {
		return err
	}
	r.impair(false, r.instances...)
	r.heal()
	r.setQuiet(true)
	end := r.Timer.Now()
	r.printf("%s: all back, leader %s", name, nameOf(r.leader()))
	if err := timer.Sleep(ctx, r.Timer, r.Size.Recovery); err != nil {
		return err
	}
	r.checkRecovered(ctx)
	if err := r.checkFirstRead(ctx, end); err != nil {
		return err
	}
	r.checkGap()
	gap, change, stall := r.roundFigures()
	r.printf("%s: first read %s, longest time without one in calm %s, slowest change in calm %s, late by %s, leader %s",
		name, r.sinceFirstRead(end), gap, change, stall, nameOf(r.leader()))
	return nil
}

// impair sets whether instances are impaired, which is a disturbance.
func (r *run) impair(impaired bool, list ...*instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range list {
		n.impaired = impaired
	}
	r.impaired = 0
	for _, n := range r.core {
		if n.impaired {
			r.impaired++
		}
	}
	r.disturbed = r.Timer.Now()
	r.majorityLost = r.majorityLost || r.impaired*2 >= len(r.core)
}

// touch records a disturbance or a return.
func (r *run) touch() { r.impair(false) }

func (r *run) setQuiet(quiet bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quiet = quiet; !quiet {
		r.majorityLost = false
	}
}

// calmSince reports whether the deployment was calm from an instant until now: all is up, and the
// last disturbance was so long before that all instances must be in contact.
func (r *run) calmSince(at timer.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quiet && r.settledBefore(at)
}

// settledBefore reports whether instances must be in contact again since an instant. A machine that
// is too busy for the instances is a disturbance too, and so are bad links. r.mu must be held.
func (r *run) settledBefore(at timer.Instant) bool {
	if r.badLinks {
		return false
	}
	contact := r.Size.Contact
	if r.majorityLost {
		contact *= 2
	}
	return !at.Before(r.disturbed.Add(contact)) && (r.checks.lateAt == 0 || !at.Before(r.checks.lateAt.Add(contact)))
}

// slowedSince reports whether instances may be slowed down since an instant: by bad links, or since the
// machine is too busy. Other disturbances slow none down. r.mu must be held.
func (r *run) slowedSince(at timer.Instant) bool {
	return r.badLinks || r.checks.lateAt != 0 && at.Before(r.checks.lateAt.Add(r.Size.Contact))
}

// servesSince reports whether an instance must serve since an instant: in calm, and while no more
// of the core is impaired than may be lost at a time.
func (r *run) servesSince(n *instance, at timer.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !n.impaired && r.impaired <= r.Size.Losses && r.settledBefore(at)
}

// leader returns the instance that was elected in the highest term, by the logs; nil without one.
func (r *run) leader() (leader *instance) {
	highest := 0
	for _, n := range r.core {
		text, err := os.ReadFile(filepath.Join(r.Directory, n.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			_, rest, ok := strings.Cut(line, `"elected"`)
			if !ok {
				continue
			}
			term := 0
			if _, rest, ok = strings.Cut(rest, `"term":`); ok {
				_, _ = fmt.Sscan(strings.TrimLeft(rest, " "), &term)
			}
			if term > highest {
				highest, leader = term, n
			}
		}
	}
	return leader
}

func nameOf(n *instance) string {
	if n == nil {
		return "unknown"
	}
	return n.name
}

// printf prints a line with the time since the start, and with that of day as in the logs.
func (r *run) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.Out, "%7.2f %s %s\n", r.Timer.Now().Sub(r.started).Seconds(), r.Timer.Wall().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// up returns a random instance that runs.
func (r *run) up(random *rand.Rand) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances[random.IntN(len(r.instances))]
}

// replaceInstance replaces one instance by another in the lists.
func (r *run) replaceInstance(old, next *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = slices.DeleteFunc(r.instances, func(n *instance) bool { return n == old })
	r.core = slices.DeleteFunc(r.core, func(n *instance) bool { return n == old })
	for i, s := range r.seeds {
		if s == old.ip {
			r.seeds[i] = next.ip
		}
	}
}
