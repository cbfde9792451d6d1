// Package ranker decides in which order waiting tasks are placed.
//
// Services come first. Other tasks are ordered by the priority of their queue, then
// by whether their job can still finish on time, is late, or is so late that
// finishing it has no value. Under overload this order finishes as many jobs as
// possible on time: jobs that have started are completed before others are begun,
// and of those that have not started the youngest come first.
package ranker
