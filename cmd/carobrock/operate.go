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

type applyCommand struct {
	serverOptions
	File     []string `short:"f" long:"file" required:"true" description:"table file, YAML or JSON (may be repeated)"`
	ChangeID string   `long:"changeId" description:"identifies the change, so that a repetition has no second effect"`
	Base     int64    `long:"base" default:"-1" description:"version that the change is based on (default: the current one)"`
	Wait     bool     `long:"wait" description:"wait until every live gateway has the change in force"`
	Check    bool     `long:"check" description:"check the files and exit"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	tables, err := parser.Tables(c.File)
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
	return c.with(func(ctx context.Context, cl *client.Client) error {
		return c.apply(ctx, cl, tables)
	})
}

// apply puts pools in force before the routes that use them.
func (c *applyCommand) apply(ctx context.Context, cl *client.Client, tables *carobrock.TablesFile) error {
	var last uint64
	if tables.Pools != nil {
		base, err := c.base(ctx, cl, carobrock.TablePools)
		if err != nil {
			return err
		}
		res, err := cl.PutPools(ctx, c.ChangeID+"-pools", base, tables.Pools)
		if err != nil {
			return err
		}
		fmt.Printf("pools: version %d\n", res.Version)
		last = res.Index
	}
	if tables.Routes != nil {
		base, err := c.base(ctx, cl, carobrock.TableRoutes)
		if err != nil {
			return err
		}
		res, err := cl.PutRoutes(ctx, c.ChangeID+"-routes", base, tables.Routes)
		if err != nil {
			return err
		}
		fmt.Printf("routes: version %d\n", res.Version)
		last = res.Index
	}
	if c.Wait {
		return waitInForce(ctx, cl, last)
	}
	return nil
}

func (c *applyCommand) base(ctx context.Context, cl *client.Client, table carobrock.Table) (uint64, error) {
	if c.Base >= 0 {
		return uint64(c.Base), nil
	}
	return cl.Version(ctx, table)
}

// gatewayRow is what the command reads of a gateway.
type gatewayRow struct {
	Gateway string `json:"gateway"`
	InForce uint64 `json:"inForce"`
	Live    bool   `json:"live"`
}

const waitPoll = 50 * time.Millisecond

// waitInForce returns when every live gateway serves index, or says who does
// not.
func waitInForce(ctx context.Context, cl *client.Client, index uint64) error {
	for {
		behind, n, err := gatewaysBehind(ctx, cl, index)
		if err != nil {
			return err
		}
		if len(behind) == 0 {
			fmt.Printf("in force on %d gateways\n", n)
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("accepted, but not yet in force on %v", behind)
		case <-time.After(waitPoll):
		}
	}
}

func gatewaysBehind(ctx context.Context, cl *client.Client, index uint64) (behind []string, n int, err error) {
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
			behind = append(behind, g.Gateway)
		}
	}
	return behind, n, nil
}

type getCommand struct {
	serverOptions
	Args struct {
		What string `positional-arg-name:"WHAT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	switch c.Args.What {
	case "routes", "pools", "zones", "upstreams", "tasks", "gateways", "grants":
	default:
		return usage("get shows routes, pools, zones, upstreams, tasks, gateways or grants, not " + c.Args.What)
	}
	return c.show(c.Args.What)
}

func (o *serverOptions) show(what string) error {
	return o.with(func(ctx context.Context, cl *client.Client) error {
		data, err := cl.Get(ctx, what)
		if err != nil {
			return err
		}
		return printJSON(os.Stdout, data)
	})
}

type zoneCommand struct {
	Out zoneOutCommand `command:"out" description:"take an availability zone out of service"`
	In  zoneInCommand  `command:"in" description:"bring an availability zone back into service"`
}

type zoneArgs struct {
	serverOptions
	ChangeID string `long:"changeId" description:"identifies the change, so that a repetition has no second effect"`
	Wait     bool   `long:"wait" description:"wait until every live gateway has the change in force"`
	Args     struct {
		Zone string `positional-arg-name:"AZ" required:"true"`
	} `positional-args:"true"`
}

func (a *zoneArgs) set(outOfService bool) error {
	if a.ChangeID == "" {
		a.ChangeID = client.NewChangeID()
	}
	return a.with(func(ctx context.Context, cl *client.Client) error {
		res, err := cl.SetZone(ctx, a.ChangeID, a.Args.Zone, outOfService)
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
func (c *zoneOutCommand) Execute([]string) error { return c.set(true) }

type zoneInCommand struct{ zoneArgs }

// Execute implements flags.Commander.
func (c *zoneInCommand) Execute([]string) error { return c.set(false) }

type statusCommand struct{ serverOptions }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error { return c.show("status") }

type replicaCommand struct {
	List    replicaListCommand    `command:"list" description:"show the members of the control group"`
	Replace replicaReplaceCommand `command:"replace" description:"swap a lost member for a new replica of the same name"`
}

type replicaListCommand struct{ serverOptions }

// Execute implements flags.Commander.
func (c *replicaListCommand) Execute([]string) error { return c.show("replicas") }

type replicaReplaceCommand struct {
	serverOptions
	Args struct {
		Name    string `positional-arg-name:"NAME" required:"true"`
		Address string `positional-arg-name:"IP:PORT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *replicaReplaceCommand) Execute([]string) error {
	return c.with(func(ctx context.Context, cl *client.Client) error {
		if err := cl.ReplaceReplica(ctx, c.Args.Name, c.Args.Address); err != nil {
			return err
		}
		fmt.Printf("%s: replaced, holds everything committed\n", c.Args.Name)
		return nil
	})
}

type dumpCommand struct {
	Timeout time.Duration `long:"timeout" env:"CAROBROCK_TIMEOUT" default:"10s" description:"time until the command gives up"`
	Args    struct {
		Address string `positional-arg-name:"IP:PORT" required:"true" description:"operations address of the process"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	o := serverOptions{Server: []string{c.Args.Address}, Timeout: c.Timeout}
	return o.with(func(ctx context.Context, cl *client.Client) error {
		data, err := cl.Dump(ctx)
		if err != nil {
			return err
		}
		return printJSON(os.Stdout, data)
	})
}
