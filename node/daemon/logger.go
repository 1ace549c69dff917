package daemon

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/rs/zerolog"

	"flamingohall.example/node/settings"
)

// debugVerbosity is the logr V level that settings level "debug" shows.
const debugVerbosity = 1

// newLogger returns the process's logger as its settings ask, with the node's id on each line.
func newLogger(file *settings.File, out io.Writer) logr.Logger {
	if file.Log.Format == settings.FormatText {
		out = zerolog.ConsoleWriter{Out: out, NoColor: true}
	}
	level := zerolog.InfoLevel
	if file.Log.Level == settings.LevelDebug {
		level = zerolog.DebugLevel
	}
	base := zerolog.New(out).Level(level).With().Timestamp().Str("node", file.Node.ID).Logger()
	zerologr.SetMaxV(debugVerbosity)
	return zerologr.New(&base)
}
