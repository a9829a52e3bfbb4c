// Package caller speaks to callers: chat completions in the usual OpenAI JSON
// and server-sent events, and calls to plain services. It admits a request,
// routes it, and answers for its outcome.
package caller
