// Package loopback assigns loopback addresses to tests, so that they can listen on
// fixed ports beside each other.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	processes       = 16000
	hostsPerProcess = 1000
	hostsPerSubnet  = 250 // subnets of 256 addresses, without the first and the last
)

var taken atomic.Uint32

// Host returns an address that no other test uses at the same time, in this process or
// another. A process gets an address again after hostsPerProcess others.
func Host() string { return host(os.Getpid(), taken.Add(1)) }

func host(pid int, n uint32) string {
	n %= hostsPerProcess
	const subnetsPerProcess = hostsPerProcess / hostsPerSubnet
	subnet := uint32(1+pid%processes)*subnetsPerProcess + n/hostsPerSubnet
	return fmt.Sprintf("127.%d.%d.%d", subnet>>8, subnet&255, 1+n%hostsPerSubnet)
}
