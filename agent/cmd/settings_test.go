package cmd

import (
	"testing"

	"github.com/coltsfootline/coltsfootline/kernel/golden"
	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

// TestSettingsViolations validates each file in testdata/settings and compares the violations with its golden file.
func TestSettingsViolations(t *testing.T) {
	golden.CheckSettings(t, "testdata/settings", func() settings.Validator { return defaultSettings() })
}
