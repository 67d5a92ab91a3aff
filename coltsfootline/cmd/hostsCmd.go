package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

type hostsCmd struct {
	client  ControlClient
	entry   entryFlag
	service string
	json    bool
	// pace asks each agent for the limits of its target.
	pace bool
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
	cmd.Flags().BoolVar(&h.pace, "pace", false, "ask each agent for the pace of its target and whether it is cold")
	return cmd
}

func (h *hostsCmd) runHosts(cmd *cobra.Command, _ []string) error {
	entry, err := h.entry.address()
	if err != nil {
		return err
	}
	received, err := fetchFacts(cmd.Context(), h.client, entry)
	if err != nil {
		return err
	}
	all, err := listHosts(received)
	if err != nil {
		return err
	}
	all = slices.DeleteFunc(all, func(m listedHost) bool {
		return m.Role != facts.RoleAgent || h.service != "" && m.Service != h.service
	})
	slices.SortFunc(all, func(a, b listedHost) int {
		return strings.Compare(a.Service+"\x00"+a.Instance, b.Service+"\x00"+b.Instance)
	})
	if h.pace {
		return h.printPaces(cmd, all)
	}
	h.markEjected(cmd.Context(), entry, all)
	if h.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(all)
	}
	return printHosts(cmd.OutOrStdout(), all)
}

// listedHost is an agent in the output of the command.
type listedHost struct {
	facts.Member

	// Evacuated reports whether the agent's data centre is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// Ejected reports whether the entry that was asked places no flows on the host because of its answers.
	Ejected bool `json:"ejected,omitempty"`
}

// markEjected marks the hosts that the entry has ejected. Each entry decides by itself. One that does not reply has none.
func (h *hostsCmd) markEjected(ctx context.Context, entry netip.AddrPort, all []listedHost) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply peer.StatusReply
	if err := h.client.Call(ctx, entry, peer.MethodStatus, peer.StatusRequest{}, &reply); err != nil {
		return
	}
	for i := range all {
		all[i].Ejected = slices.Contains(reply.Ejected[all[i].Service], all[i].Instance)
	}
}

// listHosts returns the members among the facts, and whether their data centres are evacuated.
func listHosts(received []facts.Fact) ([]listedHost, error) {
	members, err := decodeMembers(received)
	if err != nil {
		return nil, err
	}
	var evacuations []facts.Evacuation
	for _, f := range received {
		if f.Kind != facts.KindEvacuation {
			continue
		}
		e, err := facts.DecodeEvacuation(f)
		if err != nil {
			return nil, err
		}
		evacuations = append(evacuations, e)
	}
	evacuated := facts.EvacuationsOf(evacuations, true).Active
	all := make([]listedHost, 0, len(members))
	for _, m := range members {
		all = append(all, listedHost{Member: m, Evacuated: evacuated[m.DataCentre]})
	}
	return all, nil
}

// printPaces asks the agents for the limits of their targets and prints them. The limits change too often to be known to
// the entries.
func (h *hostsCmd) printPaces(cmd *cobra.Command, agents []listedHost) error {
	asker := &statusCmd{client: h.client}
	statuses := make([]InstanceStatus, 0, len(agents))
	for _, m := range agents {
		statuses = append(statuses, asker.query(cmd.Context(), m.Member))
	}
	if h.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(statuses)
	}
	t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERVICE\tAGENT\tAGENT STATE\tREACHED\tBUSY\tSLOTS\tPACE\tCOLD")
	for _, s := range statuses {
		slots, pace := 0, "-"
		if s.Target != nil {
			slots = s.Target.Slots
		}
		if s.Pace > 0 {
			pace = strconv.Itoa(s.Pace)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%d\t%d\t%s\t%t\n", s.Service, s.Instance, s.State, s.Reached, s.Busy, slots, pace, s.Cold)
	}
	return t.Flush()
}

// printHosts prints a table of agents with their targets. An agent that knows no target has "-" instead.
func printHosts(w io.Writer, all []listedHost) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERVICE\tAGENT\tDATA CENTRE\tAGENT STATE\tTARGET\tTARGET STATE\tSLOTS\tPACKETS")
	for _, m := range all {
		target := facts.Target{ID: "-", State: "-"}
		if m.Target != nil {
			target = *m.Target
		}
		dataCentre := m.DataCentre
		if m.Evacuated {
			dataCentre += " (evacuated)"
		}
		state := string(target.State)
		if m.Ejected {
			state += " (ejected)"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
			m.Service, m.Instance, dataCentre, m.State, target.ID, state, target.Slots, m.Packets)
	}
	return t.Flush()
}
