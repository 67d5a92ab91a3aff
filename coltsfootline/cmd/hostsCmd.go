package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

type hostsCmd struct {
	client  ControlClient
	entry   entryFlag
	service string
	json    bool
}

func newHostsCmd(c ControlClient) *cobra.Command {
	h := &hostsCmd{client: c}
	cmd := &cobra.Command{
		Use:   "hosts",
		Short: "Show the targets that an entry knows, by service",
		Args:  noArguments,
		RunE:  h.runHosts,
	}
	h.entry.add(cmd)
	cmd.Flags().StringVar(&h.service, "service", "", "show this service alone")
	cmd.Flags().BoolVar(&h.json, "json", false, "print JSON")
	return cmd
}

func (h *hostsCmd) runHosts(cmd *cobra.Command, _ []string) error {
	entry, err := h.entry.address()
	if err != nil {
		return err
	}
	all, err := fetchMembers(cmd.Context(), h.client, entry)
	if err != nil {
		return err
	}
	all = slices.DeleteFunc(all, func(m facts.Member) bool {
		return m.Role != facts.RoleAgent || h.service != "" && m.Service != h.service
	})
	slices.SortFunc(all, func(a, b facts.Member) int {
		return strings.Compare(a.Service+"\x00"+a.Instance, b.Service+"\x00"+b.Instance)
	})
	if h.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(all)
	}
	return printHosts(cmd.OutOrStdout(), all)
}

// printHosts prints a table of agents with their targets. An agent that knows no target has "-" instead.
func printHosts(w io.Writer, all []facts.Member) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERVICE\tAGENT\tDATA CENTRE\tAGENT STATE\tTARGET\tTARGET STATE\tSLOTS\tPACKETS")
	for _, m := range all {
		target := facts.Target{ID: "-", State: "-"}
		if m.Target != nil {
			target = *m.Target
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
			m.Service, m.Instance, m.DataCentre, m.State, target.ID, target.State, target.Slots, m.Packets)
	}
	return t.Flush()
}
