package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/parser"
	"github.com/carobrock/carobrock/pkg/client"
)

type taskCommand struct {
	Submit taskSubmitCommand `command:"submit" description:"submit a task"`
	Get    taskGetCommand    `command:"get" description:"show a task"`
	Cancel taskCancelCommand `command:"cancel" description:"cancel tasks"`
}

type taskSubmitCommand struct {
	serverOptions
	File         string `short:"f" long:"file" description:"task file, YAML or JSON, used instead of the other task options"`
	ID           string `long:"id" description:"ID of the task"`
	Pool         string `long:"pool" description:"pool in which the task runs"`
	Kind         string `long:"kind" description:"kind of task"`
	Team         string `long:"team" description:"team to which the task is charged"`
	MilliCPU     int64  `long:"milliCPU" default:"1000" description:"CPU request in thousandths of a core"`
	MemoryMB     int64  `long:"memoryMB" default:"512" description:"memory request in MB"`
	Accelerators int64  `long:"accelerators" description:"number of accelerators"`
	RunMillis    int64  `long:"runMillis" description:"expected run time in milliseconds"`
	Priority     int    `long:"priority" description:"priority; higher values run first, and 100 or more marks urgent work"`
	Wait         bool   `long:"wait" description:"wait until the task ends"`
}

// Execute implements flags.Commander.
func (c *taskSubmitCommand) Execute([]string) error {
	spec, err := c.taskSpec()
	if err != nil {
		return err
	}
	return c.withClient(func(ctx context.Context, cl *client.Client) error {
		if err := cl.SubmitTask(ctx, spec); err != nil {
			return err
		}
		fmt.Printf("%s: submitted\n", spec.ID)
		if c.Wait {
			return waitTask(ctx, cl, spec.ID)
		}
		return nil
	})
}

// taskSpec returns the task from the task file or, without one, from the
// options. It fails with errUsage or a parser.FileError if the task is invalid.
func (c *taskSubmitCommand) taskSpec() (*carobrock.TaskSpec, error) {
	if c.File != "" {
		return parser.ReadTask(c.File)
	}
	spec := &carobrock.TaskSpec{
		ID: c.ID, Pool: c.Pool, Kind: c.Kind, Team: c.Team, RunMillis: c.RunMillis, Priority: c.Priority,
		Size: carobrock.Capacity{MilliCPU: c.MilliCPU, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators},
	}
	if err := carobrock.CheckTask(spec); err != nil {
		return nil, usageError(err.Error())
	}
	return spec, nil
}

// waitTask polls the task until it succeeds. It returns an error if the task
// ends in another state or ctx ends first.
func waitTask(ctx context.Context, cl *client.Client, id string) error {
	for {
		data, err := cl.Task(ctx, id)
		if err != nil {
			return err
		}
		t := &carobrock.Task{}
		if err := json.Unmarshal(data, t); err != nil {
			return err
		}
		if t.State == carobrock.TaskSucceeded {
			fmt.Printf("%s: succeeded on attempt %d\n", id, t.Attempt)
			return nil
		}
		if t.IsFinal() {
			return fmt.Errorf("%s: %s: %s", id, t.State, t.Reason)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: still %s", id, t.State)
		case <-time.After(pollInterval):
		}
	}
}

type taskGetCommand struct {
	serverOptions
	Args struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *taskGetCommand) Execute([]string) error {
	return c.withClient(func(ctx context.Context, cl *client.Client) error {
		data, err := cl.Task(ctx, c.Args.ID)
		if err != nil {
			return err
		}
		return printJSON(os.Stdout, data)
	})
}

type taskCancelCommand struct {
	serverOptions
	Args struct {
		IDs []string `positional-arg-name:"ID" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *taskCancelCommand) Execute([]string) error {
	return c.withClient(func(ctx context.Context, cl *client.Client) error {
		rejected, err := cl.CancelTasks(ctx, client.NewChangeID(), c.Args.IDs)
		if err != nil {
			return err
		}
		for _, r := range rejected {
			fmt.Printf("%s: not cancelled: %s\n", r.ID, r.Text)
		}
		fmt.Printf("%d of %d accepted\n", len(c.Args.IDs)-len(rejected), len(c.Args.IDs))
		return nil
	})
}
