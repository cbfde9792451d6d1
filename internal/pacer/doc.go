// Package pacer learns how much fillers slow the services on the same VM and
// decides the paces of fillers. A filler is a task that reserves no CPU; its
// pace is the percentage of its full speed at which it may run.
//
// The tail latency of a service task is modeled as the response time of a
// queue, base / (1 - load) (Kleinrock 1975). The load is modeled as linear in
// the processor share that each filler image uses on the same VM. The
// coefficient for each pair of a service image and a filler image is called
// pressure. Bubble-Up and Paragon (Mars et al. 2011, Delimitrou and Kozyrakis
// 2013) found that such sensitivities vary widely between pairs and hold across
// VMs. The pressures are estimated by recursive least squares (Plackett 1950)
// from the differences between tasks of one job on different VMs, as the loads
// of these tasks differ only by the fillers beside them.
package pacer
