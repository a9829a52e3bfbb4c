package kernel

import (
	"flag"
	"strconv"

	"k8s.io/klog/v2"
)

// UseLogSink sends the lines of klog, of all levels, and of the standard log to a sink. net/http writes the latter
// with locks held, so that it would wait for whoever reads standard error.
func UseLogSink(sink *LogSink, verbose int) {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
		"v": strconv.Itoa(verbose),
	} {
		_ = set.Set(name, value) // klog defines all of these flags
	}
	klog.SetOutput(sink)
	klog.CopyStandardLogTo("INFO")
}
