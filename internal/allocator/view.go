package allocator

import (
	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/pacer"
)

// Worker describes a worker to the allocator. Place updates Free,
// SpareMilliCPU, RunCount, RecentCount, IsIsolated, Services and
// ServicesByImage as it assigns tasks.
type Worker struct {
	// Incarnation identifies the worker process.
	Incarnation carobrock.WorkerIncarnation
	// Pool, AvailabilityZone, Rack and Labels are the worker's pool, location and
	// labels.
	Pool             string
	AvailabilityZone string
	Rack             string
	Labels           []string
	// Capacity is the total amount that can be committed, Free the part that is not
	// committed.
	Capacity carobrock.Capacity
	Free     carobrock.Capacity
	// SpareMilliCPU is the CPU capacity, in thousandths of a core, that non-filler
	// tasks are expected to leave idle, less the requests of fillers. It may be
	// negative.
	SpareMilliCPU int64
	// HasPendingResponse is set while the response to a heartbeat of the worker is
	// delayed until there are orders, so that a start order is sent at once.
	HasPendingResponse bool
	// FailureRate is the recent fraction of runs that failed or stalled on the
	// worker, from 0 to 1.
	FailureRate float64
	// RunCount counts the runs on the worker, RecentCount those of them that
	// were started so recently that they may still crash it.
	RunCount    int
	RecentCount int
	// IsIsolated is set while the worker runs an isolated task. It gets no other
	// tasks.
	IsIsolated bool
	// Services are the service tasks on the worker that have a tail latency target.
	Services []pacer.Service
	// ServicesByImage counts the service tasks on the worker by image.
	ServicesByImage map[string]int
}

// Request asks for workers for the waiting tasks of one step.
type Request struct {
	// Job, Occurrence and StepNumber identify the step. Indices are the waiting
	// tasks of the step, Attempts the attempt number for each of them.
	Job        string
	Occurrence int
	StepNumber int
	Indices    []int
	Attempts   []uint64
	// Step is the description of the step.
	Step *carobrock.Step
	// Pool is the pool whose workers may run the step.
	Pool string
	// RunsPerWorker counts the active runs of the step by worker incarnation,
	// including those that Place assigns. It is nil unless the step limits them.
	RunsPerWorker map[carobrock.WorkerIncarnation]int
	// Avoid holds the workers that must not get a task of the step.
	Avoid map[carobrock.WorkerIncarnation]bool
	// MinPaceFraction is the fraction of its full speed, 0 to 1, at which a filler
	// must be able to run beside the services of a worker. Otherwise the filler
	// waits.
	MinPaceFraction float64
	// Tickets holds the admission tickets by worker incarnation. It is used only if
	// NeedsTicket is set.
	Tickets map[carobrock.WorkerIncarnation]string
	// NeedsTicket is set if only workers with a ticket may run the step.
	NeedsTicket bool
	// Room is what the client account of the job may still start. It is shared by the
	// requests of the account, and nil if the account has no limit.
	Room *Room
	// HeldCount is set by Place to the number of tasks that it did not place because
	// they exceed Room.
	HeldCount int
	// PlacedCount is set by Place to the number of tasks that it assigned.
	PlacedCount int
	// WaitReason is set by Place to the reason why tasks of the request were not placed.
	// It has no meaning if all of them were.
	WaitReason WaitReason
	// IsSuspect is set if the tasks are suspected of crashing workers. They get the
	// workers with the fewest runs.
	IsSuspect bool
	// IsAged is set if the tasks come before others because their job has waited long.
	IsAged bool
	// Reserved is a worker that gets no tasks of the requests after this one if no task of
	// this one can be placed. It is nil if there is none.
	Reserved *Worker
	// IsIsolated is set if the tasks must get a worker without recent runs, to which
	// no other task may be assigned afterwards. Unless the step is a gang, the request
	// has one task.
	IsIsolated bool
}

// Room is the remaining part of a client account's limit. Place updates it.
type Room struct {
	// Size is the sum of the sizes that may still be assigned. Fillers count with
	// their full size.
	Size carobrock.Capacity
}

// Holds reports whether n tasks of a size fit.
func (r *Room) Holds(size carobrock.Capacity, n int) bool {
	return holds(r.Size.MilliCPU, size.MilliCPU, n) && holds(r.Size.MemoryMB, size.MemoryMB, n) && holds(r.Size.Accelerators, size.Accelerators, n)
}

// holds divides, as the product of a size and a number of tasks may exceed 64 bits.
func holds(room, size int64, n int) bool { return room >= 0 && (size == 0 || int64(n) <= room/size) }

// minCount returns the smallest number of tasks of r that can be assigned.
func (r *Request) minCount() int {
	if r.Step.Gang || r.IsIsolated {
		return len(r.Indices)
	}
	return 1
}

// hasRoomFor reports whether the account's limit admits n tasks of r.
func (r *Request) hasRoomFor(n int) bool { return r.Room == nil || r.Room.Holds(r.Step.Size, n) }

func (r *Request) taskRef(i int) carobrock.TaskRef {
	return carobrock.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.StepNumber, Index: r.Indices[i]}
}
