package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock/internal/logger"
	"github.com/carobrock/carobrock/pkg/client"
)

// errUsage reports an invalid command line.
var errUsage = eris.New("usage")

// usageError returns an error with the given text that wraps errUsage.
func usageError(text string) error { return eris.Wrap(errUsage, text) }

// singleLineText returns the text of err on a single line, without the texts of
// the sentinel errors in settingsErrors that only classify it.
func singleLineText(err error) string {
	text := strings.ReplaceAll(err.Error(), "\n", "; ")
	for _, kind := range settingsErrors {
		text = strings.TrimSuffix(text, ": "+kind.Error())
	}
	return text
}

// processOptions are the options common to the commands that run a process.
type processOptions struct {
	logger.Settings
	Check bool `long:"check" description:"validate the settings and exit"`
}

func (o *processOptions) newLogger() (zerolog.Logger, error) {
	return logger.New(&o.Settings, os.Stderr)
}

// printSettingsValid prints the result of a command run with --check, after its
// settings have been validated.
func printSettingsValid() error {
	fmt.Println("the settings are valid")
	return nil
}

// notifySignals returns a context that is cancelled by the first SIGTERM or
// SIGINT, and a channel that is closed by the second one. The stop function
// releases the signal handler and cancels the context.
func notifySignals() (ctx context.Context, secondSignal <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	second := make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	group := newGroup()
	group.Go(func() {
		if _, ok := <-signals; !ok {
			return
		}
		cancel()
		if _, ok := <-signals; ok {
			close(second)
		}
	})
	return ctx, second, func() {
		signal.Stop(signals)
		close(signals)
		group.Wait()
		cancel()
	}
}

// serverOptions select the processes that an operator's command sends its
// requests to.
type serverOptions struct {
	Server    []string      `long:"server" env:"CAROBROCK_SERVER" env-delim:"," default:"127.0.0.1:7300" description:"operations addresses (IP:PORT) of gateways or replicas, tried in turn"`
	TokenFile string        `long:"tokenFile" env:"CAROBROCK_TOKEN_FILE" description:"file that contains the operators' bearer token"`
	Timeout   time.Duration `long:"timeout" env:"CAROBROCK_TIMEOUT" default:"10s" description:"time limit of the command"`
}

// newClient returns a client for the configured processes and a context that
// expires after the configured timeout. It fails with errUsage if the token file
// cannot be read.
func (o *serverOptions) newClient() (*client.Client, context.Context, context.CancelFunc, error) {
	c := &client.Client{Addresses: o.Server}
	if o.TokenFile != "" {
		data, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return nil, nil, nil, usageError(err.Error())
		}
		c.Token = strings.TrimSpace(string(data))
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	return c, ctx, cancel, nil
}

// withClient calls fn with a new client and a context that expires after the
// configured timeout.
func (o *serverOptions) withClient(fn func(ctx context.Context, c *client.Client) error) error {
	c, ctx, cancel, err := o.newClient()
	if err != nil {
		return err
	}
	defer cancel()
	return fn(ctx, c)
}

// printJSON writes the JSON document data to w with indentation.
func printJSON(w io.Writer, data []byte) error {
	var buf bytes.Buffer
	if err := json.Indent(&buf, data, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, strings.TrimSpace(buf.String()))
	return err
}
