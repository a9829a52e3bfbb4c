package kernel

import (
	"fmt"
	"strconv"
	"strings"

	"k8s.io/klog/v2"
)

// WarningS logs a structured line of level W in the format of klog.ErrorS, for what an operator must see without
// asking for it: a request that ends without a complete response, an end that nobody announced. A nil err adds
// no field.
func WarningS(err error, event string, keysAndValues ...any) {
	WarningSDepth(1, err, event, keysAndValues...)
}

// WarningSDepth is WarningS for a caller that is depth calls further up.
func WarningSDepth(depth int, err error, event string, keysAndValues ...any) {
	var line strings.Builder
	line.WriteString(strconv.Quote(event))
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		fmt.Fprintf(&line, " %v=%s", keysAndValues[i], logValue(keysAndValues[i+1]))
	}
	if err != nil {
		line.WriteString(" err=" + logValue(err))
	}
	klog.WarningDepth(depth+1, line.String())
}

// logValue formats a value as klog does in structured lines.
func logValue(value any) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case string:
		return strconv.Quote(v)
	case error:
		return strconv.Quote(v.Error())
	case fmt.Stringer:
		return strconv.Quote(v.String())
	}
	return fmt.Sprintf("%+v", value)
}
