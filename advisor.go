package carobrock

import "context"

// Advisor decides which workers may run a step, where a queue's policy asks for
// it.
type Advisor interface {
	// Advise returns a ticket for each of the workers that may run a step of an
	// occurrence; the index of step is not used. The answer to one question does
	// not change but for the tickets' time.
	Advise(ctx context.Context, step TaskRef, workers []string) (map[string]string, error)
}
