// Package pacer learns how much filling work slows the services beside it, and
// sets the pace at which filling work goes on.
//
// The tail latency of a service task is taken to follow its load as the
// response time of a queue does, base / (1 - load) (Kleinrock 1975), and the
// load to grow with the processor share of each kind of filler on the same VM,
// by a factor for each pair of images: Bubble-Up and Paragon (Mars et al. 2011,
// Delimitrou and Kozyrakis 2013) found that such sensitivities differ widely
// from pair to pair and carry over from one VM to another. The factors are
// estimated by recursive least squares (Plackett 1950) from the differences
// between tasks of one job on different VMs, which share the job's own load.
package pacer
