package link_test

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/standin/link"
)

// A link refuses connections for a while. If its port became free, another program could listen
// there and answer in the target's place.
func TestRefusingLinkKeepsItsPort(t *testing.T) {
	g := kernel.NewGroup(context.Background())
	defer g.Stop()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, target.Close()) }()
	l, err := link.New(g, "127.0.0.1:0", target.Addr().String())
	require.NoError(t, err)
	l.Set(link.Refuse, 0)
	_, err = net.Dial("tcp", l.Address())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	other, err := net.Listen("tcp", l.Address())
	if err == nil {
		_ = other.Close()
	}
	require.Error(t, err, "the port is taken")
	l.Set(link.Pass, 0)
	conn, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}
