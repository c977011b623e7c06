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

// sample holds the resource usage counters of one process.
type sample struct {
	// cpu is the processor time since the start.
	cpu time.Duration
	// residentBytes is the current resident set size.
	residentBytes float64
	// ioBytes counts the bytes read and written by system calls: network traffic, log lines, and on
	// control instances the disk.
	ioBytes float64
}

// takeSample reads the counters of a process from /proc.
func takeSample(pid int) (s sample, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "process %d", pid)
		}
	}()
	if s.cpu, err = cpuTime(pid); err != nil {
		return s, err
	}
	memory, err := sumFields(fmt.Sprintf("/proc/%d/status", pid), "VmRSS")
	if err != nil {
		return s, err
	}
	s.residentBytes = 1024 * memory
	s.ioBytes, err = sumFields(fmt.Sprintf("/proc/%d/io", pid), "rchar", "wchar")
	return s, err
}

// cpuTime returns the processor time of all threads of a process. It reads schedstat, as the times in
// /proc/PID/stat have a resolution of 10 ms only.
func cpuTime(pid int) (sum time.Duration, err error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	for _, t := range threads {
		text, err := os.ReadFile(t)
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			// The thread has ended since the listing. Its time is lost, but the Go runtime rarely ends threads.
			continue
		}
		if err != nil {
			return 0, err
		}
		runTime, _, _ := strings.Cut(string(text), " ")
		n, err := strconv.ParseInt(runTime, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, t)
		}
		sum += time.Duration(n)
	}
	if sum == 0 {
		return 0, errors.New("the threads have no processor time")
	}
	return sum, nil
}

// sumFields returns the sum of the named fields of a file with one "name: value" pair per line.
func sumFields(path string, names ...string) (sum float64, err error) {
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

// usage is the resource usage of one process, or the sum or mean of several.
type usage struct {
	// cpuShare is the processor time used per unit of time; 1 is one processor in full use.
	cpuShare, residentBytes, ioBytesPerSecond float64
}

// usageBetween returns the usage between samples a and b, which were taken d apart.
func usageBetween(a, b sample, d time.Duration) usage {
	return usage{
		cpuShare: (b.cpu - a.cpu).Seconds() / d.Seconds(), residentBytes: b.residentBytes,
		ioBytesPerSecond: (b.ioBytes - a.ioBytes) / d.Seconds(),
	}
}

// meanUsage returns the mean of several usages.
func meanUsage(list []usage) (m usage) {
	for _, u := range list {
		m.cpuShare += u.cpuShare / float64(len(list))
		m.residentBytes += u.residentBytes / float64(len(list))
		m.ioBytesPerSecond += u.ioBytesPerSecond / float64(len(list))
	}
	return m
}

// point is a value y measured at the setting x of a factor.
type point struct{ x, y float64 }

// slope returns the slope of the least-squares line through the points.
func slope(points []point) float64 {
	var meanX, meanY, covariance, variance float64
	for _, p := range points {
		meanX += p.x / float64(len(points))
		meanY += p.y / float64(len(points))
	}
	for _, p := range points {
		covariance += (p.x - meanX) * (p.y - meanY)
		variance += (p.x - meanX) * (p.x - meanX)
	}
	if variance == 0 {
		return 0
	}
	return covariance / variance
}

// elapsed returns the time since an instant.
func elapsed(t timer.Service, since timer.Instant) time.Duration { return t.Now().Sub(since) }
