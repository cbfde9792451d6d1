package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/carobrock/carobrock/internal/loader"
)

// loadCommand generates open-loop load against gateways or services.
type loadCommand struct {
	Target      []string      `long:"target" required:"true" description:"IP:PORT that receives requests (may be repeated)"`
	Weight      []int         `long:"weight" description:"relative weight of each target, in the order of the targets"`
	Method      string        `long:"method" default:"GET" description:"request method"`
	Host        string        `long:"host" description:"Host header"`
	Path        string        `long:"path" default:"/" description:"request path"`
	BodyBytes   int           `long:"bodyBytes" description:"size of the request body in bytes"`
	Rate        float64       `long:"rate" default:"100" description:"requests per second"`
	Duration    time.Duration `long:"duration" default:"10s" description:"period during which requests are sent, at most 10m"`
	Timeout     time.Duration `long:"timeout" default:"10s" description:"time limit of a request; a request that exceeds it counts as broken"`
	MaxInFlight int           `long:"maxInFlight" default:"2000" description:"maximum number of requests in flight"`
	JSON        bool          `long:"json" description:"print the report as JSON"`
}

// maxLoadDuration is the upper limit of --duration.
const maxLoadDuration = 10 * time.Minute

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	if c.Rate <= 0 || c.Duration <= 0 || c.Duration > maxLoadDuration || c.MaxInFlight <= 0 || c.BodyBytes < 0 {
		return usageError("--rate, --duration and --maxInFlight must be above 0, --duration at most 10m")
	}
	ctx, _, stop := notifySignals()
	defer stop()
	report, err := loader.Run(ctx, &loader.Load{
		Targets: c.Target, Weights: c.Weight, Method: c.Method, Host: c.Host, Path: c.Path, BodyBytes: c.BodyBytes,
		Rate: c.Rate, Duration: c.Duration, Timeout: c.Timeout, MaxInFlight: c.MaxInFlight,
	})
	if err != nil {
		return usageError(err.Error())
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	report.WriteText(os.Stdout)
	return nil
}
