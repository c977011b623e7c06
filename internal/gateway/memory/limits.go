package memory

import "syscall"

const (
	// descriptorShare is the part of the descriptors, 1 in descriptorShare, for connections of clients. Each may need
	// another one to an upstream.
	descriptorShare = 3
	// connectionsPerMB bounds connections by memory: one with a short request takes about 25 KB.
	connectionsPerMB = 8
	// MinConnections leaves some for operators and readiness checks.
	MinConnections = 16
)

// DefaultConnections returns the number of connections of clients at most, for a process with some memory, in MB, and
// descriptors. Either is 0 if it is not known; without both there is no limit, which is 0.
func DefaultConnections(memoryMB, descriptors float64) int {
	n := descriptors / descriptorShare
	if memoryMB > 0 && (n == 0 || n > memoryMB*connectionsPerMB) {
		n = memoryMB * connectionsPerMB
	}
	if n == 0 {
		return 0
	}
	return max(int(n), MinConnections)
}

// AvailableDescriptors returns the number of descriptors that the process may open; 0 if it is not known.
func AvailableDescriptors() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return limit.Cur
}
