package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/rig/cluster"
	"github.com/coltsfootline/coltsfootline/rig/site"
)

// SoakError reports the seeds of the runs that violated invariants.
type SoakError struct {
	Seeds []uint64
}

// Error lists the seeds.
func (e *SoakError) Error() string {
	return fmt.Sprintf("invariants violated with seeds %v", e.Seeds)
}

type soakCmd struct {
	seed       uint64
	runs       int
	duration   time.Duration
	faultNames []string
	options    site.Options
}

func newSoakCmd() *cobra.Command {
	c := &soakCmd{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run entries and agents on an emulated platform with random faults and check invariants",
		Long: "Each run starts the real programs among emulated routers, callers, targets and a store, injects random faults\n" +
			"from its seed, and checks invariants on what callers and targets observe. It prints a JSON object per run.\n" +
			"The directory of a run that violates one is kept, and its path is printed. Kinds of fault: " + strings.Join(site.FaultNames(), ", ") + ".",
		Args: cobra.NoArgs,
		RunE: c.runSoak,
	}
	f := cmd.Flags()
	f.Uint64Var(&c.seed, "seed", 1, "seed of the first run; each further run adds 1")
	f.IntVar(&c.runs, "runs", 1, "number of runs")
	f.DurationVar(&c.duration, "duration", 10*time.Second, "period in which faults start")
	f.StringSliceVar(&c.faultNames, "only", nil, "inject only these kinds of fault")
	f.IntVar(&c.options.Entries, "entries", 3, "number of entries")
	f.IntVar(&c.options.Agents, "agents", 3, "number of agents of each of the two services")
	f.IntVar(&c.options.Callers, "callers", 4, "number of caller addresses")
	return cmd
}

func (c *soakCmd) runSoak(cmd *cobra.Command, _ []string) error {
	programDirectory, err := os.MkdirTemp("", "coltsfootline-soak-")
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = os.RemoveAll(programDirectory) }()
	if c.options.Programs, err = cluster.Build(cmd.Context(), programDirectory); err != nil {
		return err
	}
	var failedSeeds []uint64
	for i := range c.runs {
		r, err := c.runSeed(cmd.Context(), c.seed+uint64(i), cmd.ErrOrStderr())
		if err != nil {
			return err
		}
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(r); err != nil {
			return errors.WithStack(err)
		}
		if len(r.Violations) > 0 {
			failedSeeds = append(failedSeeds, r.Seed)
		}
	}
	if len(failedSeeds) > 0 {
		return errors.WithStack(&SoakError{Seeds: failedSeeds})
	}
	return nil
}

// runSeed starts a site and runs the soak on it. It removes the site's directory unless the run failed or violated
// invariants.
func (c *soakCmd) runSeed(ctx context.Context, seed uint64, progress io.Writer) (site.SoakResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := c.options
	o.Seed, o.Directory = seed, filepath.Join(os.TempDir(), fmt.Sprintf("coltsfootline-soak-%d-%d", os.Getpid(), seed))
	if err := os.Mkdir(o.Directory, 0o700); err != nil {
		return site.SoakResult{}, errors.WithStack(err)
	}
	s, err := site.New(ctx, o)
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		_, _ = fmt.Fprintln(progress, "logs are kept in", o.Directory)
		return site.SoakResult{}, err
	}
	r, err := site.RunSoak(ctx, s, c.duration, c.faultNames)
	if err != nil || len(r.Violations) > 0 {
		_, _ = fmt.Fprintln(progress, "logs are kept in", o.Directory)
		return r, err
	}
	return r, errors.WithStack(os.RemoveAll(o.Directory))
}
