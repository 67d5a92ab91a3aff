package dataplane

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMetricsAreDocumented checks that docs/METRICS.md lists exactly the metrics in the code of the kernel and of the
// entry and agent commands, which programs with a packet form use.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	documented := map[string]bool{}
	for _, m := range regexp.MustCompile(`(?m)^\| (coltsfootline_\w+)`).FindAllStringSubmatch(string(page), -1) {
		documented[m[1]] = true
	}
	inCode := map[string]bool{}
	for _, root := range []string{"..", "../../entry/cmd", "../../agent/cmd"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range regexp.MustCompile("[\"`](coltsfootline_\\w+)").FindAllStringSubmatch(string(text), -1) {
				inCode[m[1]] = true
			}
			return err
		}))
	}
	for name := range documented {
		require.True(t, inCode[name], "%s is documented and not in the code", name)
	}
	for name := range inCode {
		require.True(t, documented[name], "%s is not documented", name)
	}
}
