package node

import (
	"bufio"
	"bytes"
	"os"
	"strconv"
)

// vmStatistics is the kernel's file of counters since the start of the VM.
const vmStatistics = "/proc/vmstat"

// oomKills returns how many processes of this VM the kernel has ended for lack of memory.
func oomKills() (int64, bool) {
	text, err := os.ReadFile(vmStatistics)
	if err != nil {
		return 0, false
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if value, ok := bytes.CutPrefix(lines.Bytes(), []byte("oom_kill ")); ok {
			kills, err := strconv.ParseInt(string(value), 10, 64)
			return kills, err == nil
		}
	}
	return 0, false
}
