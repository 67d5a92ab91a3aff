package reload

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

type testSettings struct {
	Name string `yaml:"name"`
}

func (s *testSettings) Validate() []settings.Violation {
	var v settings.Violations
	v.Require(s.Name != "", "name", "a name")
	return v
}

// Guards against changes that are noticed only on a signal, and against an invalid file that is applied or that stops
// later reloads.
func TestReloaderAppliesChanges(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.yaml")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write("name: a\n")
	names := make(chan string, 10)
	r := &Reloader[*testSettings]{
		File: file, New: func() *testSettings { return &testSettings{} }, Logger: slog.New(slog.DiscardHandler),
		Apply: func(s *testSettings) []string { names <- s.Name; return nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.Start(ctx)
	write("name: b\n")
	r.Check()
	require.Equal(t, "b", receive(t, names))
	write("colour: red\n")
	r.Check()
	write("name: c\n")
	require.Equal(t, "c", receive(t, names), "without a signal")
}

func receive(t *testing.T, c chan string) string {
	t.Helper()
	select {
	case s := <-c:
		return s
	case <-time.After(30 * time.Second):
		t.Fatal("the change was not applied")
		return ""
	}
}
