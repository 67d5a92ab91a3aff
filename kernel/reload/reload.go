// Package reload applies changes of a settings file to the running program.
package reload

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/settings"
)

// checkPeriod is how often the settings file is checked for changes that no signal announces.
const checkPeriod = time.Second

// fileKey is the context key for the path of the settings file.
type fileKey struct{}

// WithFile returns a context that contains the path of the program's settings file.
func WithFile(ctx context.Context, file string) context.Context {
	return context.WithValue(ctx, fileKey{}, file)
}

// FileFromContext returns the path that WithFile stored in the context, or "" if there is none.
func FileFromContext(ctx context.Context) string {
	file, _ := ctx.Value(fileKey{}).(string)
	return file
}

// Reloader polls a settings file and applies its changes. Set the exported fields, then call Start.
type Reloader[S settings.Validator] struct {
	// File is the path of the settings file. If it is empty, Start does nothing.
	File string
	// New returns the settings that the file is decoded into, with the default values of keys that it lacks.
	New    func() S
	Logger *slog.Logger
	// Apply applies changed settings and returns the changed keys that take effect only after a restart.
	Apply func(s S) []string

	// content is the file's content when it was last read, whether it was valid or not. An invalid file is thus reported
	// once and not at each check.
	content []byte
	// check requests a check before the next period. Its capacity of 1 merges requests that are not yet served.
	check chan struct{}
}

// Start reads the file for comparison, without applying it, and starts a goroutine that applies later changes until ctx
// ends.
func (r *Reloader[S]) Start(ctx context.Context) {
	r.check = make(chan struct{}, 1)
	if r.File == "" {
		return
	}
	content, err := os.ReadFile(r.File)
	if err != nil {
		events.SettingsRefused.Log(r.Logger, events.ErrorAttr(err))
	}
	r.content = content
	go r.run(ctx)
}

// Check requests a check of the file without waiting for it.
func (r *Reloader[S]) Check() {
	select {
	case r.check <- struct{}{}:
	default:
	}
}

func (r *Reloader[S]) run(ctx context.Context) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.check:
		case <-ticker.C:
		}
		r.reloadIfChanged()
	}
}

// reloadIfChanged applies the settings if the file has changed. The current settings stay in use if the file can't be
// read, which is not logged because the next check tries again, or if it is invalid.
func (r *Reloader[S]) reloadIfChanged() {
	b, err := os.ReadFile(r.File)
	if err != nil || bytes.Equal(b, r.content) {
		return
	}
	r.content = b
	s := r.New()
	if err := settings.Decode(r.File, b, s); err != nil {
		events.SettingsRefused.Log(r.Logger, events.ErrorAttr(err))
		return
	}
	needRestart := r.Apply(s)
	events.SettingsReloaded.Log(r.Logger, slog.String("file", r.File), slog.Any("needRestart", needRestart))
}

// ChangedKeys returns the YAML keys of the struct fields whose values differ between a and b. S must be a struct whose
// fields are all exported.
func ChangedKeys[S any](a, b S) []string {
	var keys []string
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			keys = append(keys, va.Type().Field(i).Tag.Get("yaml"))
		}
	}
	return keys
}
