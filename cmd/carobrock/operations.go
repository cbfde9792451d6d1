package main

import (
	"context"
	"expvar"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/dumper"
	"github.com/carobrock/carobrock/internal/launcher"
	"github.com/carobrock/carobrock/internal/limiter"
	"github.com/carobrock/carobrock/internal/locator"
)

// accountsTimeout bounds the call to the leader for the client accounts. A dump is
// most useful while there is no leader, and must not wait for one.
const accountsTimeout = time.Second

const (
	// maxOperationsConns and maxOperationsRequests bound the memory for dumps and
	// profiles, which are encoded as a whole. There are few operators.
	maxOperationsConns    = 16
	maxOperationsRequests = 2
	// maxProfileSeconds is the longest duration of a profile.
	maxProfileSeconds = 30
)

// boundedProfiles refuses execution traces, whose buffers grow without a bound if they
// are read slowly, and profiles longer than maxProfileSeconds.
func boundedProfiles(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seconds, _ := strconv.ParseFloat(r.URL.Query().Get("seconds"), 64) // profiles ignore it as well if it is invalid
		if strings.HasSuffix(r.URL.Path, "/trace") || !(seconds <= maxProfileSeconds) {
			http.Error(w, "traces and profiles of more than "+strconv.Itoa(maxProfileSeconds)+" s are not served", http.StatusForbidden)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// nodeDump is the node's own section of the dump.
type nodeDump struct {
	Node             string `json:"node"`
	AvailabilityZone string `json:"availabilityZone"`
	Gateway          bool   `json:"gateway"`
	Replica          bool   `json:"replica"`
	Relay            bool   `json:"relay"`
}

// openOperations opens the operations listener, if one is configured. A node serves
// without it if the address is not available.
func (n *node) openOperations(control carobrock.JobControl, limits limiter.Limits) {
	if n.settings.OperationsAddress == "" {
		return
	}
	limits.MaxConns, limits.MaxConnsPerSource, limits.MaxRequests = maxOperationsConns, maxOperationsConns, maxOperationsRequests
	router := httprouter.New()
	(&dumper.Dumper{Process: "node", Version: version, Started: time.Now(), Sections: n.dumpSections(control)}).RegisterRoutes(router)
	e := &launcher.Endpoint{Name: "operations", Address: n.settings.OperationsAddress, Handler: boundedProfiles(router), Limits: limits, Logger: n.log}
	if err := e.Open(); err != nil {
		n.log.Error().Err(err).Msg("node: no operations listener")
		return
	}
	n.endpoints = append(n.endpoints, e)
}

// dumpSections returns the sections of the dump and publishes those that are metrics.
func (n *node) dumpSections(control carobrock.JobControl) []dumper.Section {
	accounts := func() any { return accountStates(control) }
	publishMetric("accounts", accounts)
	leaderCalls := func() any { return n.leaderCalls() }
	publishMetric("leaderCalls", leaderCalls)
	intake := func() any { return n.intakeCounts() }
	publishMetric("intake", intake)
	sections := []dumper.Section{
		{Name: "node", State: func() any {
			return nodeDump{
				Node: n.settings.Node, AvailabilityZone: n.settings.AvailabilityZone,
				Gateway: n.submitter != nil, Replica: n.replica != nil, Relay: n.relay != nil,
			}
		}},
		{Name: "leaderCalls", State: leaderCalls},
		{Name: "accounts", State: accounts},
		{Name: "intake", State: intake},
	}
	if n.replica != nil {
		waits := func() any { return n.replica.Waits() }
		publishMetric("waits", waits)
		refusedStarts := func() any { return n.replica.RefusedStarts() }
		publishMetric("refusedStarts", refusedStarts)
		sections = append(sections, dumper.Section{Name: "waits", State: waits}, dumper.Section{Name: "refusedStarts", State: refusedStarts})
	}
	if n.submitter == nil {
		return sections
	}
	refusedCalls := func() any { return n.submitter.RefusedCalls() }
	publishMetric("refusedCalls", refusedCalls)
	configuration := func() any { return n.submitter.Status() }
	publishMetric("configuration", configuration)
	return append(sections,
		dumper.Section{Name: "configuration", State: configuration},
		dumper.Section{Name: "refusedCalls", State: refusedCalls},
	)
}

// intakeCounts returns what the listeners hold and have refused, by their names.
func (n *node) intakeCounts() map[string]any {
	out := map[string]any{}
	for _, e := range n.endpoints {
		out[e.Name] = e.IntakeCounts()
	}
	switch {
	case n.replica != nil:
		out["peers"] = n.replica.IntakeCounts()
	case n.relay != nil:
		out["peers"] = n.relay.IntakeCounts()
	}
	return out
}

// leaderCalls returns the counters of the calls to the leader.
func (n *node) leaderCalls() locator.Counts {
	if n.replica != nil {
		return n.replica.LeaderCalls()
	}
	return n.relay.LeaderCalls()
}

// accountStates returns the status of the client accounts, or the error of the call to
// the leader in the field error.
func accountStates(control carobrock.JobControl) any {
	ctx, cancel := context.WithTimeout(context.Background(), accountsTimeout)
	defer cancel()
	out, err := control.Accounts(ctx)
	if err != nil {
		return map[string]string{"error": err.Error()}
	}
	return out
}

// publishMetric publishes a metric. If the process has already published that name, it
// does nothing.
func publishMetric(name string, value func() any) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(value))
	}
}
