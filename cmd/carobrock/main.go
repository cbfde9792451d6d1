// Command carobrock runs each kind of carobrock process (control replica,
// gateway and emulated worker), and contains the load generator and the
// operators' command-line tool.
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

// version is the program's version. Release builds set it.
var version = "dev"

// Exit statuses of the program.
const (
	exitFailure         = 1 // the command failed
	exitInvalidSettings = 2 // the command line, a file or a setting is invalid; nothing was changed
)

// rootOptions are the options and the commands of the program.
type rootOptions struct {
	Version func() `long:"version" description:"print the version and exit"`

	Control controlCommand `command:"control" description:"run a replica of the control group"`
	Gateway gatewayCommand `command:"gateway" description:"run a gateway between callers and upstreams"`
	Worker  workerCommand  `command:"worker" description:"run an emulated worker"`
	Local   localCommand   `command:"local" description:"run a small but complete system in one process"`
	Node    nodeCommand    `command:"node" description:"run a gateway, a replica or both on the users' platform"`
	Apply   applyCommand   `command:"apply" description:"apply table files"`
	Get     getCommand     `command:"get" description:"show routes, pools, zones, upstreams, tasks, gateways or grants"`
	Zone    zoneCommand    `command:"zone" description:"take an availability zone out of service or bring it back"`
	Task    taskCommand    `command:"task" description:"submit, show or cancel tasks"`
	Replica replicaCommand `command:"replica" description:"list or replace replicas of the control group"`
	Status  statusCommand  `command:"status" description:"show an overview of the system"`
	Dump    dumpCommand    `command:"dump" description:"show the state of one process"`
	Load    loadCommand    `command:"load" description:"generate open-loop load and print latency percentiles"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes the command line args and returns the exit status.
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
		return exitFailure
	}
	_, err := p.ParseArgs(args)
	return reportError(err)
}

// reportError prints err on one line of standard error and returns the exit
// status for it. A request for help is printed to standard output and succeeds.
func reportError(err error) int {
	if err == nil {
		return 0
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Println(flagErr.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, "carobrock:", singleLineText(err))
	if flagErr != nil || isSettingsError(err) {
		return exitInvalidSettings
	}
	return exitFailure
}

// settingsErrors are the sentinel errors of invalid input, which is rejected
// before the command changes anything.
var settingsErrors = []error{launcher.ErrSettings, logger.ErrSettings, parser.ErrInvalidFile, platform.ErrSettings, errUsage}

// isSettingsError reports whether err wraps one of settingsErrors.
func isSettingsError(err error) bool {
	for _, kind := range settingsErrors {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}
