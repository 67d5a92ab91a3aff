// Package golden compares texts, and the faults of settings files, with golden files in tests.
package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

const updateVariable = "UPDATE_GOLDEN"

// CheckFaults loads each .yaml file of a directory and compares its fault with the .golden file beside it;
// a valid file has the golden text "valid". With UPDATE_GOLDEN set it writes the golden files.
func CheckFaults(t *testing.T, directory string, newSettings func() settings.Checked) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.yaml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			Check(t, strings.TrimSuffix(f, ".yaml")+".golden", describe(f, newSettings()))
		})
	}
}

func describe(file string, s settings.Checked) string {
	if err := settings.Load(file, s); err != nil {
		return err.Error() + "\n"
	}
	return "valid\n"
}

// Check compares text with a golden file.
func Check(t *testing.T, file, got string) {
	t.Helper()
	if os.Getenv(updateVariable) != "" {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o600))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}
