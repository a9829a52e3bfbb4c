// Package eventstream splits streams of server-sent events (text/event-stream) into complete events, and keeps their bytes
// unchanged.
package eventstream
