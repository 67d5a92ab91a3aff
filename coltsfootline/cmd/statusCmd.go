package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

type statusCmd struct {
	client ControlClient
	entry  entryFlag
	json   bool
}

// InstanceStatus is the status of an instance as the status command prints it.
type InstanceStatus struct {
	facts.Member
	// Reached is set if the instance responded. Otherwise the fields below are zero.
	Reached bool `json:"reached"`
	// Digest is the digest of the facts that the instance has.
	Digest uint64 `json:"digest"`
	// Open is the number of connections or flows, Busy that of requests in progress, and Waiting that of queued requests.
	// They are 0 for an entry.
	Open    int `json:"open"`
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
	// Pace is the limit on the concurrent requests of an agent's target, or 0 if there is none. Cold is set if its new
	// flows are limited because it is cold.
	Pace int  `json:"pace,omitempty"`
	Cold bool `json:"cold,omitempty"`
}

func newStatusCmd(c ControlClient) *cobra.Command {
	s := &statusCmd{client: c}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show every instance, its state and its load",
		Args:  cobra.NoArgs,
		RunE:  s.runStatus,
	}
	s.entry.add(cmd)
	cmd.Flags().BoolVar(&s.json, "json", false, "print JSON")
	return cmd
}

func (s *statusCmd) runStatus(cmd *cobra.Command, _ []string) error {
	entry, err := s.entry.address()
	if err != nil {
		return err
	}
	all, err := fetchMembers(cmd.Context(), s.client, entry)
	if err != nil {
		return err
	}
	statuses := make([]InstanceStatus, 0, len(all))
	for _, m := range all {
		statuses = append(statuses, s.query(cmd.Context(), m))
	}
	if s.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(statuses)
	}
	return printStatuses(cmd.OutOrStdout(), statuses)
}

// query asks an instance for its status, unless the entry reports that it is down or has left.
func (s *statusCmd) query(ctx context.Context, m facts.Member) InstanceStatus {
	status := InstanceStatus{Member: m}
	if m.State == facts.StateDown || m.State == facts.StateLeft {
		return status
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply peer.StatusReply
	if err := s.client.Call(ctx, m.Control, peer.MethodStatus, peer.StatusRequest{}, &reply); err != nil {
		return status
	}
	status.Reached = true
	status.Digest = reply.Digest
	status.Open, status.Busy, status.Waiting = reply.Open, reply.Busy, reply.Waiting
	status.Pace, status.Cold = reply.Pace, reply.Cold
	return status
}

func printStatuses(w io.Writer, statuses []InstanceStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "INSTANCE\tROLE\tSERVICE\tDATA CENTRE\tSTATE\tREACHED\tDIGEST\tOPEN\tBUSY\tWAITING")
	for _, s := range statuses {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%t\t%016x\t%d\t%d\t%d\n",
			s.Instance, s.Role, s.Service, s.DataCentre, s.State, s.Reached, s.Digest, s.Open, s.Busy, s.Waiting)
	}
	return t.Flush()
}
