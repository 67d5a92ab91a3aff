package cmd

import (
	"math/rand/v2"
	"net/http"
	"net/netip"

	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/rig/fabric"
)

type fabricCmd struct {
	listen  string
	control string
	seed    uint64
}

func newFabricCmd() *cobra.Command {
	c := &fabricCmd{}
	cmd := &cobra.Command{
		Use:    "fabric",
		Short:  "Run an emulated network fabric",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   c.runFabric,
	}
	cmd.Flags().StringVar(&c.listen, "listen", "", "UDP address to listen on")
	cmd.Flags().StringVar(&c.control, "control", "", "TCP address of the control endpoint")
	cmd.Flags().Uint64Var(&c.seed, "seed", 1, "seed of the random faults")
	return cmd
}

func (c *fabricCmd) runFabric(cmd *cobra.Command, _ []string) error {
	address, err := netip.ParseAddrPort(c.listen)
	if err != nil {
		return err
	}
	socket, err := fabric.NewSocket(address)
	if err != nil {
		return err
	}
	f := &fabric.Fabric{Socket: socket, Random: rand.New(rand.NewPCG(c.seed, 0))}
	s := &controlServer{server: &http.Server{Addr: c.control, Handler: f.Handler()}}
	go s.run()
	f.Run(cmd.Context())
	return nil
}

// controlServer serves the control endpoint of the fabric until the process ends.
type controlServer struct {
	server *http.Server
}

func (s *controlServer) run() {
	_ = s.server.ListenAndServe()
}
