package allocator

// Weights of the score terms. A score of 1 corresponds to all processors of a
// worker.
const (
	// dataRackWeight outweighs the terms for free and spare CPU, headroom and a
	// pending response: away from its data a task takes a multiple of its run time.
	dataRackWeight = 3.0
	// pendingResponseWeight favors a worker that gets the order at once: waiting
	// for its next heartbeat would cost about a tenth of the run time of a short
	// task.
	pendingResponseWeight = 0.1
	// failureWeight exceeds all other weights: work on a failing worker is lost.
	failureWeight = 10.0
	// headroomWeight is the cost of using all of the services' headroom below their
	// limits, which other fillers could use.
	headroomWeight = 0.5
	// oversubscriptionWeight is the cost of requesting more CPU than is spare, as
	// the fillers on that worker slow down in proportion.
	oversubscriptionWeight = 4.0
	// suspectWeight exceeds all other weights, for each run that would be lost with
	// the worker. Recent runs count twice, as the crash would also be counted
	// against their tasks.
	suspectWeight = 100.0
	// sameImageWeight favors placing service tasks of the same image together, so
	// that fillers which interfere with that image affect few workers.
	sameImageWeight = 4.0
)

// scoreWorker returns how well a worker suits a task of r, without the
// interference of a filler with services. Higher is better.
func scoreWorker(r *Request, w *Worker) float64 {
	totalCPU := float64(max(1, w.Capacity.MilliCPU))
	s := -failureWeight * w.FailureRate
	if r.IsSuspect {
		s -= suspectWeight * float64(w.RunCount+w.RecentCount)
	}
	switch {
	case r.Step.Filler:
		s += 0.5 * float64(w.SpareMilliCPU) / totalCPU
		if shortage := r.Step.Size.MilliCPU - w.SpareMilliCPU; shortage > 0 {
			s -= oversubscriptionWeight * float64(shortage) / totalCPU
		}
	case r.Step.Service:
		s += 1 - float64(w.Free.MilliCPU)/totalCPU + sameImageWeight*sameImageShare(r.Step.Image, w)
	default:
		s += float64(w.Free.MilliCPU)/totalCPU + 0.5*float64(w.SpareMilliCPU)/totalCPU
	}
	if r.Step.DataRack != "" && r.Step.DataRack == w.Rack {
		s += dataRackWeight
	}
	if w.HasPendingResponse {
		s += pendingResponseWeight
	}
	return s
}

// sameImageShare returns the fraction of the worker's service tasks that run
// image, 0.5 for a worker without service tasks.
func sameImageShare(image string, w *Worker) float64 {
	total := 0
	for _, n := range w.ServicesByImage {
		total += n
	}
	if total == 0 {
		return 0.5
	}
	return float64(w.ServicesByImage[image]) / float64(total)
}
