package ingresslimit

import "syscall"

const (
	// maxDescriptors is the descriptor limit of the smallest deployment. The kernel may report a higher limit than the one in
	// effect, so the default number of connections never relies on more.
	maxDescriptors = 4100
	// fileDescriptors are kept for files.
	fileDescriptors = 200
	// connectionBytes is what a connection costs at most: buffers and stack in the process, and 64 KiB in the kernel.
	connectionBytes = 96 << 10
	mb              = 1 << 20
)

// DefaultConnections returns how many connections a process with memoryMB of memory accepts on all listeners together: as many as
// cost two thirds of its memory at most, and no more than half of its descriptors, as the rest is for connections that it opens itself.
func DefaultConnections(memoryMB int) int {
	return max(min(memoryMB*mb*2/3/connectionBytes, (descriptorLimit()-fileDescriptors)/2), minConnections)
}

// minConnections keeps a process usable whose limits are very low.
const minConnections = 48

// descriptorLimit returns the descriptor limit of the process, but at most maxDescriptors.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int(limit.Cur)
}
