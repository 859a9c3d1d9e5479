package work

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Use is what a process has used and holds, as the system tells.
type Use struct {
	User, System time.Duration // in steps of 10 ms
	Resident     int64         // bytes
	Descriptors  int
}

// Total is its processor time.
func (u Use) Total() time.Duration { return u.User + u.System }

const tick = 10 * time.Millisecond // of the system's count of processor time

// UseOf reads a process's use.
func UseOf(pid int) (u Use, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(text), ") ") // a name may hold spaces
	f := strings.Fields(rest)
	if len(f) < 22 {
		return u, fmt.Errorf("process %d: %d figures", pid, len(f))
	}
	count := func(i int) int64 {
		n, perr := strconv.ParseInt(f[i], 10, 64)
		if perr != nil {
			err = perr
		}
		return n
	}
	u.User, u.System = time.Duration(count(11))*tick, time.Duration(count(12))*tick
	u.Resident = count(21) * int64(os.Getpagesize())
	open, derr := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if derr == nil {
		u.Descriptors = len(open)
	}
	return u, err
}

// own is the processor time that this process has used.
func own() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// slabs are the system's own records for a connection, and what they take for each object, in bytes.
var slabs = []string{"TCP", "sock_inode_cache", "filp", "eventpoll_epi", "eventpoll_pwq"}

// KernelBytes is what the system's records of all connections and files of the machine take, without their buffers; 0 where it does not
// tell. Others on the machine count too.
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
		for _, name := range slabs {
			if f[0] == name {
				objects, _ := strconv.ParseInt(f[1], 10, 64)
				size, _ := strconv.ParseInt(f[3], 10, 64)
				sum += objects * size
			}
		}
	}
	return sum
}
