package cmd

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/command"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// doctorCmd checks all members except those that have left. Members that are down or do not respond are failures, and so
// are different digests, because instances that have the same facts have the same digest.
type doctorCmd struct {
	status statusCmd
}

func newDoctorCmd(c ControlClient) *cobra.Command {
	d := &doctorCmd{status: statusCmd{client: c}}
	cmd := &cobra.Command{
		Use:   "doctor",
		Short: "Check that every serving instance answers and that all have the same facts",
		Args:  cobra.NoArgs,
		RunE:  d.runDoctor,
	}
	d.status.entry.add(cmd)
	return cmd
}

func (d *doctorCmd) runDoctor(cmd *cobra.Command, _ []string) error {
	entry, err := d.status.entry.address()
	if err != nil {
		return err
	}
	all, err := fetchMembers(cmd.Context(), d.status.client, entry)
	if err != nil {
		return err
	}
	digests := map[uint64]int{}
	failed := 0
	for _, m := range all {
		if m.State == facts.StateLeft {
			continue
		}
		status := d.status.query(cmd.Context(), m)
		if !status.Reached {
			failed++
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: %s, does not answer\n", m.Instance, m.State)
			continue
		}
		digests[status.Digest]++
	}
	if len(digests) > 1 {
		failed++
		_, _ = fmt.Fprintf(cmd.OutOrStdout(), "instances have %d different sets of facts\n", len(digests))
	}
	if failed > 0 {
		return errors.WithStack(&command.UnhealthyError{Failed: failed})
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), "ok")
	return err
}
