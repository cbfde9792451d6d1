package main

import (
	"context"
	"fmt"
	"os"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/carobrock/carobrock/internal/launcher"
)

// newGroup returns a group that propagates the panics of its goroutines.
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
		return printSettingsValid()
	}
	log, err := c.newLogger()
	if err != nil {
		return err
	}
	control, err := launcher.NewControl(&c.ControlSettings, version, log)
	if err != nil {
		return err
	}
	ctx, secondSignal, stop := notifySignals()
	defer stop()
	exitOnSecondSignal(ctx, secondSignal)
	return control.Run(ctx)
}

// exitOnSecondSignal exits the process with exitFailure when secondSignal is
// closed, without waiting for a graceful stop.
func exitOnSecondSignal(_ context.Context, secondSignal <-chan struct{}) {
	newGroup().Go(func() {
		<-secondSignal
		os.Exit(exitFailure)
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
		return printSettingsValid()
	}
	log, err := c.newLogger()
	if err != nil {
		return err
	}
	gateway, err := launcher.NewGateway(&c.GatewaySettings, version, log)
	if err != nil {
		return err
	}
	ctx, secondSignal, stop := notifySignals()
	defer stop()
	return gateway.Run(ctx, secondSignal)
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
		return printSettingsValid()
	}
	log, err := c.newLogger()
	if err != nil {
		return err
	}
	w, err := launcher.NewWorker(&c.WorkerSettings, log)
	if err != nil {
		return err
	}
	ctx, secondSignal, stop := notifySignals()
	defer stop()
	exitOnSecondSignal(ctx, secondSignal)
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
		return printSettingsValid()
	}
	ctx, secondSignal, stop := notifySignals()
	defer stop()
	group := pool.New().WithErrors()
	group.Go(func() error { return local.Run(ctx, secondSignal) })
	if err := local.ApplyDefaultTables(ctx); err != nil {
		return err
	}
	fmt.Print(local.Hints())
	return group.Wait()
}
