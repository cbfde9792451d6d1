// Package logger creates the logger of a process.
package logger

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// ErrSettings reports an invalid setting.
var ErrSettings = eris.New("logger: invalid settings")

// Settings configure the log of a process.
type Settings struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `long:"logLevel" env:"CAROBROCK_LOG_LEVEL" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
	// Format is the output format: console or json.
	Format string `long:"logFormat" env:"CAROBROCK_LOG_FORMAT" default:"console" description:"log format: console or json"`
}

// New returns a logger that writes to w. It fails with ErrSettings if a setting is
// invalid. It sets zerolog's global time format.
func New(s *Settings, w io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil || level == zerolog.NoLevel {
		return zerolog.Nop(), eris.Wrapf(ErrSettings, "--logLevel %q is not debug, info, warn or error", s.Level)
	}
	if s.Format != "json" && s.Format != "console" {
		return zerolog.Nop(), eris.Wrapf(ErrSettings, "--logFormat %q is not console or json", s.Format)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	if s.Format != "json" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: "15:04:05.000", NoColor: true}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), nil
}
