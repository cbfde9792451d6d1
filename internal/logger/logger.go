// Package logger makes the logger of a process.
package logger

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// ErrLevel: the level has no such name.
var ErrLevel = eris.New("logger: unknown log level")

// Settings say how a process logs.
type Settings struct {
	// Level is debug, info, warn or error.
	Level string `long:"logLevel" env:"CAROBROCK_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
	// Format is console or json.
	Format string `long:"logFormat" env:"CAROBROCK_LOG_FORMAT" default:"console" choice:"console" choice:"json" description:"form of the log"`
}

// New returns a logger that writes to w. It fails with ErrLevel.
func New(s *Settings, w io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		return zerolog.Nop(), eris.Wrap(ErrLevel, s.Level)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	if s.Format != "json" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: "15:04:05.000", NoColor: true}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), nil
}
