// Package caller serves the callers' API: chat completions in the format of OpenAI's
// API, with server-sent events, and calls to plain services. It admits and routes
// requests and reports their outcome.
package caller
