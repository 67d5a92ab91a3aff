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
	caller Caller
	entry  entryFlag
	json   bool
}

// Line is the state of one instance as status prints it.
type Line struct {
	facts.Member
	Reached bool   `json:"reached"`
	Digest  uint64 `json:"digest"`
	Open    int    `json:"open"`
	Busy    int    `json:"busy"`
	Waiting int    `json:"waiting"`
}

func newStatusCmd(c Caller) *cobra.Command {
	s := &statusCmd{caller: c}
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
	all, err := members(cmd.Context(), s.caller, entry)
	if err != nil {
		return err
	}
	lines := make([]Line, 0, len(all))
	for _, m := range all {
		lines = append(lines, s.ask(cmd.Context(), m))
	}
	if s.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(lines)
	}
	return printLines(cmd.OutOrStdout(), lines)
}

func (s *statusCmd) ask(ctx context.Context, m facts.Member) Line {
	l := Line{Member: m}
	if m.State == facts.StateDown || m.State == facts.StateLeft {
		return l
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply peer.StatusReply
	if err := s.caller.Call(ctx, m.Control, peer.MethodStatus, peer.StatusRequest{}, &reply); err != nil {
		return l
	}
	l.Reached = true
	l.Digest = reply.Digest
	l.Open, l.Busy, l.Waiting = reply.Open, reply.Busy, reply.Waiting
	return l
}

func printLines(w io.Writer, lines []Line) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "INSTANCE\tROLE\tSERVICE\tDATA CENTRE\tSTATE\tREACHED\tDIGEST\tOPEN\tBUSY\tWAITING")
	for _, l := range lines {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%t\t%016x\t%d\t%d\t%d\n",
			l.Instance, l.Role, l.Service, l.DataCentre, l.State, l.Reached, l.Digest, l.Open, l.Busy, l.Waiting)
	}
	return t.Flush()
}
