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

// SoakError reports the seeds of runs that broke promises.
type SoakError struct {
	Seeds []uint64
}

// Error names the seeds.
func (e *SoakError) Error() string {
	return fmt.Sprintf("promises broken with seeds %v", e.Seeds)
}

type soakCmd struct {
	seed     uint64
	runs     int
	duration time.Duration
	only     []string
	options  site.Options
}

func newSoakCmd() *cobra.Command {
	c := &soakCmd{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run entries and agents on an emulated platform under drawn faults, and print what callers saw",
		Long: "Each run starts the real programs between emulated routers, callers, targets and a store, draws faults from its\n" +
			"seed, and checks from what callers and targets see that promises hold. It prints a JSON object a run.\n" +
			"The directory of a run that broke one is kept and named. Kinds of fault: " + strings.Join(site.FaultNames(), ", ") + ".",
		Args: cobra.NoArgs,
		RunE: c.runSoak,
	}
	f := cmd.Flags()
	f.Uint64Var(&c.seed, "seed", 1, "seed of the first run; the next runs count up")
	f.IntVar(&c.runs, "runs", 1, "number of runs")
	f.DurationVar(&c.duration, "duration", 10*time.Second, "how long faults begin")
	f.StringSliceVar(&c.only, "only", nil, "draw these kinds of fault alone")
	f.IntVar(&c.options.Entries, "entries", 3, "number of entries")
	f.IntVar(&c.options.Agents, "agents", 3, "number of agents of each of the two services")
	f.IntVar(&c.options.Callers, "callers", 4, "number of callers' addresses")
	return cmd
}

func (c *soakCmd) runSoak(cmd *cobra.Command, _ []string) error {
	built, err := os.MkdirTemp("", "coltsfootline-soak-")
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = os.RemoveAll(built) }()
	if c.options.Programs, err = cluster.Build(cmd.Context(), built); err != nil {
		return err
	}
	var failed []uint64
	for i := range c.runs {
		r, err := c.one(cmd.Context(), c.seed+uint64(i), cmd.ErrOrStderr())
		if err != nil {
			return err
		}
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(r); err != nil {
			return errors.WithStack(err)
		}
		if len(r.Broken) > 0 {
			failed = append(failed, r.Seed)
		}
	}
	if len(failed) > 0 {
		return errors.WithStack(&SoakError{Seeds: failed})
	}
	return nil
}

func (c *soakCmd) one(ctx context.Context, seed uint64, progress io.Writer) (site.Soak, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := c.options
	o.Seed, o.Directory = seed, filepath.Join(os.TempDir(), fmt.Sprintf("coltsfootline-soak-%d-%d", os.Getpid(), seed))
	if err := os.Mkdir(o.Directory, 0o700); err != nil {
		return site.Soak{}, errors.WithStack(err)
	}
	s, err := site.New(ctx, o)
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		_, _ = fmt.Fprintln(progress, "logs are kept in", o.Directory)
		return site.Soak{}, err
	}
	r, err := site.RunSoak(ctx, s, c.duration, c.only)
	if err != nil || len(r.Broken) > 0 {
		_, _ = fmt.Fprintln(progress, "logs are kept in", o.Directory)
		return r, err
	}
	return r, errors.WithStack(os.RemoveAll(o.Directory))
}
