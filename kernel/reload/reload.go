// Package reload takes up changes of a settings file while its program runs.
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

// checkPeriod is how often the settings file is compared: it may change without a signal.
const checkPeriod = time.Second

type fileKey struct{}

// WithFile notes the settings file that a program runs from.
func WithFile(ctx context.Context, file string) context.Context {
	return context.WithValue(ctx, fileKey{}, file)
}

// FileOf returns the settings file of a program, or "".
func FileOf(ctx context.Context) string {
	file, _ := ctx.Value(fileKey{}).(string)
	return file
}

// Reloader takes up changes of a settings file while its program runs.
type Reloader[S settings.Checked] struct {
	File   string
	New    func() S
	Logger *slog.Logger
	// Apply takes changed settings and returns the keys that need a restart.
	Apply func(s S) []string

	held []byte
	wake chan struct{}
}

// Start compares the file until ctx ends.
func (r *Reloader[S]) Start(ctx context.Context) {
	r.wake = make(chan struct{}, 1)
	if r.File == "" {
		return
	}
	held, err := os.ReadFile(r.File)
	if err != nil {
		events.SettingsRefused.Log(r.Logger, events.Failure(err))
	}
	r.held = held
	go r.run(ctx)
}

// Check compares the file now. It does not block.
func (r *Reloader[S]) Check() {
	select {
	case r.wake <- struct{}{}:
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
		case <-r.wake:
		case <-ticker.C:
		}
		r.compare()
	}
}

// compare reads the file; one that can't be read or has faults leaves the settings as they are.
func (r *Reloader[S]) compare() {
	b, err := os.ReadFile(r.File)
	if err != nil || bytes.Equal(b, r.held) {
		return
	}
	r.held = b
	s := r.New()
	if err := settings.Decode(r.File, b, s); err != nil {
		events.SettingsRefused.Log(r.Logger, events.Failure(err))
		return
	}
	restart := r.Apply(s)
	events.SettingsReloaded.Log(r.Logger, slog.String("file", r.File), slog.Any("needRestart", restart))
}

// Changed returns the keys whose values differ between two settings of one type.
func Changed[S any](a, b S) []string {
	var keys []string
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			keys = append(keys, va.Type().Field(i).Tag.Get("yaml"))
		}
	}
	return keys
}
