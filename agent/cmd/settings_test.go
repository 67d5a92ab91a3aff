package cmd

import (
	"testing"

	"github.com/coltsfootline/coltsfootline/kernel/golden"
	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

func TestSettingsFaults(t *testing.T) {
	golden.CheckSettings(t, "testdata/settings", func() settings.Validator { return defaults() })
}
