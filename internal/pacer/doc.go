// Package pacer learns how much filling work slows the services beside it, and
// sets the pace at which filling work goes on.
//
// The tail latency of a service task is taken to grow exponentially with the
// processor share of each kind of filler on the same VM, with a factor for each
// pair of images: Paragon and Bubble-Up (Delimitrou and Kozyrakis 2013, Mars et
// al. 2011) found that such sensitivities differ widely from pair to pair and
// carry over from one VM to another. The factors are estimated by recursive
// least squares (Plackett 1950) from the tails that workers report.
package pacer
