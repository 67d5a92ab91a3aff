package cmd

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/command"
	"github.com/coltsfootline/coltsfootline/kernel/dataplane"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
)

type whereCmd struct {
	client ControlClient
	entry  entryFlag
	caller string
	route  string
	json   bool
}

func newWhereCmd(c ControlClient) *cobra.Command {
	w := &whereCmd{client: c}
	cmd := &cobra.Command{
		Use:   "where --caller ADDRESS:PORT --route ADDRESS:PORT",
		Short: "Explain where a new flow would go now, without sending anything",
		Long: "Asks an entry where a new flow of the caller to the route's address would go now, and why: the plan, the service,\n" +
			"the hosts in the order in which they are considered, the choice, and what follows if hosts return the SYN as busy.\n" +
			"Entries know different loads, and the network gives a caller's packets to entries of the caller's data centre: ask\n" +
			"one of those. It needs an entry with form: platform.",
		Args: noArguments,
		RunE: w.runWhere,
	}
	w.entry.add(cmd)
	cmd.Flags().StringVar(&w.caller, "caller", "", "the caller's address:port")
	cmd.Flags().StringVar(&w.route, "route", "", "the address:port that the caller connects to")
	cmd.Flags().BoolVar(&w.json, "json", false, "print JSON")
	return cmd
}

func (w *whereCmd) runWhere(cmd *cobra.Command, _ []string) error {
	entry, err := w.entry.address()
	if err != nil {
		return err
	}
	caller, err := parseEndpoint("caller", w.caller)
	if err != nil {
		return err
	}
	route, err := parseEndpoint("route", w.route)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
	defer cancel()
	var reply flow.Where
	if err := w.client.Call(ctx, entry, dataplane.MethodWhere, dataplane.WhereRequest{Caller: caller, Route: route}, &reply); err != nil {
		return err
	}
	if w.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(reply)
	}
	return printWhere(cmd.OutOrStdout(), &reply)
}

// parseEndpoint returns the value of a flag, or a UsageError if it is not an IPv4 address with a nonzero port.
func parseEndpoint(flag, text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		return netip.AddrPort{}, errors.WithStack(&command.UsageError{Cause: &AddressError{Flag: flag, Value: text}})
	}
	return a, nil
}
