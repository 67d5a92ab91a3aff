package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/dataplane"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
)

func newFlowsCmd(c ControlClient) *cobra.Command {
	cmd := &cobra.Command{Use: "flows", Short: "Look for flows"}
	cmd.AddCommand(newFlowsFindCmd(c))
	return cmd
}

type flowsFindCmd struct {
	client ControlClient
	entry  entryFlag
	json   bool
}

// FoundFlow is what an instance knows about a flow, or that the instance did not respond.
type FoundFlow struct {
	// By is the instance that was asked.
	By string `json:"by"`
	// Silent is set if the instance did not respond. Then the embedded Info is zero.
	Silent bool `json:"silent,omitempty"`
	flow.Info
}

func newFlowsFindCmd(c ControlClient) *cobra.Command {
	f := &flowsFindCmd{client: c}
	cmd := &cobra.Command{
		Use:   "find ADDRESS:PORT",
		Short: "Ask every instance what it remembers of a caller's flows",
		Long: "Asks every entry and agent. An entry's word is a hint, the agent's says what passed through it.\n" +
			"It needs instances with form: platform.",
		Args: oneArgument,
		RunE: f.runFind,
	}
	f.entry.add(cmd)
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
	return cmd
}

func (f *flowsFindCmd) runFind(cmd *cobra.Command, arguments []string) error {
	caller, err := netip.ParseAddrPort(arguments[0])
	if err != nil {
		return usageError(err)
	}
	entry, err := f.entry.address()
	if err != nil {
		return err
	}
	all, err := fetchMembers(cmd.Context(), f.client, entry)
	if err != nil {
		return err
	}
	found := []FoundFlow{}
	for _, m := range all {
		if m.State != facts.StateDown && m.State != facts.StateLeft {
			found = append(found, f.query(cmd.Context(), m, caller)...)
		}
	}
	if f.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(found)
	}
	t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "BY\tFLOW\tAGENT\tSTAGE\tIDLE MS\tREQUEST")
	for _, row := range found {
		if row.Silent {
			_, _ = fmt.Fprintf(t, "%s\tdoes not answer\n", row.By)
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\n", row.By, row.Flow, row.Instance, row.Stage, row.IdleMs, row.Request)
	}
	return t.Flush()
}

// query asks an instance for the flows of a caller. If the instance does not respond, the result says so.
func (f *flowsFindCmd) query(ctx context.Context, m facts.Member, caller netip.AddrPort) []FoundFlow {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply dataplane.FindReply
	if err := f.client.Call(ctx, m.Control, dataplane.MethodFind, dataplane.FindRequest{Caller: caller}, &reply); err != nil {
		return []FoundFlow{{By: m.Instance, Silent: true}}
	}
	var found []FoundFlow
	for _, info := range reply.Flows {
		found = append(found, FoundFlow{By: m.Instance, Info: info})
	}
	return found
}
