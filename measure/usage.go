package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// clockTicks is the kernel's USER_HZ: /proc gives CPU time in units of 1/USER_HZ
// seconds.
const clockTicks = 100

// ownCPU returns the CPU time of this process.
func ownCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// processCPU returns the CPU time of a process, from /proc/PID/stat.
func processCPU(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// Fields 14 and 15 are user and system time. Field 2, the name, may contain
	// spaces and ends with a parenthesis, so the fields are split after it.
	fields := strings.Fields(string(data)[strings.LastIndexByte(string(data), ')')+1:])
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[12])
	if err != nil {
		return 0, err
	}
	return time.Duration(user+system) * time.Second / clockTicks, nil
}

// processMemory returns the resident memory of a process in MiB.
func processMemory(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20), err
}
