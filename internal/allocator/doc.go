// Package allocator decides which worker runs a task. Its functions are pure:
// they look at a view of the workers and the waiting tasks and return the
// assignments.
//
// Tasks that reserve their processors go where most of them are free, which
// spreads load as worst-fit does (Johnson, "Near-optimal bin packing
// algorithms", 1973, names the rules). Fillers reserve none and go where the
// others are expected to leave most.
package allocator
