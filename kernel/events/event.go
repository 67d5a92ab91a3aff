// Package events numbers what the programs log.
package events

import (
	"context"
	"io"
	"log/slog"
	"sort"
)

// Event is one numbered kind of log record.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	Text   string
}

var catalogue = map[int]Event{}

// DuplicateNumberError reports two events defined under one number.
type DuplicateNumberError struct {
	First  Event
	Second Event
}

// Error names both events.
func (e *DuplicateNumberError) Error() string {
	return "events " + e.First.Name + " and " + e.Second.Name + " share a number"
}

func define(number int, name string, level slog.Level, text string) Event {
	e := Event{Number: number, Name: name, Level: level, Text: text}
	if held, ok := catalogue[number]; ok {
		panic(&DuplicateNumberError{First: held, Second: e})
	}
	catalogue[number] = e
	return e
}

// Catalogue returns every event by rising number.
func Catalogue() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Log writes the event with its number, name and the given attributes.
func (e Event) Log(l *slog.Logger, attributes ...slog.Attr) {
	all := append([]slog.Attr{slog.Int("event", e.Number), slog.String("eventName", e.Name)}, attributes...)
	l.LogAttrs(context.Background(), e.Level, e.Text, all...)
}

// Failure is the attribute that carries an error.
func Failure(err error) slog.Attr {
	return slog.String("error", err.Error())
}

// Options selects the form and the least level of logs.
type Options struct {
	Format string     `yaml:"format"`
	Level  slog.Level `yaml:"level"`
}

// level is the least level of every logger of the process; it may change while the process runs.
var level slog.LevelVar

// SetLevel changes the least level of every logger of the process.
func SetLevel(l slog.Level) {
	level.Set(l)
}

// NewLogger writes JSON lines, or text when the format is "text".
func NewLogger(w io.Writer, o Options, instance string) *slog.Logger {
	SetLevel(o.Level)
	handlerOptions := &slog.HandlerOptions{Level: &level}
	var h slog.Handler = slog.NewJSONHandler(w, handlerOptions)
	if o.Format == "text" {
		h = slog.NewTextHandler(w, handlerOptions)
	}
	return slog.New(h).With(slog.String("instance", instance))
}
