package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	frontendPort = "8227"
	readyPort    = "8220"
	controlPort  = "8229"
	registryPort = "8224"
)

// site holds the figures in which deployments differ.
type site struct {
	zones        []string
	region       string
	machines     int
	extraRetries int
	cpuShare     float64 // of machines without a disk
}

var lakes = []string{"lakes-a", "lakes-b", "lakes-c"}

// sites are the deployments that cases can be played with.
var sites = map[string]site{
	"review":         {lakes, "great-lakes", 6, 64, 0.72},
	"harbison-lakes": {lakes, "great-lakes", 12, 64, 0.4},
	"gnsw-frostline": {[]string{"concord", "montpelier", "worcester"}, "new-england", 9, 58, 0.4},
}

// machine is a machine of the small deployment, with one gateway process.
type machine struct {
	cluster *cluster
	name    string
	ip      string
	zone    string
	disk    string // data directory; empty without a disk

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	starts  int
}

// cluster is the deployment: three machines with a disk and others without one.
type cluster struct {
	site     site
	folder   string // temporary folder
	keep     bool   // it is not removed
	binary   string
	record   *record
	machines []*machine
}

func newCluster(binary string, s site, r *record) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{site: s, folder: folder, binary: binary, record: r}
	subnet, err := freeSubnet(s.machines)
	if err != nil {
		return nil, err
	}
	for i := range s.machines {
		m := &machine{cluster: c, name: fmt.Sprintf("frontend-%s-%d", s.zones[i%3], 1+i/3), ip: fmt.Sprintf("%s.%d", subnet, 10+i), zone: s.zones[i%3]}
		if i < 3 {
			m.disk = filepath.Join(folder, "disk-"+m.name)
		}
		c.machines = append(c.machines, m)
	}
	return c, nil
}

// freeSubnet returns the first three bytes of loopback addresses whose ports are free.
func freeSubnet(machines int) (string, error) {
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%250)
		free := true
		for n := 10; n < 10+machines && free; n++ {
			for _, port := range []string{frontendPort, readyPort, controlPort, registryPort, "7340", "9464"} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", subnet, n, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (m *machine) address(port string) string { return net.JoinHostPort(m.ip, port) }

// settings returns the settings file of the machine's process.
func (m *machine) settings(initialStart bool) string {
	s := m.cluster.site
	share := s.cpuShare
	if m.disk != "" {
		share = 0.72
	}
	var b bytes.Buffer
	var seeds []string
	for _, n := range m.cluster.machines[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", n.address(controlPort)))
	}
	fmt.Fprintf(&b, "node_name = %q\nrole = \"gateway\"\nmachine_class = \"frontend\"\nserves = [\"frontend\",\"control_plane\",\"registry\"]\n", m.name)
	fmt.Fprintf(&b, "ip = %q\nzone = %q\nregion = %q\ninternal_port_range = [7340,7355]\nseed_nodes = [%s]\n", m.ip, m.zone, s.region, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "initial_start = %t\nfault_counted = %t\n", initialStart, m.disk != "")
	if m.disk != "" {
		fmt.Fprintf(&b, "data_directory = %q\n", m.disk)
	}
	b.WriteString("discovery = \"registration\"\nentry = \"registry\"\nheartbeat_interval_ms = 1200\n")
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"rollout\"]\nconfiguration_mode = \"highest\"\n")
	b.WriteString("[zones]\n")
	for _, z := range s.zones {
		fmt.Fprintf(&b, "%s = %q\n", z, s.region)
	}
	fmt.Fprintf(&b, "[listen_addresses]\nfrontend = %q\nreadiness = %q\ncontrol_plane = %q\ndirectory = %q\n",
		m.address(frontendPort), m.address(readyPort), m.address(controlPort), m.address(registryPort))
	fmt.Fprintf(&b, "[limits]\ncpu_share = %g\ncores = 1\nmemory_mb = 284\nfile_descriptors = 4100\nlink_mbps = 1000.0\ndisk_mb = 64\n", share)
	b.WriteString("[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n")
	b.WriteString("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\n" +
		"loss_slack_ms = 200\nconfig_apply_ms = 2000\ndowngrade_slack_ms = 250\nouter_bound_ms = 5000\nrevocation_strict = true\nrevoke_ms = 5000\n" +
		"retry_budget_ratio = 0.9\nbudget_window_s = 10\n")
	fmt.Fprintf(&b, "budget_extra_retries = %d\n", s.extraRetries)
	b.WriteString("exposure_share = 0.15\nexposure_slack = 30\nrollback_ms = 5000\n" +
		"recovery_s = 12\npass_ms = 120\nreuse_window_s = 10\nsession_s = 5\nttl_max_s = 5\n")
	return b.String()
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start(initialStart bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.disk != "" {
		if err := os.MkdirAll(m.disk, 0o700); err != nil {
			return err
		}
	}
	path := filepath.Join(m.cluster.folder, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings(initialStart)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(m.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.command = exec.Command(m.cluster.binary, "gateway")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WISTERIAKEEL_BOOT=" + path}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.starts++
	m.cluster.record.printf("platform: %s starts, initial_start %t", m.name, initialStart)
	m.exited = make(chan struct{})
	go wait(m.command, m.exited)
	return nil
}

func wait(c *exec.Cmd, exited chan struct{}) {
	_ = c.Wait()
	close(exited)
}

func (m *machine) logPath() string { return filepath.Join(m.cluster.folder, m.name+".log") }

// signal sends a signal to the process, which this program started.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(s)
	}
}

// kill kills the process and waits until it is gone.
func (m *machine) kill(why string) {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
	m.cluster.record.printf("platform: %s killed%s", m.name, why)
}

// loseDisk empties the data directory of a killed machine.
func (m *machine) loseDisk() error {
	m.cluster.record.printf("platform: %s loses its disk", m.name)
	if err := os.RemoveAll(m.disk); err != nil {
		return err
	}
	return os.MkdirAll(m.disk, 0o700)
}

// startAll starts all machines for the first time, within 0.3 s of each other.
func (c *cluster) startAll() error {
	for _, m := range c.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	for _, m := range c.machines {
		m.signal(syscall.SIGKILL)
		m.mu.Lock()
		exited := m.exited
		m.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	if c.keep {
		fmt.Println("logs and disks are kept in", c.folder)
		return
	}
	_ = os.RemoveAll(c.folder)
}

// leader returns the machine that was elected last, from the logs. It only chooses which machine is
// disturbed; the verdict does not depend on it.
func (c *cluster) leader() *machine {
	var found *machine
	latest := ""
	for _, m := range c.machines[:3] {
		text, err := os.ReadFile(m.logPath())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, `"msg":"elected"`) {
				continue
			}
			_, at, _ := strings.Cut(line, `"time":"`)
			at, _, _ = strings.Cut(at, `"`)
			if at > latest {
				latest, found = at, m
			}
		}
	}
	return found
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
