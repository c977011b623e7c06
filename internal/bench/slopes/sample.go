package slopes

import (
	"bufio"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriakeel.example/wisteriakeel/internal/kernel/timer"
)

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
	if s.cpu, err = cpu(pid); err != nil {
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

// cpu returns the time that all threads of a process have run. The times of
// /proc/PID/stat are too coarse for it, as they count in steps of 10 ms.
func cpu(pid int) (sum time.Duration, err error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	for _, t := range threads {
		text, err := os.ReadFile(t)
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			// The thread has ended meanwhile; the Go runtime ends hardly any.
			continue
		}
		if err != nil {
			return 0, err
		}
		first, _, _ := strings.Cut(string(text), " ")
		n, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, t)
		}
		sum += time.Duration(n)
	}
	if sum == 0 {
		return 0, errors.New("no thread has run")
	}
	return sum, nil
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
