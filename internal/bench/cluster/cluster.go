// Package cluster runs control instances, entries and simulated upstreams as child
// processes on loopback ports. The demonstration and the measurements use it.
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
	// Binary is the path of the wisteriakeel binary, BenchBinary that of this program.
	Binary       string
	BenchBinary  string
	ControlCount int
	EntryCount   int
	RatingURL    string // of the rating service; empty means none
	// Accounts are the names of the client accounts to create.
	Accounts []string
	Timer    timer.Service
}

// Instance is a control instance or an entry.
type Instance struct {
	Name        string
	HTTPAddress string
	PeerAddress string
	Role        string

	settingsFile string
	process      *Process
}

// Process returns the most recently started process of the instance.
func (i *Instance) Process() *Process { return i.process }

// Upstream is a simulated upstream.
type Upstream struct {
	Name    string
	Address string

	args    []string
	process *Process
}

// Process returns the most recently started process of the upstream.
func (u *Upstream) Process() *Process { return u.process }

// Cluster is a set of instances and upstreams with their files.
type Cluster struct {
	Directory string
	Instances []*Instance
	Upstreams []*Upstream

	options   Options
	launcher  *Launcher
	ports     reservedPorts
	tokenFile string
}

// New writes the files of a cluster to a new temporary directory. It starts no processes.
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
	directory, err := os.MkdirTemp("", "wisteriakeel-bench-")
	if err != nil {
		return nil, err
	}
	c = &Cluster{Directory: directory, options: o, launcher: NewLauncher(directory)}
	return c, c.writeFiles()
}

// zones are the availability zones of the instances, assigned in turn.
var zones = []string{"lakes-a", "lakes-b", "lakes-c"}

// writeFiles writes the secrets, the operator's token file and the settings.
func (c *Cluster) writeFiles() error {
	s := secrets{Peer: tokenFor("peer", "all")}
	for _, a := range c.options.Accounts {
		s.Accounts = append(s.Accounts, credential{Name: a, Token: tokenFor("account", a)})
	}
	s.Operators = []credential{{Name: "operator", Token: tokenFor("operator", "all"), Services: []string{"pool", "desk"}}}
	s.Upstreams = []credential{{Name: "*", Token: tokenFor("upstream", "all")}}
	secretsFile, err := writeFile(c.Directory, "secrets.json", s)
	if err != nil {
		return err
	}
	c.tokenFile = filepath.Join(c.Directory, "operator.token")
	if err = os.WriteFile(c.tokenFile, []byte(tokenFor("operator", "all")+"\n"), 0o600); err != nil {
		return err
	}
	if err = c.assignAddresses(); err != nil {
		return err
	}
	return c.writeSettings(secretsFile)
}

// assignAddresses creates the instances and reserves their ports.
func (c *Cluster) assignAddresses() (err error) {
	for n := range c.options.ControlCount + c.options.EntryCount {
		i := &Instance{Name: fmt.Sprintf("control-%d", n), Role: "control"}
		if n >= c.options.ControlCount {
			i.Name, i.Role = fmt.Sprintf("entry-%d", n-c.options.ControlCount), "entry"
		}
		if i.HTTPAddress, err = c.ports.reserve(); err != nil {
			return err
		}
		if i.Role == "control" {
			if i.PeerAddress, err = c.ports.reserve(); err != nil {
				return err
			}
		}
		c.Instances = append(c.Instances, i)
	}
	return nil
}

func (c *Cluster) writeSettings(secretsFile string) (err error) {
	var controlAddresses []string
	for _, i := range c.withRole("control") {
		controlAddresses = append(controlAddresses, i.PeerAddress)
	}
	for n, i := range c.Instances {
		s := settings{
			Instance: i.Name, Zone: zones[n%len(zones)], Region: "great-lakes", Roles: []string{i.Role},
			Listen: listenSettings{HTTP: i.HTTPAddress}, ControlAddresses: controlAddresses, DataGroups: 4, SecretsFile: secretsFile,
			Log: logSettings{Level: "info"}, Trace: traceSettings{Exporter: "off"}, RatingURL: c.options.RatingURL,
		}
		if i.Role == "control" {
			s.DataDirectory = filepath.Join(c.Directory, i.Name)
			s.Listen.Peer = i.PeerAddress
		}
		if i.settingsFile, err = writeFile(c.Directory, i.Name+".json", s); err != nil {
			return err
		}
	}
	return nil
}

// Token returns the token of a client account.
func (c *Cluster) Token(account string) string { return tokenFor("account", account) }

// UpstreamToken returns the token that all upstreams use.
func (c *Cluster) UpstreamToken() string { return tokenFor("upstream", "all") }

// withRole returns the instances with the given role.
func (c *Cluster) withRole(role string) []*Instance {
	return slices.DeleteFunc(slices.Clone(c.Instances), func(i *Instance) bool { return i.Role != role })
}

// Entries returns the entries.
func (c *Cluster) Entries() []*Instance { return c.withRole("entry") }

// ControlInstances returns the control instances.
func (c *Cluster) ControlInstances() []*Instance { return c.withRole("control") }

// Addresses returns the HTTP addresses of instances.
func Addresses(instances []*Instance) (addresses []string) {
	for _, i := range instances {
		addresses = append(addresses, i.HTTPAddress)
	}
	return addresses
}

// StartInstance starts the process of an instance, for the first time or after it ended.
func (c *Cluster) StartInstance(i *Instance) (err error) {
	c.ports.release(i.HTTPAddress)
	c.ports.release(i.PeerAddress)
	i.process, err = c.launcher.Start(i.Name, c.options.Binary, "serve", "-c", i.settingsFile)
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

// AddUpstream adds and starts a simulated upstream, which runs a bench command with
// additional arguments.
func (c *Cluster) AddUpstream(name, command string, args ...string) (u *Upstream, err error) {
	u = &Upstream{Name: name}
	if u.Address, err = c.ports.reserve(); err != nil {
		return nil, err
	}
	u.args = append([]string{
		c.options.BenchBinary, command, "--name", name, "--listen", u.Address,
		"--entries", strings.Join(Addresses(c.Entries()), ","), "--token", tokenFor("upstream", "all"),
	}, args...)
	c.Upstreams = append(c.Upstreams, u)
	return u, c.StartUpstream(u)
}

// StartUpstream starts the process of an upstream, for the first time or after it ended.
func (c *Cluster) StartUpstream(u *Upstream) (err error) {
	c.ports.release(u.Address)
	u.process, err = c.launcher.Start(u.Name, u.args...)
	return err
}

// DumpGoroutines makes all instances write their goroutine stacks to their logs and exit,
// so that a hang can be analyzed.
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

// Close kills all processes. It removes the directory unless keepDirectory is set.
func (c *Cluster) Close(keepDirectory bool) error {
	err := c.launcher.Close()
	if keepDirectory {
		return err
	}
	return errors.CombineErrors(err, os.RemoveAll(c.Directory))
}

// Await calls check until it returns nil, the timeout has passed or an instance has exited.
func (c *Cluster) Await(ctx context.Context, what string, timeout time.Duration, check func(ctx context.Context) error) error {
	start := c.options.Timer.Now()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if c.options.Timer.Now().Sub(start) > timeout {
			return errors.Wrapf(err, "wait for %s: timed out after %s", what, timeout)
		}
		for _, i := range c.Instances {
			if i.process != nil && !i.process.Alive() {
				return errors.Newf("%s exited while waiting for %s; end of its log: %s", i.Name, what, c.logTail(i.Name))
			}
		}
		if err = timer.Sleep(ctx, c.options.Timer, 50*time.Millisecond); err != nil {
			return err
		}
	}
}

// logTail returns the last 400 bytes of a process's log.
func (c *Cluster) logTail(name string) string {
	text, err := os.ReadFile(filepath.Join(c.Directory, name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-400):])
}

// CheckAllListed returns an error unless every instance serves a list that contains all entries.
func (c *Cluster) CheckAllListed(ctx context.Context) error {
	for _, e := range c.Entries() {
		if err := c.CheckListed(ctx, e, true); err != nil {
			return err
		}
	}
	return nil
}

// CheckListed returns an error unless the lists of all instances contain the entry, or,
// if want is false, none of them does.
func (c *Cluster) CheckListed(ctx context.Context, entry *Instance, want bool) error {
	for _, i := range c.Instances {
		var reply struct {
			Entries []struct {
				Name string `json:"name"`
			} `json:"entries"`
		}
		if err := getJSON(ctx, "http://"+i.HTTPAddress+"/v1/entries", tokenFor("account", c.options.Accounts[0]), &reply); err != nil {
			return err
		}
		found := false
		for _, e := range reply.Entries {
			found = found || e.Name == entry.Name
		}
		if found != want {
			return errors.Newf("entry list of %s contains %s: %v", i.Name, entry.Name, found)
		}
	}
	return nil
}

// httpClient sends requests to instances and upstreams. Its timeout prevents a stalled
// response from blocking the run.
var httpClient = &http.Client{Timeout: 2 * time.Second}
