package node

import (
	"bufio"
	"bytes"
	"os"
	"strconv"
	"strings"
)

// Files of the kernel.
const (
	// vmStatistics holds counters since the start of the VM.
	vmStatistics = "/proc/vmstat"
	// processStatus holds this process's memory use (VmRSS, VmHWM).
	processStatus = "/proc/self/status"
)

// oomKills returns how many processes of this VM the kernel has ended for lack of memory.
func oomKills() (int64, bool) { return kernelFigure(vmStatistics, "oom_kill ") }

// processMemory returns how many bytes of the VM's memory this process uses, and its highest use; 0 if
// unknown.
func processMemory() (used, peak int64) {
	kilobytes, _ := kernelFigure(processStatus, "VmRSS:")
	highest, _ := kernelFigure(processStatus, "VmHWM:")
	return kilobytes << 10, highest << 10
}

// kernelFigure returns the first number of the line of a kernel's file that begins with a name.
func kernelFigure(path, name string) (int64, bool) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, false
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), name)
		if !ok {
			continue
		}
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			return 0, false
		}
		figure, err := strconv.ParseInt(fields[0], 10, 64)
		return figure, err == nil
	}
	return 0, false
}
