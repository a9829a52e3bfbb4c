package redwinghall

import (
	"fmt"
	"strings"
	"time"
)

// Explain returns the text that rwhctl explain prints for a code.
func Explain(info CodeInfo) string {
	var out strings.Builder
	fmt.Fprintf(&out, "code:        %s\n", info.Code)
	fmt.Fprintf(&out, "message:     %s\n", info.Message)
	fmt.Fprintf(&out, "outcome:     %s\n", info.Outcome)
	fmt.Fprintf(&out, "http status: %d\n", info.HTTPStatus)
	fmt.Fprintf(&out, "retry after: %s\n", retryText(info.RetryAfter))
	fmt.Fprintf(&out, "cause:       %s\n", info.Cause)
	fmt.Fprintf(&out, "next step:   %s\n", info.NextStep)
	return out.String()
}

func retryText(d time.Duration) string {
	if d == 0 {
		return "do not repeat the same request"
	}
	return d.String() + " or the time in Retry-After"
}

// CodesMarkdown returns the page docs/CODES.md, generated from the table of codes.
func CodesMarkdown() string {
	var out strings.Builder
	out.WriteString("# Codes\n\nEvery refusal, error and state has one of these codes. This page is made from the table in `code.go`;\n" +
		"`make codes` writes it again.\n\nOutcomes: `not_run` (no endpoint started it, and none will), `ran`, `outcome_unknown` (it may have run;\n" +
		"it is not sent again), `no_request` (operators' codes).\n\n" +
		"| code | status | outcome | message | cause | next step | retry after |\n|---|---|---|---|---|---|---|\n")
	for _, c := range codes {
		retry := "no"
		if c.RetryAfter > 0 {
			retry = c.RetryAfter.String()
		}
		fmt.Fprintf(&out, "| `%s` | %d | `%s` | %s | %s | %s | %s |\n",
			c.Code, c.HTTPStatus, c.Outcome, c.Message, c.Cause, c.NextStep, retry)
	}
	return out.String()
}
