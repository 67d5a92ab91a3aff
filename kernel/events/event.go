// Package events defines the numbered log events of the programs, and the logger, rate limiter and writer for them.
package events

import (
	"context"
	"io"
	"log/slog"
	"sort"
)

// Event is a kind of log record. Its number and name are attributes of each record.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	// Text is the message of each record.
	Text string
}

// catalogue maps event numbers to events.
var catalogue = map[int]Event{}

// DuplicateNumberError reports two events with the same number.
type DuplicateNumberError struct {
	First  Event
	Second Event
}

// Error returns a message with the names of both events.
func (e *DuplicateNumberError) Error() string {
	return "events " + e.First.Name + " and " + e.Second.Name + " have the same number"
}

// define adds an event to the catalogue. It panics if the number is taken.
func define(number int, name string, level slog.Level, text string) Event {
	e := Event{Number: number, Name: name, Level: level, Text: text}
	if existing, ok := catalogue[number]; ok {
		panic(&DuplicateNumberError{First: existing, Second: e})
	}
	catalogue[number] = e
	return e
}

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Log writes a record with the event's number and name and the given attributes.
func (e Event) Log(l *slog.Logger, attributes ...slog.Attr) {
	all := append([]slog.Attr{slog.Int("event", e.Number), slog.String("eventName", e.Name)}, attributes...)
	l.LogAttrs(context.Background(), e.Level, e.Text, all...)
}

// ErrorAttr returns the log attribute for an error, which must not be nil.
func ErrorAttr(err error) slog.Attr {
	return slog.String("error", err.Error())
}

// Options selects the format and the minimum level of logs.
type Options struct {
	// Format is "json" or "text". Empty means "json".
	Format string     `yaml:"format"`
	Level  slog.Level `yaml:"level"`
}

// level is the minimum level of all loggers of the process. A reload of the settings can change it.
var level slog.LevelVar

// SetLevel changes the minimum level of all loggers of the process.
func SetLevel(l slog.Level) {
	level.Set(l)
}

// NewLogger returns a logger that adds the instance's name to each record. It also sets the minimum level of all loggers
// of the process.
func NewLogger(w io.Writer, o Options, instance string) *slog.Logger {
	SetLevel(o.Level)
	handlerOptions := &slog.HandlerOptions{Level: &level}
	var h slog.Handler = slog.NewJSONHandler(w, handlerOptions)
	if o.Format == "text" {
		h = slog.NewTextHandler(w, handlerOptions)
	}
	return slog.New(h).With(slog.String("instance", instance))
}
