package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/command"
	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// NoPlanError reports an entry that has no plan yet.
type NoPlanError struct {
	// Entry is the control address of the entry.
	Entry string
}

// Error returns a message with the entry.
func (e *NoPlanError) Error() string {
	return e.Entry + " has no plan yet"
}

// PlanFileError reports a file that does not contain a plan in the format of plan get --json.
type PlanFileError struct {
	File  string
	Cause error
}

// Error returns a message with the file and the cause.
func (e *PlanFileError) Error() string {
	return e.File + ": not a plan: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *PlanFileError) Unwrap() error {
	return e.Cause
}

func newPlanCmd(c ControlClient) *cobra.Command {
	cmd := &cobra.Command{Use: "plan", Short: "Show the plan in use, what changed in it, and when"}
	cmd.AddCommand(newPlanGetCmd(c), newPlanDiffCmd(c), newPlanHistoryCmd(c))
	return cmd
}

type planGetCmd struct {
	client ControlClient
	entry  entryFlag
	json   bool
}

func newPlanGetCmd(c ControlClient) *cobra.Command {
	g := &planGetCmd{client: c}
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Print the plan that an entry uses",
		Args:  noArguments,
		RunE:  g.runGet,
	}
	g.entry.add(cmd)
	cmd.Flags().BoolVar(&g.json, "json", false, "print JSON")
	return cmd
}

func (g *planGetCmd) runGet(cmd *cobra.Command, _ []string) error {
	p, err := fetchPlan(cmd.Context(), g.client, g.entry)
	if err != nil {
		return err
	}
	if g.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(p)
	}
	w := cmd.OutOrStdout()
	_, _ = fmt.Fprintf(w, "version %d, idle timeout %s\n", p.Version, p.IdleTimeout)
	for _, r := range p.Routes {
		_, _ = fmt.Fprintln(w, r)
	}
	return nil
}

// fetchPlan calls an entry for the plan that it uses. It returns a NoPlanError if the entry has none.
func fetchPlan(ctx context.Context, c ControlClient, entry entryFlag) (*plan.Plan, error) {
	address, err := entry.address()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply control.PlanReply
	if err := c.Call(ctx, address, control.MethodPlan, control.PlanRequest{}, &reply); err != nil {
		return nil, err
	}
	if reply.Plan.Version == 0 {
		return nil, errors.WithStack(&NoPlanError{Entry: address.String()})
	}
	return &reply.Plan, nil
}

type planDiffCmd struct {
	client ControlClient
	entry  entryFlag
	json   bool
}

func newPlanDiffCmd(c ControlClient) *cobra.Command {
	d := &planDiffCmd{client: c}
	cmd := &cobra.Command{
		Use:   "diff OLD [NEW]",
		Short: "Show what differs between a saved plan and another, or the one in use",
		Long: "Compares files that plan get --json wrote. Without NEW the plan that the entry uses is compared.\n" +
			"Exit code 0 also when they differ.",
		Args: func(cmd *cobra.Command, arguments []string) error {
			return usageError(cobra.RangeArgs(1, 2)(cmd, arguments))
		},
		RunE: d.runDiff,
	}
	d.entry.add(cmd)
	cmd.Flags().BoolVar(&d.json, "json", false, "print JSON")
	return cmd
}

func (d *planDiffCmd) runDiff(cmd *cobra.Command, arguments []string) error {
	before, err := readPlan(arguments[0])
	if err != nil {
		return err
	}
	var after *plan.Plan
	if len(arguments) == 2 {
		after, err = readPlan(arguments[1])
	} else {
		after, err = fetchPlan(cmd.Context(), d.client, d.entry)
	}
	if err != nil {
		return err
	}
	difference := plan.Compare(before, after)
	if d.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(difference)
	}
	printDifference(cmd.OutOrStdout(), difference)
	return nil
}

// readPlan reads a file that plan get --json wrote.
func readPlan(file string) (*plan.Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var p plan.Plan
	if err := json.Unmarshal(text, &p); err != nil {
		return nil, errors.WithStack(&PlanFileError{File: file, Cause: err})
	}
	return &p, nil
}

// printDifference prints removed routes with "-" and added ones with "+". A changed route is printed as both.
func printDifference(w io.Writer, d plan.Difference) {
	_, _ = fmt.Fprintf(w, "version %d -> %d\n", d.From, d.To)
	for _, r := range d.Removed {
		_, _ = fmt.Fprintln(w, "-", r)
	}
	for _, r := range d.Added {
		_, _ = fmt.Fprintln(w, "+", r)
	}
	for _, c := range d.Changed {
		_, _ = fmt.Fprintln(w, "-", c.Before)
		_, _ = fmt.Fprintln(w, "+", c.After)
	}
	if d.IdleTimeoutChanged {
		_, _ = fmt.Fprintln(w, "the idle timeout differs")
	}
	if d.ServicesChanged {
		_, _ = fmt.Fprintln(w, "the descriptions of the services differ")
	}
	if d.Empty() {
		_, _ = fmt.Fprintln(w, "nothing else differs")
	}
}

// usageError wraps an error about the arguments in a UsageError. It returns nil if err is nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&command.UsageError{Cause: err})
}

// noArguments is cobra.NoArgs, but returns a UsageError.
func noArguments(cmd *cobra.Command, arguments []string) error {
	return usageError(cobra.NoArgs(cmd, arguments))
}
