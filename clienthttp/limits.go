// Package clienthttp bounds what the connections of HTTP clients hold beside the requests that a handler has accepted: how
// many are open, and what their heads take. net/http reads a head before any handler runs.
//
// What is too much is taken from whoever makes least progress. A request that was read whole is never ended for it, unless
// its client takes nothing of the answer.
package clienthttp

// How descriptors and memory are divided. What is left of the descriptors is for connections that this process opens.
const (
	// fileDescriptors are for files, at most half of all.
	fileDescriptors = 200
	callerShare     = 0.5 // of the descriptors for sockets
	neighborShare   = 0.125
	statusShare     = 0.03
	maxStatus       = 32

	// connBytes is what net/http and the runtime hold for a connection on which nothing happens.
	connBytes           = 16 << 10
	callerMemoryShare   = 0.2 // of the VM's memory
	neighborMemoryShare = 0.05
	headMemoryShare     = 0.08
)

// Limits bound what the connections of a process's clients hold.
type Limits struct {
	Callers   int   // connections of callers
	Neighbors int   // connections of other nodes
	Status    int   // connections to each listener that only tells about this process
	HeadBytes int64 // of large heads, all together; 0 for any number
}

// LimitsOf returns the limits of a process that may have so many descriptors open, on a VM with so many bytes of memory, 0
// if that is unknown.
func LimitsOf(descriptors int, memory int64) Limits {
	sockets := float64(descriptors - min(fileDescriptors, descriptors/2))
	limits := Limits{
		Callers: int(callerShare * sockets), Neighbors: int(neighborShare * sockets), Status: min(maxStatus, int(statusShare*sockets)),
	}
	if memory > 0 {
		limits.Callers = min(limits.Callers, int(callerMemoryShare*float64(memory)/connBytes))
		limits.Neighbors = min(limits.Neighbors, int(neighborMemoryShare*float64(memory)/connBytes))
		limits.HeadBytes = int64(headMemoryShare * float64(memory))
	}
	limits.Callers, limits.Neighbors, limits.Status = max(1, limits.Callers), max(1, limits.Neighbors), max(1, limits.Status)
	return limits
}
