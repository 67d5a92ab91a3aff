package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/audit"
	"github.com/coltsfootline/coltsfootline/kernel/control"
)

type planHistoryCmd struct {
	client ControlClient
	entry  entryFlag
	// members includes changes of instances and targets.
	members bool
	json    bool
}

func newPlanHistoryCmd(c ControlClient) *cobra.Command {
	h := &planHistoryCmd{client: c}
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Show the audit trail: changes of the plan, and with --members those of instances and targets",
		Args:  noArguments,
		RunE:  h.runHistory,
	}
	h.entry.add(cmd)
	cmd.Flags().BoolVar(&h.members, "members", false, "show changes of instances and targets, too")
	cmd.Flags().BoolVar(&h.json, "json", false, "print JSON")
	return cmd
}

func (h *planHistoryCmd) runHistory(cmd *cobra.Command, _ []string) error {
	entry, err := h.entry.address()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
	defer cancel()
	var reply control.AuditReply
	if err := h.client.Call(ctx, entry, control.MethodAudit, control.AuditRequest{}, &reply); err != nil {
		return err
	}
	var records []audit.Record
	for _, r := range reply.Trail.Records {
		if h.members || r.Plan != nil {
			records = append(records, r)
		}
	}
	if h.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(records)
	}
	for _, r := range records {
		at := time.UnixMilli(r.AtMs).UTC().Format("2006-01-02T15:04:05.000Z")
		if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s  %s  (seen by %s)\n", at, r.String(), r.By); err != nil {
			return err
		}
	}
	if reply.Trail.Discarded > 0 {
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d earlier changes are not kept\n", reply.Trail.Discarded)
	}
	return err
}
