// Package reach decides how requests get to endpoints: over this node's own connections,
// or forwarded by another node where this node's own connections fail. It does no I/O and is
// told the time.
//
// A node that can't connect to an endpoint knows only that its own path is broken. The
// endpoint is taken for unreachable only if other nodes don't reach it either.
package reach
