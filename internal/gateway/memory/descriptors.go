package memory

import "syscall"

// AvailableDescriptors returns the number of descriptors that the process may open; 0 if it is not known.
func AvailableDescriptors() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return limit.Cur
}
