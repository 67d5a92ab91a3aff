package cmd

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/process"
)

// Two goroutines may pass plans out of order. An older plan replaced a newer one, until the next change.
func TestOlderPlanDoesNotReplaceNewerOne(t *testing.T) {
	e := &passthroughEntry{process: &process.Process{Logger: slog.New(slog.DiscardHandler)}}
	e.onPlan(&plan.Plan{Version: 2})
	e.onPlan(&plan.Plan{Version: 1})
	require.Equal(t, uint64(2), e.plan.Load().Version)
}
