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

// ScenarioError reports the checks that a scenario run failed.
type ScenarioError struct {
	Scenario     string
	FailedChecks []string
}

// Error names the scenario and the failed checks.
func (e *ScenarioError) Error() string {
	return "scenario " + e.Scenario + " failed: " + strings.Join(e.FailedChecks, ", ")
}

// MissingScenarioError reports that the command line names no scenario.
type MissingScenarioError struct{}

// Error tells how to list the scenarios.
func (*MissingScenarioError) Error() string {
	return "no scenario given; list the scenarios with --list"
}

// checkResult returns a ScenarioError if the run broke promises.
func checkResult(r scenario.Result) error {
	if len(r.FailedChecks) == 0 {
		return nil
	}
	return errors.WithStack(&ScenarioError{Scenario: r.Scenario, FailedChecks: r.FailedChecks})
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
		Short: "Run a scenario and print its results as a JSON object",
		Args:  cobra.MaximumNArgs(1),
		RunE:  c.runMeasure,
	}
	f := cmd.Flags()
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of the load and the random faults")
	f.DurationVar(&c.options.Duration, "duration", 20*time.Second, "how long callers send requests")
	f.StringVar(&c.options.Policy, "policy", placement.DefaultRequestPolicy, "placement policy: "+strings.Join(placement.RequestPolicies.Names(), ", "))
	f.StringVar(&c.options.Size, "size", "small", "small, altiplano or batinah")
	f.BoolVar(&c.list, "list", false, "list the scenarios")
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
	run := &scenarioRun{options: c.options, progress: cmd.ErrOrStderr(), keepDirectory: c.keep}
	r, err := run.execute(cmd.Context())
	if err != nil {
		return err
	}
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(r); err != nil {
		return err
	}
	return checkResult(r)
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
