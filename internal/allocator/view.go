package allocator

import (
	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/pacer"
)

// Worker is a worker as an Allocator sees it. Place updates the amounts as it
// assigns tasks.
type Worker struct {
	// Life names the worker.
	Life carobrock.WorkerLife
	// Pool, AvailabilityZone, Rack and Labels tell where it is.
	Pool             string
	AvailabilityZone string
	Rack             string
	Labels           []string
	// Capacity is all that may be committed, Free what is not.
	Capacity carobrock.Capacity
	Free     carobrock.Capacity
	// SpareMilliCPU is how much processor time the tasks that are not fillers
	// are expected to leave, less what fillers ask for. It may be negative.
	SpareMilliCPU int64
	// IsWaiting is set while a heartbeat of the worker waits for orders, so that
	// a start leaves at once.
	IsWaiting bool
	// Distrust is 0 for a sound worker and rises to 1 for one on which
	// everything fails or stands still.
	Distrust float64
	// Services are the service tasks on the worker that have a latency target.
	Services []pacer.Service
	// Images counts the service tasks on the worker by image.
	Images map[string]int
}

// Request asks for workers for waiting tasks of one step.
type Request struct {
	// Job, Occurrence and Step name the step; Indices are its waiting tasks with
	// the attempts that they get.
	Job        string
	Occurrence int
	StepNumber int
	Indices    []int
	Attempts   []uint64
	// Step is the step.
	Step *carobrock.Step
	// Pool names the pool whose workers may run it.
	Pool string
	// OnWorker counts the step's tasks that already run on each worker; it is
	// nil unless the step bounds them.
	OnWorker map[carobrock.WorkerLife]int
	// Avoid names workers that should not get a task of the step again.
	Avoid map[carobrock.WorkerLife]bool
	// MinPace is the share of its full pace, 0 to 1, at which a filler must be able
	// to work beside the services; else it waits.
	MinPace float64
	// Tickets holds the worker's tickets if only some workers may run the step.
	Tickets map[string]string
	// NeedsTicket is set if only workers in Tickets may run the step.
	NeedsTicket bool
}

func (r *Request) ref(i int) carobrock.TaskRef {
	return carobrock.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.StepNumber, Index: r.Indices[i]}
}
