// Package quarantine decides which requests are not sent to endpoints because of what they have in common with others:
// a part of their prompt, or that they are the same request.
//
// A request may end the process of each endpoint that begins to answer it, one after the other: its node sends it on,
// its caller sends it again under another id, and others have the same part in their prompts. So nodes
// tell each other which requests were at an endpoint, without a proven answer, as its process ended. A part that was
// there is suspected until some endpoint answers on it. Suspected parts are sent one request at a time, over all
// nodes: a trial. A part that goes on to end endpoints is quarantined: its requests are refused.
//
// The package does no I/O; the present time is an argument.
package quarantine
