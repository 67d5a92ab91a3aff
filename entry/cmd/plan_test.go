package cmd

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/process"
)

// Guards against a plan that replaces a newer one because two goroutines call onPlan in another order than they took the
// plans.
func TestOlderPlanDoesNotReplaceNewerOne(t *testing.T) {
	e := &passthroughEntry{process: &process.Process{Logger: slog.New(slog.DiscardHandler)}}
	for _, version := range []uint64{2, 1} {
		e.onPlan(&plan.Plan{Version: version})
	}
	require.Equal(t, uint64(2), e.plan.Load().Version)
	e.onPlan(&plan.Plan{Version: 3})
	require.Equal(t, uint64(3), e.plan.Load().Version)
}
