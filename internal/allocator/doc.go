// Package allocator decides which worker runs a task. Its functions use only
// their arguments: the workers, the waiting tasks and a model of interference.
//
// Tasks that reserve processor time go to the workers with the most unreserved
// processor time. This spreads load as the worst-fit rule does (Johnson,
// "Near-optimal bin packing algorithms", 1973). Fillers, which reserve none, go
// to the workers where the other tasks are expected to leave the most processor
// time idle.
package allocator
