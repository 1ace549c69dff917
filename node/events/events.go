// Package events is the catalogue of numbered log events. Each event is declared once, in the file of its role.
// docs/EVENTS.md is generated from these declarations.
package events

import (
	"fmt"
	"sort"

	"github.com/go-logr/logr"
)

// Event is one numbered kind of log line.
type Event struct {
	Number  int
	Level   Level
	Message string
	// Meaning says when the event is logged; Action says what an operator should do.
	Meaning string
	Action  string
}

// Level is the severity of an event.
type Level string

// Levels of events.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// debugVerbosity is logr's V level for Debug events.
const debugVerbosity = 1

var registry = map[int]Event{}

// define registers an event. It panics if the number is already in use.
func define(number int, level Level, message, meaning, action string) Event {
	if earlier, used := registry[number]; used {
		panic(fmt.Sprintf("event %d is both %q and %q", number, earlier.Message, message))
	}
	event := Event{Number: number, Level: level, Message: message, Meaning: meaning, Action: action}
	registry[number] = event
	return event
}

// Log writes the event with key-value pairs. Warn events are written at level info with the field severity=warn, as logr
// has no level for warnings.
func (e Event) Log(logger logr.Logger, keysAndValues ...any) {
	e.write(logger, nil, keysAndValues)
}

// LogError writes the event with the error that caused it.
func (e Event) LogError(logger logr.Logger, err error, keysAndValues ...any) {
	e.write(logger, err, keysAndValues)
}

func (e Event) write(logger logr.Logger, err error, keysAndValues []any) {
	fields := append([]any{"event", e.Number}, keysAndValues...)
	switch e.Level {
	case Error:
		logger.Error(err, e.Message, fields...)
	case Warn:
		fields = append(fields, "severity", string(Warn))
		logger.Info(e.Message, withError(fields, err)...)
	case Debug:
		logger.V(debugVerbosity).Info(e.Message, withError(fields, err)...)
	case Info:
		logger.Info(e.Message, withError(fields, err)...)
	}
}

func withError(fields []any, err error) []any {
	if err == nil {
		return fields
	}
	return append(fields, "error", err.Error())
}

// All returns every declared event, sorted by number.
func All() []Event {
	all := make([]Event, 0, len(registry))
	for _, event := range registry {
		all = append(all, event)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}
