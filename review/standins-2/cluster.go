package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Ports of every machine. Each machine has a loopback address of its own.
const (
	frontendPort  = "8227"
	readinessPort = "8220"
	controlPort   = "8229"
	directoryPort = "8224"
	internalPort  = "7340"
	metricsPort   = "9464"
)

// coreMachines is the number of machines with a disk, as on the small deployments. They are the seeds.
const coreMachines = 3

// cluster is the platform: machines, their settings and their processes.
type cluster struct {
	*recorder
	binary   string
	folder   string
	network  string // the first three numbers of all addresses
	machines []*machine
}

// machine is one machine of the system with its process.
type machine struct {
	cluster *cluster
	name    string
	ip      string
	zone    string
	disk    string // folder of its disk; empty without one

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ending  bool // its end was caused by the platform
}

// newCluster returns a cluster of three machines with a disk and some without. Nothing is started.
func newCluster(r *recorder, binary, folder string) (*cluster, error) {
	c := &cluster{recorder: r, binary: binary, folder: folder}
	for range 50 {
		c.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if c.isFree() {
			return c, nil
		}
	}
	return nil, errors.New("no free addresses")
}

// isFree reports whether the ports of a machine are free.
func (c *cluster) isFree() bool {
	for _, port := range []string{frontendPort, readinessPort, controlPort, directoryPort, internalPort, metricsPort} {
		l, err := net.Listen("tcp", net.JoinHostPort(c.network+".1", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addMachines adds machines up to n, of which the first three have a disk.
func (c *cluster) addMachines(n int) {
	for i := len(c.machines); i < n; i++ {
		m := &machine{cluster: c, zone: "lakes-" + string(rune('a'+i%3)), ip: fmt.Sprintf("%s.%d", c.network, i+1)}
		m.name = fmt.Sprintf("frontend-%s-%d", m.zone, i/3+1)
		if i < coreMachines {
			m.disk = filepath.Join(c.folder, "disk-"+m.name)
		}
		c.machines = append(c.machines, m)
	}
}

// settings returns the settings file of a machine, with the bounds of the small deployments.
func (m *machine) settings(first bool) string {
	var seeds []string
	for _, s := range m.cluster.machines[:coreMachines] {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(s.ip, controlPort)))
	}
	share := 0.4
	if m.disk != "" {
		share = 0.72
	}
	return fmt.Sprintf(`node_name = %q
role = "gateway"
machine_class = "frontend"
serves = ["frontend","control_plane","registry"]
ip = %q
zone = %q
region = "great-lakes"
internal_port_range = [7340,7355]
seed_nodes = [%s]
initial_start = %t
fault_counted = %t
data_directory = %q
discovery = "registration"
entry = "registry"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","rollout"]
configuration_mode = "highest"
[zones]
lakes-a = "great-lakes"
lakes-b = "great-lakes"
lakes-c = "great-lakes"
[listen_addresses]
frontend = %q
readiness = %q
control_plane = %q
directory = %q
[limits]
cpu_share = %g
cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 64
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
outer_bound_ms = 5000
revocation_strict = true
revoke_ms = 5000
retry_budget_ratio = 0.9
budget_window_s = 10
budget_extra_retries = 64
exposure_share = 0.15
exposure_slack = 30
rollback_ms = 5000
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
session_s = 5
ttl_max_s = 5
`, m.name, m.ip, m.zone, strings.Join(seeds, ","), first, m.disk != "", m.disk,
		net.JoinHostPort(m.ip, frontendPort), net.JoinHostPort(m.ip, readinessPort), net.JoinHostPort(m.ip, controlPort),
		net.JoinHostPort(m.ip, directoryPort), share)
}

// start starts the process of a machine. first is true if the whole system starts for the first time.
func (m *machine) start(first bool) error {
	path := filepath.Join(m.cluster.folder, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings(first)), 0o600); err != nil {
		return err
	}
	if m.disk != "" {
		if err := os.MkdirAll(m.disk, 0o700); err != nil {
			return err
		}
	}
	output, err := os.OpenFile(filepath.Join(m.cluster.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command(m.cluster.binary, "gateway")
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.cluster.folder, "LANG=C", "WISTERIAKEEL_BOOT=" + path}
	p.Stdout, p.Stderr = output, output
	err = p.Start()
	_ = output.Close()
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.ending = p, exited, false
	m.mu.Unlock()
	m.cluster.log("platform: starts %s at %s, initial_start %t", m.name, m.ip, first)
	go func() {
		_ = p.Wait()
		m.mu.Lock()
		own := !m.ending
		m.mu.Unlock()
		if own {
			m.cluster.log("platform: %s has ended by itself: %v", m.name, p.ProcessState)
		}
		close(exited)
	}()
	return nil
}

// kill ends the process of a machine at once and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	p, exited := m.process, m.exited
	m.ending = true
	m.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.Process.Kill()
	<-exited
}

// wipe empties the disk of a machine.
func (m *machine) wipe() error { return os.RemoveAll(m.disk) }

// stopAll ends all processes.
func (c *cluster) stopAll() {
	for _, m := range c.machines {
		m.kill()
	}
}

// frontend returns the address for clients.
func (m *machine) frontend() string { return net.JoinHostPort(m.ip, frontendPort) }

// isReady asks for the readiness of a machine.
func (m *machine) isReady() bool {
	r, err := call(http.MethodGet, "http://"+net.JoinHostPort(m.ip, readinessPort)+"/wisteriakeel/readiness", "")
	return err == nil && r.status == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range c.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready in time", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	c.log("platform: all machines are ready")
	return nil
}

// headStart is how much earlier than the others the first machine starts, so that it leads. All start within 0.3 s.
const headStart = 150 * time.Millisecond

// startAll starts all machines for the first time and waits until the first configuration is acknowledged and
// all are ready.
func (p *play) startAll(machines int, o *operator, first *configuration) error {
	p.cluster.addMachines(machines)
	for i, m := range p.cluster.machines {
		if err := m.start(true); err != nil {
			return err
		}
		if i == 0 {
			time.Sleep(headStart)
		}
	}
	time.Sleep(time.Second)
	if !o.replace(first, 20*time.Second) {
		return errors.New("the first configuration isn't acknowledged")
	}
	return p.cluster.awaitReady(20 * time.Second)
}

// reply is the answer to a call of the control plane.
type reply struct {
	status int
	body   string
}

// callTimeout is how long callers of the control plane wait before they go to the next machine.
const callTimeout = time.Second

// dialer opens connections that are not kept.
var callClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call with a JSON body and waits a second at most.
func call(method, url, body string) (*reply, error) {
	return callWithin(callTimeout, method, url, body)
}

// callWithin makes one call with a JSON body.
func callWithin(limit time.Duration, method, url, body string) (*reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body != "" {
		q.Header.Set("Content-Type", "application/json")
	}
	r, err := callClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	text := make([]byte, 0, 4096)
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buffer)
		text = append(text, buffer[:n]...)
		if err != nil {
			break
		}
	}
	return &reply{r.StatusCode, string(text)}, nil
}
