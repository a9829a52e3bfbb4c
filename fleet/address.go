package fleet

import "net/netip"

// IsAddress reports whether a text is an IP address and a port to which a connection can be opened.
func IsAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}
