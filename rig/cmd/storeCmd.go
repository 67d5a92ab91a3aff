package cmd

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/rig/store"
)

type storeCmd struct {
	listen string
}

func newStoreCmd() *cobra.Command {
	c := &storeCmd{}
	cmd := &cobra.Command{
		Use:    "store",
		Short:  "Run an emulated platform store",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   c.runStore,
	}
	cmd.Flags().StringVar(&c.listen, "listen", "", "TCP address to listen on")
	return cmd
}

func (c *storeCmd) runStore(*cobra.Command, []string) error {
	return http.ListenAndServe(c.listen, (&store.Server{}).Handler())
}
