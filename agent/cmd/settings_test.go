package cmd

import (
	"testing"

	"github.com/coltsfootline/coltsfootline/kernel/settings"
	"github.com/coltsfootline/coltsfootline/kernel/settingstest"
)

func TestSettingsFaults(t *testing.T) {
	settingstest.CheckFaults(t, "testdata/settings", func() settings.Checked { return defaults() })
}
