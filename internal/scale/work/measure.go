package work

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Usage is a process's resource usage according to /proc.
type Usage struct {
	User, System time.Duration // in steps of 10 ms
	Resident     int64         // bytes
	Descriptors  int
}

// Total returns the CPU time.
func (u Usage) Total() time.Duration { return u.User + u.System }

const clockTick = 10 * time.Millisecond // unit of CPU times in /proc

// UsageOf reads a process's usage.
func UsageOf(pid int) (u Usage, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name may contain spaces
	f := strings.Fields(rest)
	if len(f) < 22 {
		return u, fmt.Errorf("work: /proc/%d/stat: got %d fields after the name, want at least 22", pid, len(f))
	}
	count := func(i int) int64 {
		n, perr := strconv.ParseInt(f[i], 10, 64)
		if perr != nil {
			err = perr
		}
		return n
	}
	u.User, u.System = time.Duration(count(11))*clockTick, time.Duration(count(12))*clockTick
	u.Resident = count(21) * int64(os.Getpagesize())
	open, derr := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if derr == nil {
		u.Descriptors = len(open)
	}
	return u, err
}

// ownCPU returns the CPU time that this process has used.
func ownCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// slabCaches are the kernel's slab caches for the records of a connection.
var slabCaches = []string{"TCP", "sock_inode_cache", "filp", "eventpoll_epi", "eventpoll_pwq"}

// KernelBytes returns the memory of the kernel's records of all connections and files of the
// machine, without their buffers, or 0 if the kernel does not report it. It includes those of other
// processes.
func KernelBytes() (sum int64) {
	text, err := os.ReadFile("/proc/slabinfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 4 {
			continue
		}
		for _, name := range slabCaches {
			if f[0] == name {
				objects, _ := strconv.ParseInt(f[1], 10, 64)
				size, _ := strconv.ParseInt(f[3], 10, 64)
				sum += objects * size
			}
		}
	}
	return sum
}
