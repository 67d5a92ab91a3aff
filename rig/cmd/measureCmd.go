package cmd

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/command"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/rig/scenario"
)

// PromiseError reports which bounds a measurement passed.
type PromiseError struct {
	Scenario string
	Promises []string
}

// Error names the scenario and the bounds.
func (e *PromiseError) Error() string {
	return "scenario " + e.Scenario + ": broken: " + strings.Join(e.Promises, ", ")
}

// MissingScenarioError reports that no scenario was named.
type MissingScenarioError struct{}

// Error says what to do.
func (*MissingScenarioError) Error() string {
	return "name a scenario; --list shows them"
}

func verdict(r scenario.Result) error {
	if len(r.BrokenPromises) == 0 {
		return nil
	}
	return errors.WithStack(&PromiseError{Scenario: r.Scenario, Promises: r.BrokenPromises})
}

type measureCmd struct {
	options scenario.Options
	list    bool
	keep    bool
}

func newMeasureCmd() *cobra.Command {
	c := &measureCmd{}
	cmd := &cobra.Command{
		Use:   "measure SCENARIO",
		Short: "Run one scenario and print its figures as a JSON object",
		Args:  cobra.MaximumNArgs(1),
		RunE:  c.runMeasure,
	}
	f := cmd.Flags()
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of the load and the faults")
	f.DurationVar(&c.options.Duration, "duration", 20*time.Second, "how long the callers send requests")
	f.StringVar(&c.options.Policy, "policy", placement.DefaultRequestPolicy, "placement policy: "+strings.Join(placement.RequestPolicies.Names(), ", "))
	f.StringVar(&c.options.Size, "size", "small", "small, altiplano or batinah")
	f.BoolVar(&c.list, "list", false, "name the scenarios")
	f.BoolVar(&c.keep, "keep", false, "keep the directory with settings, logs and records")
	return cmd
}

func (c *measureCmd) runMeasure(cmd *cobra.Command, arguments []string) error {
	if c.list {
		return c.printList(cmd)
	}
	if len(arguments) == 0 {
		return errors.WithStack(&command.UsageError{Cause: &MissingScenarioError{}})
	}
	c.options.Name = arguments[0]
	e := &experiment{options: c.options, progress: cmd.ErrOrStderr(), keep: c.keep}
	r, err := e.do(cmd.Context())
	if err != nil {
		return err
	}
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(r); err != nil {
		return err
	}
	return verdict(r)
}

func (c *measureCmd) printList(cmd *cobra.Command) error {
	for _, name := range scenario.Scenarios.Names() {
		s, err := scenario.Scenarios.Get(name)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%-16s %s\n", name, s.Purpose); err != nil {
			return err
		}
	}
	return nil
}
