package carobrock

import "context"

// Advisor is an external policy that decides which workers may run a step. It
// is consulted for the tasks of queues that have an AdvisorPolicy.
type Advisor interface {
	// Advise returns an admission ticket for each worker that may run the step,
	// keyed by worker name. It ignores step.Index. Calls with equal arguments
	// select the same workers; only the issue time of the tickets differs.
	Advise(ctx context.Context, step TaskRef, workers []string) (map[string]string, error)
}
