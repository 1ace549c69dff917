package daemon

import (
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/rs/zerolog"

	"flamingohall.example/node/settings"
)

// debugVerbosity is the logr V level that settings level "debug" shows.
const debugVerbosity = 1

// timeLayout has milliseconds, so that lines of several processes can be sorted by time.
const timeLayout = "2006-01-02T15:04:05.000Z"

func addTime(line *zerolog.Event, _ zerolog.Level, _ string) {
	line.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeLayout))
}

// newLogger returns the process's logger, configured by the settings, with the node's id on each line.
func newLogger(file *settings.File, out io.Writer) logr.Logger {
	if file.Log.Format == settings.FormatText {
		out = zerolog.ConsoleWriter{Out: out, NoColor: true}
	}
	level := zerolog.InfoLevel
	if file.Log.Level == settings.LevelDebug {
		level = zerolog.DebugLevel
	}
	base := zerolog.New(out).Level(level).With().Str("node", file.Node.ID).Logger().Hook(zerolog.HookFunc(addTime))
	zerologr.SetMaxV(debugVerbosity)
	return zerologr.New(&base)
}
