package allocator

import "github.com/carobrock/carobrock"

// maxIsolatedShare is the largest share of the workers of a pool that may be
// reserved for isolated tasks, so that many suspects do not displace other tasks.
const maxIsolatedShare = 0.5

// mayIsolate reports whether another worker of the pool may be reserved for an
// isolated task. One always may.
func mayIsolate(pool string, workers []*Worker) bool {
	total, isolated := 0, 0
	for _, w := range workers {
		if w.Pool != pool {
			continue
		}
		total++
		if w.IsIsolated {
			isolated++
		}
	}
	return isolated == 0 || float64(isolated+1) <= maxIsolatedShare*float64(total)
}

// placeIsolated assigns the tasks of an isolated request, all or none, to workers
// without recent runs and isolates these workers. Tasks of a gang may share a
// worker. If there are too few such workers, it returns no assignments but the
// workers that the tasks would fit on: without further tasks they will soon
// have no recent runs.
func (a *Allocator) placeIsolated(r *Request, workers []*Worker) (out []carobrock.TaskAssignment, awaited []*Worker) {
	if !mayIsolate(r.Pool, workers) {
		return nil, nil
	}
	var settled []*Worker
	for _, w := range workers {
		if w.RecentCount == 0 {
			settled = append(settled, w)
		}
	}
	if out = a.placeGang(r, settled); out != nil {
		setIsolated(assignedWorkers(out, workers), true)
		return out, nil
	}
	trial := a.placeGang(r, workers)
	awaited = assignedWorkers(trial, workers)
	byIncarnation := map[carobrock.WorkerIncarnation]*Worker{}
	for _, w := range awaited {
		byIncarnation[w.Incarnation] = w
	}
	for i := range trial {
		a.unassignTask(r, byIncarnation[trial[i].Incarnation])
	}
	return nil, awaited
}

func setIsolated(workers []*Worker, isIsolated bool) {
	for _, w := range workers {
		w.IsIsolated = isIsolated
	}
}

// assignedWorkers returns the workers with assignments, each once.
func assignedWorkers(assigned []carobrock.TaskAssignment, workers []*Worker) []*Worker {
	isAssigned := map[carobrock.WorkerIncarnation]bool{}
	for i := range assigned {
		isAssigned[assigned[i].Incarnation] = true
	}
	var out []*Worker
	for _, w := range workers {
		if isAssigned[w.Incarnation] {
			out = append(out, w)
		}
	}
	return out
}
