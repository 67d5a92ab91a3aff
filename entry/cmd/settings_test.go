package cmd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/golden"
	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

// TestSettingsViolations validates each file in testdata/settings and compares the violations with its golden file.
func TestSettingsViolations(t *testing.T) {
	golden.CheckSettings(t, "testdata/settings", func() settings.Validator { return &Settings{Workers: 1} })
}

func TestMainExitCodes(t *testing.T) {
	require.Equal(t, 2, Main([]string{"validate", "--settings", "testdata/settings/unknownKey.yaml"}, discard{}, discard{}))
	require.Equal(t, 0, Main([]string{"validate", "--settings", "testdata/settings/valid.yaml"}, discard{}, discard{}))
	require.Equal(t, 2, Main([]string{"run", "--settings", "testdata/settings/absent.yaml"}, discard{}, discard{}))
	require.Equal(t, 2, Main([]string{"run", "--unknown"}, discard{}, discard{}))
	require.Equal(t, 2, Main([]string{"run"}, discard{}, discard{}))
	require.Equal(t, 2, Main([]string{"walk"}, discard{}, discard{}))
	require.Equal(t, 2, Main([]string{"run", "stray"}, discard{}, discard{}))
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
