package main

import (
	"context"
	"fmt"
	"os"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock/internal/launcher"
)

func newGroup() *conc.WaitGroup { return conc.NewWaitGroup() }

type controlCommand struct {
	processOptions
	launcher.ControlSettings
}

// Execute implements flags.Commander.
func (c *controlCommand) Execute([]string) error {
	if c.processOptions.Check {
		if err := c.ControlSettings.Check(); err != nil {
			return err
		}
		return checked()
	}
	log, err := c.newLogger()
	if err != nil {
		return err
	}
	control, err := launcher.NewControl(&c.ControlSettings, version, log)
	if err != nil {
		return err
	}
	ctx, cut, stop := untilSignal()
	defer stop()
	exitOnCut(ctx, cut)
	return control.Run(ctx)
}

// exitOnCut ends the process with the second signal.
func exitOnCut(_ context.Context, cut <-chan struct{}) {
	newGroup().Go(func() {
		<-cut
		os.Exit(exitFailed)
	})
}

type gatewayCommand struct {
	processOptions
	launcher.GatewaySettings
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	if c.processOptions.Check {
		if err := c.GatewaySettings.Check(); err != nil {
			return err
		}
		return checked()
	}
	log, err := c.newLogger()
	if err != nil {
		return err
	}
	gateway, err := launcher.NewGateway(&c.GatewaySettings, version, log)
	if err != nil {
		return err
	}
	ctx, cut, stop := untilSignal()
	defer stop()
	return gateway.Run(ctx, cut)
}

type workerCommand struct {
	processOptions
	launcher.WorkerSettings
}

// Execute implements flags.Commander.
func (c *workerCommand) Execute([]string) error {
	if c.processOptions.Check {
		if err := c.WorkerSettings.Check(); err != nil {
			return err
		}
		return checked()
	}
	log, err := c.newLogger()
	if err != nil {
		return err
	}
	w, err := launcher.NewWorker(&c.WorkerSettings, log)
	if err != nil {
		return err
	}
	ctx, cut, stop := untilSignal()
	defer stop()
	exitOnCut(ctx, cut)
	return launcher.RunWorker(ctx, w, log)
}

type localCommand struct {
	processOptions
	launcher.LocalSettings
}

// Execute implements flags.Commander.
func (c *localCommand) Execute([]string) error {
	log, err := c.newLogger()
	if err != nil {
		return err
	}
	local, err := launcher.NewLocal(&c.LocalSettings, version, log)
	if err != nil {
		return err
	}
	if c.processOptions.Check {
		return checked()
	}
	ctx, cut, stop := untilSignal()
	defer stop()
	parts := pool.New().WithErrors()
	parts.Go(func() error { return local.Run(ctx, cut) })
	if err := local.Apply(ctx); err != nil {
		return err
	}
	fmt.Print(local.Hints())
	return parts.Wait()
}
