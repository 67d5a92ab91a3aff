package cluster

import (
	"context"
	"os/exec"
	"path/filepath"
)

// BuildError reports a program that failed to compile.
type BuildError struct {
	Program string
	Output  string
	Cause   error
}

// Error includes the output of the compiler.
func (e *BuildError) Error() string {
	return "build " + e.Program + ": " + e.Cause.Error() + "\n" + e.Output
}

// Programs are the paths of the built programs.
type Programs struct {
	Entry string
	Agent string
	Rig   string
}

// Build compiles the programs into a directory. It must be called from within the Go workspace.
func Build(ctx context.Context, directory string) (Programs, error) {
	p := Programs{
		Entry: filepath.Join(directory, "entry"),
		Agent: filepath.Join(directory, "agent"),
		Rig:   filepath.Join(directory, "rig"),
	}
	for name, path := range map[string]string{"entry": p.Entry, "agent": p.Agent, "rig": p.Rig} {
		module := "github.com/coltsfootline/coltsfootline/" + name
		out, err := exec.CommandContext(ctx, "go", "build", "-o", path, module).CombinedOutput()
		if err != nil {
			return Programs{}, &BuildError{Program: name, Output: string(out), Cause: err}
		}
	}
	return p, nil
}
