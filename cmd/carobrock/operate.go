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

// applyCommand replaces the tables that the given files contain.
type applyCommand struct {
	serverOptions
	File     []string `short:"f" long:"file" required:"true" description:"table file, YAML or JSON (may be repeated)"`
	ChangeID string   `long:"changeId" description:"ID of the change; a retry with the same ID has no further effect"`
	Base     int64    `long:"base" default:"-1" description:"table version that the change is based on (default: the current version)"`
	Wait     bool     `long:"wait" description:"wait until the change is in force on every live gateway"`
	Check    bool     `long:"check" description:"validate the files and exit"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	tables, err := parser.ReadTables(c.File)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println("the files are valid")
		return nil
	}
	if c.ChangeID == "" {
		c.ChangeID = client.NewChangeID()
	}
	return c.withClient(func(ctx context.Context, cl *client.Client) error {
		return c.applyTables(ctx, cl, tables)
	})
}

// applyTables replaces the pools before the routes that refer to them.
func (c *applyCommand) applyTables(ctx context.Context, cl *client.Client, tables *carobrock.TablesFile) error {
	var lastIndex uint64
	if tables.Pools != nil {
		base, err := c.baseVersion(ctx, cl, carobrock.TablePools)
		if err != nil {
			return err
		}
		res, err := cl.PutPools(ctx, c.ChangeID+"-pools", base, tables.Pools)
		if err != nil {
			return err
		}
		fmt.Printf("pools: version %d\n", res.Version)
		lastIndex = res.Index
	}
	if tables.Routes != nil {
		base, err := c.baseVersion(ctx, cl, carobrock.TableRoutes)
		if err != nil {
			return err
		}
		res, err := cl.PutRoutes(ctx, c.ChangeID+"-routes", base, tables.Routes)
		if err != nil {
			return err
		}
		fmt.Printf("routes: version %d\n", res.Version)
		lastIndex = res.Index
	}
	if c.Wait {
		return waitInForce(ctx, cl, lastIndex)
	}
	return nil
}

// baseVersion returns the version given by --base or, by default, the current
// version of the table.
func (c *applyCommand) baseVersion(ctx context.Context, cl *client.Client, table carobrock.Table) (uint64, error) {
	if c.Base >= 0 {
		return uint64(c.Base), nil
	}
	return cl.TableVersion(ctx, table)
}

// gatewayRow holds the fields of a listed gateway that the commands use. InForce
// is the log index of the tables that the gateway serves.
type gatewayRow struct {
	Gateway string `json:"gateway"`
	InForce uint64 `json:"inForce"`
	Live    bool   `json:"live"`
}

// pollInterval is the interval between requests while a command waits.
const pollInterval = 50 * time.Millisecond

// waitInForce returns when every live gateway has the tables of the given log
// index in force. If ctx ends first, the error names the gateways that do not.
func waitInForce(ctx context.Context, cl *client.Client, index uint64) error {
	for {
		lagging, n, err := laggingGateways(ctx, cl, index)
		if err != nil {
			return err
		}
		if len(lagging) == 0 {
			fmt.Printf("in force on %d gateways\n", n)
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("accepted, but not yet in force on %v", lagging)
		case <-time.After(pollInterval):
		}
	}
}

// laggingGateways returns the names of the live gateways on which index is not
// yet in force, and the number of live gateways.
func laggingGateways(ctx context.Context, cl *client.Client, index uint64) (lagging []string, n int, err error) {
	data, err := cl.Get(ctx, "gateways")
	if err != nil {
		return nil, 0, err
	}
	var rows []gatewayRow
	if err := json.Unmarshal(data, &rows); err != nil {
		return nil, 0, err
	}
	for _, g := range rows {
		if !g.Live {
			continue
		}
		n++
		if g.InForce < index {
			lagging = append(lagging, g.Gateway)
		}
	}
	return lagging, n, nil
}

// getCommand prints a table or another part of the system's state.
type getCommand struct {
	serverOptions
	Args struct {
		Resource string `positional-arg-name:"WHAT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	switch c.Args.Resource {
	case "routes", "pools", "zones", "upstreams", "tasks", "gateways", "grants":
	default:
		return usageError("get shows routes, pools, zones, upstreams, tasks, gateways or grants, not " + c.Args.Resource)
	}
	return c.printResource(c.Args.Resource)
}

// printResource requests a resource by name and prints it as JSON.
func (o *serverOptions) printResource(resource string) error {
	return o.withClient(func(ctx context.Context, cl *client.Client) error {
		data, err := cl.Get(ctx, resource)
		if err != nil {
			return err
		}
		return printJSON(os.Stdout, data)
	})
}

// zoneCommand changes whether an availability zone is in service.
type zoneCommand struct {
	Out zoneOutCommand `command:"out" description:"take an availability zone out of service"`
	In  zoneInCommand  `command:"in" description:"bring an availability zone back into service"`
}

// zoneArgs are the options and arguments of the zone commands.
type zoneArgs struct {
	serverOptions
	ChangeID string `long:"changeId" description:"ID of the change; a retry with the same ID has no further effect"`
	Wait     bool   `long:"wait" description:"wait until the change is in force on every live gateway"`
	Args     struct {
		Zone string `positional-arg-name:"AZ" required:"true"`
	} `positional-args:"true"`
}

// setZone takes the availability zone out of service or brings it back, and
// prints its new state.
func (a *zoneArgs) setZone(outOfService bool) error {
	if a.ChangeID == "" {
		a.ChangeID = client.NewChangeID()
	}
	return a.withClient(func(ctx context.Context, cl *client.Client) error {
		base, err := cl.ZoneVersion(ctx, a.Args.Zone)
		if err != nil {
			return err
		}
		res, err := cl.SetZoneAtVersion(ctx, a.ChangeID, a.Args.Zone, base, outOfService)
		if err != nil {
			return err
		}
		state := "in service"
		if outOfService {
			state = "out of service"
		}
		fmt.Printf("%s: %s\n", a.Args.Zone, state)
		if a.Wait {
			return waitInForce(ctx, cl, res.Index)
		}
		return nil
	})
}

type zoneOutCommand struct{ zoneArgs }

// Execute implements flags.Commander.
func (c *zoneOutCommand) Execute([]string) error { return c.setZone(true) }

type zoneInCommand struct{ zoneArgs }

// Execute implements flags.Commander.
func (c *zoneInCommand) Execute([]string) error { return c.setZone(false) }

type statusCommand struct{ serverOptions }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error { return c.printResource("status") }

type replicaCommand struct {
	List    replicaListCommand    `command:"list" description:"show the members of the control group"`
	Replace replicaReplaceCommand `command:"replace" description:"replace a lost member by a new replica of the same name"`
}

type replicaListCommand struct{ serverOptions }

// Execute implements flags.Commander.
func (c *replicaListCommand) Execute([]string) error { return c.printResource("replicas") }

type replicaReplaceCommand struct {
	serverOptions
	Args struct {
		Name    string `positional-arg-name:"NAME" required:"true"`
		Address string `positional-arg-name:"IP:PORT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *replicaReplaceCommand) Execute([]string) error {
	return c.withClient(func(ctx context.Context, cl *client.Client) error {
		if err := cl.ReplaceReplica(ctx, c.Args.Name, c.Args.Address); err != nil {
			return err
		}
		fmt.Printf("%s: replaced, holds everything committed\n", c.Args.Name)
		return nil
	})
}

type dumpCommand struct {
	Timeout time.Duration `long:"timeout" env:"CAROBROCK_TIMEOUT" default:"10s" description:"time limit of the command"`
	Args    struct {
		Address string `positional-arg-name:"IP:PORT" required:"true" description:"operations address of the process"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	o := serverOptions{Server: []string{c.Args.Address}, Timeout: c.Timeout}
	return o.withClient(func(ctx context.Context, cl *client.Client) error {
		data, err := cl.Dump(ctx)
		if err != nil {
			return err
		}
		return printJSON(os.Stdout, data)
	})
}
