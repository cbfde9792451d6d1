// Package allocator decides which worker runs a task. Its functions use only
// their arguments: the workers, the waiting tasks and a model of interference.
//
// Tasks that reserve CPU go to the workers with the most unreserved CPU. This
// spreads load as the worst-fit rule does (Johnson, "Near-optimal bin packing
// algorithms", 1973). Fillers, which reserve none, go to the workers where the
// other tasks are expected to leave the most CPU idle.
package allocator
