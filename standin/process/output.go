package process

import (
	"context"
	"errors"
	"os"
	"sync"
	"sync/atomic"

	"redwinghall/kernel"
)

// output is where the standard output of a process goes: to a log file, directly or
// through a pipe.
type output struct {
	log *os.File
	// reader and writer are the ends of the pipe, nil if there is none.
	reader, writer *os.File
	copied         chan struct{} // closed when nothing more is read from the pipe
	stalled        atomic.Bool
	closeOnce      sync.Once
	closed         chan struct{} // closed with the reader
}

const copyBytes = 4096

func openOutput(path string, piped bool) (*output, error) {
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	o := &output{log: log, copied: make(chan struct{}), closed: make(chan struct{})}
	if !piped {
		close(o.copied)
		return o, nil
	}
	if o.reader, o.writer, err = os.Pipe(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return o, nil
}

// stdout returns the file that a process gets as its standard output.
func (o *output) stdout() *os.File {
	if o.writer != nil {
		return o.writer
	}
	return o.log
}

// started closes this process's copy of the writer, so that the pipe ends with the process
// that was started, and begins to copy.
func (o *output) started(g *kernel.Group, name string) {
	if o.writer == nil {
		return
	}
	_ = o.writer.Close() // nothing was written to it here
	g.Go("process.output."+name, func(context.Context) error {
		o.copy()
		return nil
	})
}

// copy copies from the pipe to the log until the process has exited or the reader is
// closed.
func (o *output) copy() {
	defer close(o.copied)
	buffer := make([]byte, copyBytes)
	for {
		n, err := o.reader.Read(buffer)
		_, _ = o.log.Write(buffer[:n]) // a log that lacks lines shows that
		if err != nil {
			return
		}
		if o.stalled.Load() {
			<-o.closed
			return
		}
	}
}

// closeReader closes the end of the pipe from which the log is read.
func (o *output) closeReader() {
	if o.reader == nil {
		return
	}
	o.closeOnce.Do(func() {
		close(o.closed)
		_ = o.reader.Close() // nothing more is read from it
	})
}

// close closes the log after the last output of a process that has exited.
func (o *output) close() error {
	if o.stalled.Load() {
		o.closeReader()
	}
	<-o.copied
	o.closeReader()
	return o.log.Close()
}

// CloseOutput closes the pipe from which the output of a process that StartPiped has
// started is read, as if the reader had ended. Whatever the process then writes fails.
func (p *Process) CloseOutput() { p.output.closeReader() }

// StallOutput lets the reader of a process that StartPiped has started stand still. What
// the process writes then fills the pipe, and the next write blocks.
func (p *Process) StallOutput() { p.output.stalled.Store(true) }
