package kernel

import (
	"errors"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"

	"k8s.io/klog/v2"

	"redwinghall"
)

// Limits of what is logged of a panic.
const (
	maxPanicValue  = 300 // bytes
	maxPanicFrames = 24
)

var panics atomic.Int64

// Panics returns how many panics Protect has recovered in this process.
func Panics() int64 { return panics.Load() }

// Protect calls fn. A panic in fn is logged as an event of a part and returned as an Error.
//
// What fn held or changed when it panicked stays as it is: fn must release locks by deferred calls, and
// must do again without harm what it has done before.
func Protect(part string, fn func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			panics.Add(1)
			text := PanicText(value)
			klog.ErrorS(nil, "part_panicked", "part", part, "value", text, "stack", PanicStack())
			err = redwinghall.NewOpError("Group."+part, Panicked, errors.New(text))
		}
	}()
	return fn()
}

// PanicText returns the value of a panic as one line of bounded length.
func PanicText(value any) string {
	text := strings.Join(strings.Fields(fmt.Sprint(value)), " ")
	return text[:min(len(text), maxPanicValue)]
}

// PanicStack returns the calls that led to a panic as one line of bounded length, the innermost first.
// It must be called by a deferred function.
func PanicStack() string {
	var counters [2 * maxPanicFrames]uintptr
	frames := runtime.CallersFrames(counters[:runtime.Callers(1, counters[:])])
	var calls []string
	for panicked, more := false, true; more && len(calls) < maxPanicFrames; {
		var frame runtime.Frame
		frame, more = frames.Next()
		isRuntime := strings.HasPrefix(frame.Function, "runtime.")
		panicked = panicked || isRuntime
		if panicked && !isRuntime {
			calls = append(calls, shortCall(frame))
		}
	}
	return strings.Join(calls, " < ")
}

func shortCall(frame runtime.Frame) string {
	function := frame.Function[strings.LastIndex(frame.Function, "/")+1:]
	file := frame.File[strings.LastIndex(frame.File, "/")+1:]
	return function + " " + file + ":" + strconv.Itoa(frame.Line)
}
