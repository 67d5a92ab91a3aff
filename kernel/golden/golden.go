// Package golden compares test output with golden files. A golden file holds the expected output and is rewritten when
// the environment variable UPDATE_GOLDEN is set.
package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

// updateVariable is the environment variable that makes Check write the golden files.
const updateVariable = "UPDATE_GOLDEN"

// CheckSettings loads each .yaml file of a directory as settings and compares the error with the .golden file of the
// same name. The golden file of valid settings contains "valid". With UPDATE_GOLDEN set, it writes the golden files
// first. It fails if the directory contains no .yaml file.
func CheckSettings(t *testing.T, directory string, newSettings func() settings.Validator) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.yaml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			Check(t, strings.TrimSuffix(f, ".yaml")+".golden", validationResult(f, newSettings()))
		})
	}
}

// validationResult returns the error of loading the file as settings, or "valid", with a final newline.
func validationResult(file string, s settings.Validator) string {
	if err := settings.Load(file, s); err != nil {
		return err.Error() + "\n"
	}
	return "valid\n"
}

// Check compares got with the content of a golden file. With UPDATE_GOLDEN set, it writes the file first.
func Check(t *testing.T, file, got string) {
	t.Helper()
	if os.Getenv(updateVariable) != "" {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o600))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}
