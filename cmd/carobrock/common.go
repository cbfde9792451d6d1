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

// errUsage: the command line is wrong.
var errUsage = eris.New("usage")

func usage(text string) error { return eris.Wrap(errUsage, text) }

// oneLine returns the error's text on one line, without the names of the errors
// that only classify it.
func oneLine(err error) string {
	text := strings.ReplaceAll(err.Error(), "\n", "; ")
	for _, kind := range settingsErrors {
		text = strings.TrimSuffix(text, ": "+kind.Error())
	}
	return text
}

// processOptions are the options of the commands that run a process.
type processOptions struct {
	logger.Settings
	Check bool `long:"check" description:"check the settings and exit"`
}

func (o *processOptions) newLogger() (zerolog.Logger, error) {
	return logger.New(&o.Settings, os.Stderr)
}

// checked ends a command with --check.
func checked() error {
	fmt.Println("the settings are valid")
	return nil
}

// untilSignal returns a context that ends with the first SIGTERM or SIGINT, and
// a channel that is closed with the second.
func untilSignal() (ctx context.Context, cut <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	second := make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	group := newGroup()
	group.Go(func() {
		defer close(second)
		if _, ok := <-signals; !ok {
			return
		}
		cancel()
		<-signals
	})
	return ctx, second, func() {
		signal.Stop(signals)
		close(signals)
		group.Wait()
		cancel()
	}
}

// serverOptions say which processes an operator's command asks.
type serverOptions struct {
	Server    []string      `long:"server" env:"CAROBROCK_SERVER" env-delim:"," default:"127.0.0.1:7300" description:"operations IP:PORT of gateways or replicas, tried in turn"`
	TokenFile string        `long:"tokenFile" env:"CAROBROCK_TOKEN_FILE" description:"file with the operators' bearer token"`
	Timeout   time.Duration `long:"timeout" env:"CAROBROCK_TIMEOUT" default:"10s" description:"time until the command gives up"`
}

func (o *serverOptions) client() (*client.Client, context.Context, context.CancelFunc, error) {
	c := &client.Client{Addresses: o.Server}
	if o.TokenFile != "" {
		data, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return nil, nil, nil, usage(err.Error())
		}
		c.Token = strings.TrimSpace(string(data))
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	return c, ctx, cancel, nil
}

// with calls fn with a client.
func (o *serverOptions) with(fn func(ctx context.Context, c *client.Client) error) error {
	c, ctx, cancel, err := o.client()
	if err != nil {
		return err
	}
	defer cancel()
	return fn(ctx, c)
}

// printJSON prints a JSON document, indented.
func printJSON(w io.Writer, data []byte) error {
	var buf bytes.Buffer
	if err := json.Indent(&buf, data, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, strings.TrimSpace(buf.String()))
	return err
}
