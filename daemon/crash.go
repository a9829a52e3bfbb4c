package daemon

import (
	"io"
	"os"
	"runtime/debug"
	"strconv"
	"syscall"

	"k8s.io/klog/v2"
)

// reportCrashes makes the runtime write the text of a fatal error, which can't be recovered, to out too:
// the process may write its log there, and its standard error may go elsewhere.
func reportCrashes(out io.Writer) {
	file, ok := out.(*os.File)
	if !ok || isSameFile(file, os.Stderr) {
		return
	}
	copied, err := withoutBlocking(file)
	if err == nil {
		err = debug.SetCrashOutput(copied, debug.CrashOptions{})
		_ = copied.Close() // the runtime has its own copy
	}
	if err != nil {
		klog.InfoS("crashes_not_reported", "err", err)
	}
}

func isSameFile(a, b *os.File) bool {
	infoA, errA := a.Stat()
	infoB, errB := b.Stat()
	return errA == nil && errB == nil && os.SameFile(infoA, infoB)
}

// withoutBlocking returns a second descriptor of the file. If the file is a pipe whose reader doesn't read, writes to the
// second descriptor fail: a process that crashes must not wait for the reader of its log.
func withoutBlocking(file *os.File) (*os.File, error) {
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if info.Mode()&os.ModeNamedPipe != 0 {
		return os.OpenFile("/proc/self/fd/"+strconv.Itoa(int(file.Fd())), os.O_WRONLY|syscall.O_NONBLOCK, 0)
	}
	fd, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(fd), file.Name()), nil
}
