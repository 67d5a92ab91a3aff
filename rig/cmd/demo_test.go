package cmd

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDemo serves requests through real processes while an entry and a target are replaced.
func TestDemo(t *testing.T) {
	var out, progress bytes.Buffer
	code := Main([]string{"demo"}, &out, &progress)
	require.Equal(t, 0, code, "%s\n%s", out.String(), progress.String())
}
