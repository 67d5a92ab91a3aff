package cmd

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/rig/cluster"
	"github.com/coltsfootline/coltsfootline/rig/site"
)

// TestShortSoak runs the soak with two fixed seeds and checks that no invariant is violated. Add each seed that fails,
// with the cause of the failure.
func TestShortSoak(t *testing.T) {
	directory := t.TempDir()
	programs, err := cluster.Build(context.Background(), directory)
	require.NoError(t, err)
	for _, seed := range []uint64{1, 2} {
		ctx, cancel := context.WithCancel(context.Background())
		o := site.Options{
			Directory: filepath.Join(directory, "site"), Programs: programs, Seed: seed, Entries: 3, Agents: 2, Callers: 3,
		}
		require.NoError(t, os.MkdirAll(o.Directory, 0o700))
		s, err := site.New(ctx, o)
		require.NoError(t, err)
		r, err := site.RunSoak(ctx, s, 4*time.Second, nil)
		require.NoError(t, err)
		if len(r.Violations) > 0 {
			var logs strings.Builder
			s.WriteLogs(&logs)
			t.Log(logs.String())
		}
		s.Close()
		cancel()
		require.Empty(t, r.Violations, "seed %d, faults %v", seed, r.Faults)
		require.NotZero(t, r.Outcomes[site.OutcomeServed])
	}
}

func TestSoakFaultNames(t *testing.T) {
	require.Contains(t, site.FaultNames(), "killAll")
	_, err := site.RunSoak(context.Background(), nil, time.Second, []string{"weather"})
	require.ErrorContains(t, err, "unknown kind of fault: weather")
}
