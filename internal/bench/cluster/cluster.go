// Package cluster runs control instances, entries and simulated upstreams as
// child processes on loopback ports, for the demonstration and measurements.
package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// Options configures a cluster.
type Options struct {
	// Binary is the path of wisteriakeel, Bench that of this program.
	Binary       string
	BenchBinary  string
	ControlCount int
	EntryCount   int
	RatingURL    string
	// Accounts are the client accounts that get a token.
	Accounts []string
	Timer    timer.Service
}

// Instance is one process of the system.
type Instance struct {
	Name        string
	HTTPAddress string
	PeerAddress string
	Role        string

	file    string
	process *Process
}

// Process returns the current process of the instance.
func (i *Instance) Process() *Process { return i.process }

// Upstream is one simulated upstream.
type Upstream struct {
	Name    string
	Address string

	args    []string
	process *Process
}

// Process returns the current process of the upstream.
func (u *Upstream) Process() *Process { return u.process }

// Cluster is a set of running processes and their files.
type Cluster struct {
	Directory string
	Instances []*Instance
	Upstreams []*Upstream

	options  Options
	launcher *Launcher
	ports    ports
	token    string
}

// New writes the files of a cluster into a new temporary directory; nothing runs yet.
func New(o Options) (c *Cluster, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "prepare cluster")
		}
	}()
	for _, p := range []*string{&o.Binary, &o.BenchBinary} {
		if *p, err = filepath.Abs(*p); err != nil {
			return nil, err
		}
		if _, err = os.Stat(*p); err != nil {
			return nil, err
		}
	}
	folder, err := os.MkdirTemp("", "wisteriakeel-bench-")
	if err != nil {
		return nil, err
	}
	c = &Cluster{Directory: folder, options: o, launcher: NewLauncher(folder)}
	return c, c.write()
}

var zones = []string{"lakes-a", "lakes-b", "lakes-c"}

// write creates the secrets, the operator's token file and the settings.
func (c *Cluster) write() error {
	s := secrets{Peer: token("peer", "all")}
	for _, a := range c.options.Accounts {
		s.Accounts = append(s.Accounts, credential{Name: a, Token: token("account", a)})
	}
	s.Operators = []credential{{Name: "operator", Token: token("operator", "all"), Services: []string{"pool", "desk"}}}
	s.Upstreams = []credential{{Name: "*", Token: token("upstream", "all")}}
	file, err := writeFile(c.Directory, "secrets.json", s)
	if err != nil {
		return err
	}
	c.token = filepath.Join(c.Directory, "operator.token")
	if err = os.WriteFile(c.token, []byte(token("operator", "all")+"\n"), 0o600); err != nil {
		return err
	}
	if err = c.place(); err != nil {
		return err
	}
	return c.settings(file)
}

// place names the instances and reserves their ports.
func (c *Cluster) place() (err error) {
	for n := range c.options.ControlCount + c.options.EntryCount {
		i := &Instance{Name: fmt.Sprintf("control-%d", n), Role: "control"}
		if n >= c.options.ControlCount {
			i.Name, i.Role = fmt.Sprintf("entry-%d", n-c.options.ControlCount), "entry"
		}
		if i.HTTPAddress, err = c.ports.take(); err != nil {
			return err
		}
		if i.Role == "control" {
			if i.PeerAddress, err = c.ports.take(); err != nil {
				return err
			}
		}
		c.Instances = append(c.Instances, i)
	}
	return nil
}

func (c *Cluster) settings(secrets string) (err error) {
	var control []string
	for _, i := range c.role("control") {
		control = append(control, i.PeerAddress)
	}
	for n, i := range c.Instances {
		s := settings{
			Instance: i.Name, Zone: zones[n%len(zones)], Region: "great-lakes", Roles: []string{i.Role},
			Listen: listen{HTTP: i.HTTPAddress}, Control: control, Groups: 4, Secrets: secrets,
			Log: level{Level: "info"}, Trace: exporter{Exporter: "off"}, Rating: c.options.RatingURL,
		}
		if i.Role == "control" {
			s.Folder = filepath.Join(c.Directory, i.Name)
			s.Listen.Peer = i.PeerAddress
		}
		if i.file, err = writeFile(c.Directory, i.Name+".json", s); err != nil {
			return err
		}
	}
	return nil
}

// Token returns the token of a client account.
func (c *Cluster) Token(account string) string { return token("account", account) }

// UpstreamToken returns the credential of all upstreams.
func (c *Cluster) UpstreamToken() string { return token("upstream", "all") }

// role returns the instances with that role.
func (c *Cluster) role(role string) []*Instance {
	return slices.DeleteFunc(slices.Clone(c.Instances), func(i *Instance) bool { return i.Role != role })
}

// Entries returns the entries.
func (c *Cluster) Entries() []*Instance { return c.role("entry") }

// ControlInstances returns the control instances.
func (c *Cluster) ControlInstances() []*Instance { return c.role("control") }

// Addresses returns the HTTP addresses of instances.
func Addresses(instances []*Instance) (all []string) {
	for _, i := range instances {
		all = append(all, i.HTTPAddress)
	}
	return all
}

// StartInstance starts an instance, for the first time or again.
func (c *Cluster) StartInstance(i *Instance) (err error) {
	c.ports.release(i.HTTPAddress)
	c.ports.release(i.PeerAddress)
	i.process, err = c.launcher.Start(i.Name, c.options.Binary, "serve", "-c", i.file)
	return err
}

// StartAll starts all instances.
func (c *Cluster) StartAll() error {
	for _, i := range c.Instances {
		if err := c.StartInstance(i); err != nil {
			return err
		}
	}
	return nil
}

// AddUpstream starts a simulated upstream with the arguments of one bench command.
func (c *Cluster) AddUpstream(name, command string, args ...string) (u *Upstream, err error) {
	u = &Upstream{Name: name}
	if u.Address, err = c.ports.take(); err != nil {
		return nil, err
	}
	u.args = append([]string{
		c.options.BenchBinary, command, "--name", name, "--listen", u.Address,
		"--entries", strings.Join(Addresses(c.Entries()), ","), "--token", token("upstream", "all"),
	}, args...)
	c.Upstreams = append(c.Upstreams, u)
	return u, c.StartUpstream(u)
}

// StartUpstream starts an upstream again after its end.
func (c *Cluster) StartUpstream(u *Upstream) (err error) {
	c.ports.release(u.Address)
	u.process, err = c.launcher.Start(u.Name, u.args...)
	return err
}

// DumpGoroutines makes all instances write the stacks of their goroutines to their logs
// and end, so that a run that hung can be looked into.
func (c *Cluster) DumpGoroutines(ctx context.Context) {
	for _, i := range c.Instances {
		if i.process != nil {
			i.process.Signal(syscall.SIGQUIT)
		}
	}
	ctx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), c.options.Timer, 2*time.Second)
	defer cancel()
	for _, i := range c.Instances {
		if i.process == nil {
			continue
		}
		select {
		case <-i.process.Done():
		case <-ctx.Done():
			return
		}
	}
}

// Close kills all processes. The directory stays if keep is set.
func (c *Cluster) Close(keep bool) error {
	err := c.launcher.Close()
	if keep {
		return err
	}
	return errors.CombineErrors(err, os.RemoveAll(c.Directory))
}

// Await calls check until it returns nil, the limit has passed or a process has ended.
func (c *Cluster) Await(ctx context.Context, what string, limit time.Duration, check func(ctx context.Context) error) error {
	begin := c.options.Timer.Now()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if c.options.Timer.Now().Sub(begin) > limit {
			return errors.Wrapf(err, "no %s within %s", what, limit)
		}
		for _, i := range c.Instances {
			if i.process != nil && !i.process.Alive() {
				return errors.Newf("%s has ended while waiting for %s; its log ends: %s", i.Name, what, c.tail(i.Name))
			}
		}
		if err = timer.Sleep(ctx, c.options.Timer, 50*time.Millisecond); err != nil {
			return err
		}
	}
}

// tail returns the end of a child's log.
func (c *Cluster) tail(name string) string {
	text, err := os.ReadFile(filepath.Join(c.Directory, name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-400):])
}

// CheckAllListed returns an error unless every instance answers the list of entries
// with all entries.
func (c *Cluster) CheckAllListed(ctx context.Context) error {
	for _, e := range c.Entries() {
		if err := c.CheckListed(ctx, e, true); err != nil {
			return err
		}
	}
	return nil
}

// CheckListed returns an error unless the lists of all instances name the entry, or
// all do not.
func (c *Cluster) CheckListed(ctx context.Context, entry *Instance, named bool) error {
	for _, i := range c.Instances {
		var reply struct {
			Entries []struct {
				Name string `json:"name"`
			} `json:"entries"`
		}
		if err := get(ctx, "http://"+i.HTTPAddress+"/v1/entries", token("account", c.options.Accounts[0]), &reply); err != nil {
			return err
		}
		found := false
		for _, e := range reply.Entries {
			found = found || e.Name == entry.Name
		}
		if found != named {
			return errors.Newf("list of %s names %s: %v", i.Name, entry.Name, found)
		}
	}
	return nil
}

// client asks instances and upstreams; a hanging answer must not hang the run.
var client = &http.Client{Timeout: 2 * time.Second}
