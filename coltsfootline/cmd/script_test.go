package cmd

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/dataplane"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"coltsfootline": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the command line in the scripts of testdata/scripts.
func TestScripts(t *testing.T) {
	entry := startEntry(t)
	testscript.Run(t, testscript.Params{Dir: "testdata/scripts", Setup: func(env *testscript.Env) error {
		env.Setenv("ENTRY", entry.String())
		return nil
	}})
}

// startEntry serves the methods of an entry in a crowded data centre, and returns its control address. The loopback address
// depends on the process, so that no other one takes the port before the server does.
func startEntry(t *testing.T) netip.AddrPort {
	pid := os.Getpid()
	l, err := net.Listen("tcp4", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1 + byte(pid>>8)%100, byte(pid), 1}), 0).String())
	require.NoError(t, err)
	control := netip.MustParseAddrPort(l.Addr().String())
	require.NoError(t, l.Close())
	shop := newShop()
	shop.crowd("north")
	server := &peer.Server{Address: control, Logger: slog.New(slog.DiscardHandler), Handlers: map[string]peer.Handler{
		dataplane.MethodWhere: dataplane.WhereHandler(func(_ context.Context, f gue.Flow) (flow.Where, error) {
			return shop.where(dataplane.WhereRequest{Caller: f.Caller.AddrPort(), Route: f.Service.AddrPort()}), nil
		}),
	}}
	require.NoError(t, server.Start(t.Context()))
	return control
}
