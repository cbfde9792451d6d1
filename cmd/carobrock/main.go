// Command carobrock is the one program of carobrock: control replica, gateway,
// emulated worker, load generator and operators' tool.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/carobrock/carobrock/internal/launcher"
	"github.com/carobrock/carobrock/internal/logger"
	"github.com/carobrock/carobrock/internal/parser"
	"github.com/carobrock/carobrock/platform"
)

// version is set when a release is built.
var version = "dev"

// Exit statuses.
const (
	exitFailed   = 1 // the command failed
	exitSettings = 2 // the command line, a file or a setting is wrong; nothing was done
)

// rootOptions are the options of the program itself.
type rootOptions struct {
	Version func() `long:"version" description:"print the version and exit"`

	Control controlCommand `command:"control" description:"run a replica of the control group"`
	Gateway gatewayCommand `command:"gateway" description:"run a gateway between callers and upstreams"`
	Worker  workerCommand  `command:"worker" description:"run an emulated worker"`
	Local   localCommand   `command:"local" description:"run a small whole system in one process"`
	Node    nodeCommand    `command:"node" description:"run a gateway or a replica on the users' platform"`
	Apply   applyCommand   `command:"apply" description:"put table files in force"`
	Get     getCommand     `command:"get" description:"show routes, pools, zones, upstreams, tasks, gateways or grants"`
	Zone    zoneCommand    `command:"zone" description:"take an availability zone out of service or bring it back"`
	Task    taskCommand    `command:"task" description:"submit, show or cancel tasks"`
	Replica replicaCommand `command:"replica" description:"list or replace control replicas"`
	Status  statusCommand  `command:"status" description:"show an overview of the system"`
	Dump    dumpCommand    `command:"dump" description:"show the state of one process"`
	Load    loadCommand    `command:"load" description:"send open-loop load and print percentiles"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run carries the command line out and returns the exit status.
func run(args []string) int {
	opts := &rootOptions{}
	opts.Version = func() {
		fmt.Println("carobrock " + version)
		os.Exit(0)
	}
	p := flags.NewNamedParser("carobrock", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "scheduler for latency-critical services and batch tasks on the same VMs"
	if _, err := p.AddGroup("Options", "", opts); err != nil {
		fmt.Fprintln(os.Stderr, "carobrock:", err)
		return exitFailed
	}
	_, err := p.ParseArgs(args)
	return report(err)
}

// report prints an error on one line and returns the exit status for it.
func report(err error) int {
	if err == nil {
		return 0
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Println(flagErr.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, "carobrock:", oneLine(err))
	if flagErr != nil || isSettingsError(err) {
		return exitSettings
	}
	return exitFailed
}

// settingsErrors are the errors after which nothing was done.
var settingsErrors = []error{launcher.ErrSettings, logger.ErrSettings, parser.ErrFile, platform.ErrSettings, errUsage}

func isSettingsError(err error) bool {
	for _, kind := range settingsErrors {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}
