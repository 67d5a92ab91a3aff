package cmd

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/command"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

// AgentNotFoundError reports that the entry knows no agent of the given name.
type AgentNotFoundError struct {
	Instance string
}

// Error returns a message with the instance.
func (e *AgentNotFoundError) Error() string {
	return "no agent is named " + e.Instance
}

type drainCmd struct {
	client ControlClient
	entry  entryFlag
	dryRun bool
}

func newDrainCmd(c ControlClient) *cobra.Command {
	d := &drainCmd{client: c}
	cmd := &cobra.Command{
		Use:   "drain INSTANCE",
		Short: "Move every connection off an agent and end it",
		Args:  oneArgument,
		RunE:  d.runDrain,
	}
	d.entry.add(cmd)
	cmd.Flags().BoolVar(&d.dryRun, "dry-run", false, "say what would be drained and change nothing")
	return cmd
}

// oneArgument is cobra.ExactArgs(1), but returns a UsageError.
func oneArgument(cmd *cobra.Command, arguments []string) error {
	if err := cobra.ExactArgs(1)(cmd, arguments); err != nil {
		return errors.WithStack(&command.UsageError{Cause: err})
	}
	return nil
}

func (d *drainCmd) runDrain(cmd *cobra.Command, arguments []string) error {
	m, err := d.findAgent(cmd.Context(), arguments[0])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
	defer cancel()
	if d.dryRun {
		var s peer.StatusReply
		if err := d.client.Call(ctx, m.Control, peer.MethodStatus, peer.StatusRequest{}, &s); err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: would move %d connections\n", m.Instance, s.Open)
		return err
	}
	var reply peer.DrainReply
	if err := d.client.Call(ctx, m.Control, peer.MethodDrain, peer.DrainRequest{}, &reply); err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: draining %d connections\n", m.Instance, reply.Open)
	return err
}

// findAgent returns the agent of the given name.
func (d *drainCmd) findAgent(ctx context.Context, instance string) (facts.Member, error) {
	entry, err := d.entry.address()
	if err != nil {
		return facts.Member{}, err
	}
	all, err := fetchMembers(ctx, d.client, entry)
	if err != nil {
		return facts.Member{}, err
	}
	for _, m := range all {
		if m.Instance == instance && m.Role == facts.RoleAgent {
			return m, nil
		}
	}
	return facts.Member{}, errors.WithStack(&AgentNotFoundError{Instance: instance})
}
