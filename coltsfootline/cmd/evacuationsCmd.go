package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/control"
)

// EvacuationsUnknownError reports an entry that does not know the evacuations.
type EvacuationsUnknownError struct {
	// Entry is the control address of the entry.
	Entry string
	// Enabled is set if the entry follows evacuations, but has just started and not learned them yet.
	Enabled bool
}

// Error returns a message with the entry and the reason.
func (e *EvacuationsUnknownError) Error() string {
	if e.Enabled {
		return e.Entry + " has not learned the evacuations yet"
	}
	return e.Entry + " does not follow evacuations: the setting evacuations is not true"
}

type evacuationsCmd struct {
	client ControlClient
	entry  entryFlag
	json   bool
}

func newEvacuationsCmd(c ControlClient) *cobra.Command {
	v := &evacuationsCmd{client: c}
	cmd := &cobra.Command{
		Use:   "evacuations",
		Short: "Show the evacuated data centres that an entry knows, and the evacuations that ended",
		Args:  noArguments,
		RunE:  v.runEvacuations,
	}
	v.entry.add(cmd)
	cmd.Flags().BoolVar(&v.json, "json", false, "print JSON")
	return cmd
}

func (v *evacuationsCmd) runEvacuations(cmd *cobra.Command, _ []string) error {
	entry, err := v.entry.address()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
	defer cancel()
	var reply control.EvacuationsReply
	if err := v.client.Call(ctx, entry, control.MethodEvacuations, control.EvacuationsRequest{}, &reply); err != nil {
		return err
	}
	if v.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(reply)
	}
	if !reply.Known {
		return errors.WithStack(&EvacuationsUnknownError{Entry: entry.String(), Enabled: reply.Enabled})
	}
	return printEvacuations(cmd.OutOrStdout(), reply)
}

// printEvacuations prints a table of data centres with an evacuation that is in force or has ended.
func printEvacuations(w io.Writer, reply control.EvacuationsReply) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "DATA CENTRE\tSTATE\tREVISION")
	for _, e := range reply.Evacuations {
		state := "ended"
		if e.Active {
			state = "evacuated"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\n", e.DataCentre, state, e.Revision)
	}
	return t.Flush()
}
