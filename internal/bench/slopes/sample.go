package slopes

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

// tick is the unit of the times in /proc/PID/stat: USER_HZ is 100 on all
// architectures that Go supports on Linux.
const tick = 10 * time.Millisecond

// sample is what one process has used since its start.
type sample struct {
	cpu time.Duration
	// memory is the resident set in bytes at the moment.
	memory float64
	// bytes counts what was read and written by system calls: all network
	// traffic, log lines, and on control instances the disk.
	bytes float64
}

// take reads the counters of a process.
func take(pid int) (s sample, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "process %d", pid)
		}
	}()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return s, err
	}
	if s.cpu, err = cpu(string(stat)); err != nil {
		return s, err
	}
	memory, err := fields(fmt.Sprintf("/proc/%d/status", pid), "VmRSS")
	if err != nil {
		return s, err
	}
	s.memory = 1024 * memory
	s.bytes, err = fields(fmt.Sprintf("/proc/%d/io", pid), "rchar", "wchar")
	return s, err
}

// cpu returns the user and system time of a line of /proc/PID/stat.
func cpu(stat string) (time.Duration, error) {
	// The command name may contain blanks; it ends with the last parenthesis.
	list := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(list) < 13 {
		return 0, errors.Newf("stat has %d fields", len(list))
	}
	user, err := strconv.ParseInt(list[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(list[12], 10, 64)
	return time.Duration(user+system) * tick, err
}

// fields returns the sum of named fields of a file with one "name: value" per line.
func fields(path string, names ...string) (sum float64, err error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	found := 0
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		for _, n := range names {
			if n != name {
				continue
			}
			v, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			if err != nil {
				return 0, err
			}
			sum += v
			found++
		}
	}
	if found != len(names) {
		return 0, errors.Newf("%s lacks one of %v", path, names)
	}
	return sum, lines.Err()
}

// usage is what the processes of one role used per second and process.
type usage struct {
	// cpu is in seconds per second, memory in bytes, bytes in bytes per second.
	cpu, memory, bytes float64
}

// between returns the use from sample a to sample b.
func between(a, b sample, d time.Duration) usage {
	return usage{
		cpu: (b.cpu - a.cpu).Seconds() / d.Seconds(), memory: b.memory,
		bytes: (b.bytes - a.bytes) / d.Seconds(),
	}
}

// mean returns the mean of several uses.
func mean(list []usage) (m usage) {
	for _, u := range list {
		m.cpu += u.cpu / float64(len(list))
		m.memory += u.memory / float64(len(list))
		m.bytes += u.bytes / float64(len(list))
	}
	return m
}

// point is one measured value at one setting of a factor.
type point struct{ x, y float64 }

// slope returns the slope of the least-squares line through the points.
func slope(points []point) float64 {
	var x, y, over, under float64
	for _, p := range points {
		x += p.x / float64(len(points))
		y += p.y / float64(len(points))
	}
	for _, p := range points {
		over += (p.x - x) * (p.y - y)
		under += (p.x - x) * (p.x - x)
	}
	if under == 0 {
		return 0
	}
	return over / under
}

// elapsed is the time since an instant.
func elapsed(t timer.Service, since timer.Instant) time.Duration { return t.Now().Sub(since) }
