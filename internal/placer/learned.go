package placer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/carobrock/carobrock"
)

// Weights are the relative costs that a placement minimizes. They are settings,
// because deployments differ in their priorities but share the code.
type Weights struct {
	// Service is the weight of the slowdown of services.
	Service float64
	// Batch is the weight of the slowdown of batch tasks: that of the placed
	// task and that of the tasks already on the VM.
	Batch float64
	// VMWithoutServices is the cost of using a VM without services for a task that
	// could run beside services: such VMs are reserved for tasks that cannot.
	VMWithoutServices float64
	// CommittedCPU is the weight of the share of the VM's CPU that is committed.
	CommittedCPU float64
	// MaxServiceSlowdown bounds the sum of the expected slowdowns of a VM's
	// services, as fractions. No task that would exceed it is placed beside them.
	MaxServiceSlowdown float64
}

// ThroughputWeights returns weights that favor batch throughput and few
// evictions.
func ThroughputWeights() Weights {
	return Weights{Service: 1, Batch: 1, VMWithoutServices: 0.2, CommittedCPU: 0.1, MaxServiceSlowdown: 0.08}
}

// LatencyWeights returns weights that favor the tail latency of services.
func LatencyWeights() Weights {
	return Weights{Service: 2, Batch: 1, VMWithoutServices: 0.2, CommittedCPU: 0.1, MaxServiceSlowdown: 0.08}
}

// ServiceKind returns the kind under which Interference records the service of
// a pool.
func ServiceKind(pool string) string { return servicePrefix + pool }

const servicePrefix = "service/"

// InterferenceAware assigns each task to the worker on which it is expected to
// cause the least slowdown, according to an Interference model.
type InterferenceAware struct {
	// Model estimates the slowdowns.
	Model *Interference
	// Weights are the costs to minimize.
	Weights Weights
	// MaxPlaced bounds the assignments of one call of Place. Zero means 64.
	MaxPlaced int
}

var _ carobrock.Placer = (*InterferenceAware)(nil)

const defaultMaxPlaced = 64

// candidate is a worker during one call of Place.
type candidate struct {
	*carobrock.PlacementWorker
	free carobrock.Capacity
	// neighbors counts what runs on the VM, services first.
	neighbors []neighbor
	// serviceSlowdown is the expected slowdown of the services, summed over
	// them.
	serviceSlowdown float64
}

// neighbor is one service, or all tasks of one kind, on a VM.
type neighbor struct {
	kind      int // index of the kind
	count     int // number of tasks; 1 for a service
	isService bool
}

// placementRound is the state of one call of Place.
type placementRound struct {
	*InterferenceAware
	view       *carobrock.PlacementView
	kinds      []string
	kindIndex  map[string]int   // index in kinds
	pairs      [][]pairEstimate // by kind index of victim and neighbor
	candidates []candidate
	// unplaceable caches why tasks of a class cannot be placed now, so that a
	// long queue of similar tasks costs one search.
	unplaceable map[taskClass]carobrock.UnplacedTask
	// trials counts, for each pair of a service kind and a task kind without a
	// reliable estimate, the VMs on which both run.
	trials map[trial]int
	out    carobrock.Placement
}

// trial is a pair of a service kind and a task kind, by index, that are placed
// together in order to measure their interference.
type trial struct{ service, task int }

// maxTrialsPerPair is the number of VMs on which a pair that is not known may
// run together at a time.
const maxTrialsPerPair = 1

// taskClass holds the attributes of a task on which its placement depends.
type taskClass struct {
	pool, kind string
	size       carobrock.Capacity
	failedOn   string
}

// Place implements carobrock.Placer.
func (a *InterferenceAware) Place(v *carobrock.PlacementView) carobrock.Placement {
	r := a.newRound(v)
	limit := a.MaxPlaced
	if limit == 0 {
		limit = defaultMaxPlaced
	}
	for _, t := range v.Queued {
		if len(r.out.Assignments) >= limit {
			break
		}
		r.placeTask(t)
	}
	return r.out
}

// newRound returns the state for placing the queued tasks of v.
func (a *InterferenceAware) newRound(v *carobrock.PlacementView) *placementRound {
	r := &placementRound{
		InterferenceAware: a, view: v, kindIndex: map[string]int{}, unplaceable: map[taskClass]carobrock.UnplacedTask{}, trials: map[trial]int{},
	}
	r.collectKinds()
	r.pairs = a.Model.pairTable(r.kinds)
	r.prepareCandidates()
	return r
}

// addKind adds a kind unless it is present, and returns its index.
func (r *placementRound) addKind(name string) int {
	i, ok := r.kindIndex[name]
	if !ok {
		i = len(r.kinds)
		r.kindIndex[name] = i
		r.kinds = append(r.kinds, name)
	}
	return i
}

// collectKinds numbers all kinds of tasks and services in the view.
func (r *placementRound) collectKinds() {
	for _, t := range r.view.Queued {
		r.addKind(t.Kind)
	}
	for i := range r.view.Workers {
		w := &r.view.Workers[i]
		for k := range w.Kinds {
			r.addKind(k)
		}
		for _, s := range w.Services {
			r.addKind(ServiceKind(s.Pool))
		}
	}
	// Sorting makes the order of kinds independent of the map iteration order.
	slices.Sort(r.kinds)
	for i, k := range r.kinds {
		r.kindIndex[k] = i
	}
}

// prepareCandidates creates a candidate for each worker in the view.
func (r *placementRound) prepareCandidates() {
	r.candidates = make([]candidate, len(r.view.Workers))
	for i := range r.view.Workers {
		w := &r.view.Workers[i]
		c := candidate{PlacementWorker: w, free: w.Free}
		c.neighbors = make([]neighbor, 0, len(w.Services)+len(w.Kinds)+1)
		for _, svc := range w.Services {
			c.neighbors = append(c.neighbors, neighbor{r.kindIndex[ServiceKind(svc.Pool)], 1, true})
		}
		for k, n := range w.Kinds {
			c.neighbors = append(c.neighbors, neighbor{r.kindIndex[k], n, false})
		}
		tasks := c.neighbors[len(w.Services):]
		slices.SortFunc(tasks, func(a, b neighbor) int { return a.kind - b.kind })
		c.serviceSlowdown = r.totalServiceSlowdown(c.neighbors[:len(w.Services)], tasks)
		r.candidates[i] = c
	}
}

// totalServiceSlowdown returns the expected slowdown of the services by the
// tasks, summed over the services, and counts the pairs that are not known as
// trials.
func (r *placementRound) totalServiceSlowdown(services, tasks []neighbor) float64 {
	sum := 0.0
	for _, victim := range services {
		row := r.pairs[victim.kind]
		for _, other := range tasks {
			if !row[other.kind].known {
				r.trials[trial{victim.kind, other.kind}]++
			}
			sum += float64(other.count) * row[other.kind].slowdown
		}
	}
	return sum
}

// placeTask assigns t to a worker or records why it waits.
func (r *placementRound) placeTask(t *carobrock.Task) {
	pool, ok := r.view.Pools[t.Pool]
	if !ok {
		r.out.Unplaced = append(r.out.Unplaced, carobrock.UnplacedTask{Task: t.ID, Reason: "the pool does not exist"})
		return
	}
	class := taskClass{t.Pool, t.Kind, t.Size, strings.Join(t.FailedOn, ",")}
	if w, ok := r.unplaceable[class]; ok {
		w.Task = t.ID
		r.out.Unplaced = append(r.out.Unplaced, w)
		return
	}
	best, unplaced := r.findWorker(t, &pool)
	if best == nil {
		r.unplaceable[class] = unplaced
		r.out.Unplaced = append(r.out.Unplaced, unplaced)
		return
	}
	r.assignTask(best, t)
	r.out.Assignments = append(r.out.Assignments, carobrock.Assignment{Task: t.ID, Worker: best.Name})
}

// findWorker returns the worker with the lowest cost, or why there is none. A
// worker on which the task has failed is used only if the pool allows no other.
func (r *placementRound) findWorker(t *carobrock.Task, pool *carobrock.Pool) (*candidate, carobrock.UnplacedTask) {
	rejected := &rejectionCounts{}
	var best, failed *candidate
	lowest, rejectedForServices := 0.0, 0
	kind := r.kindIndex[t.Kind]
	for i := range r.candidates {
		c := &r.candidates[i]
		if !pool.Allows(&c.Worker) || !rejected.checkWorkerWithFree(t, c.PlacementWorker, c.free) {
			continue
		}
		if slices.Contains(t.FailedOn, c.Name) {
			failed = c
			continue
		}
		cost, ok := r.placementCost(c, kind, t)
		if !ok {
			rejectedForServices++
			continue
		}
		if best == nil || cost < lowest {
			best, lowest = c, cost
		}
	}
	if best == nil && failed != nil && len(t.FailedOn) >= rejected.allowed {
		return failed, carobrock.UnplacedTask{}
	}
	if best == nil && rejectedForServices > 0 {
		return nil, carobrock.UnplacedTask{Task: t.ID, Reason: fmt.Sprintf(
			"on %d workers with room the task would slow a service down by more than %.0f %%, or it is not known yet by how much", rejectedForServices, 100*r.Weights.MaxServiceSlowdown)}
	}
	return best, rejected.unplacedTask(t)
}

// placementCost returns the expected cost of placing the task on c, and false
// if the task would slow down a service too much or its effect on a service is
// not known and may not be tried now.
func (r *placementRound) placementCost(c *candidate, kind int, t *carobrock.Task) (float64, bool) {
	serviceSlowdown, batchSlowdown := 0.0, 0.0
	for _, n := range c.neighbors {
		if n.isService {
			if !r.isTrialAllowed(trial{n.kind, kind}) {
				return 0, false
			}
			serviceSlowdown += r.pairs[n.kind][kind].slowdown
		} else {
			batchSlowdown += float64(n.count) * r.pairs[n.kind][kind].slowdown
		}
		batchSlowdown += float64(n.count) * r.pairs[kind][n.kind].slowdown
	}
	if serviceSlowdown > 0 && c.serviceSlowdown+serviceSlowdown > r.Weights.MaxServiceSlowdown {
		return 0, false
	}
	committedShare := 0.0
	if c.Capacity.MilliCPU > 0 {
		committedShare = 1 - float64(c.free.MilliCPU-t.Size.MilliCPU)/float64(c.Capacity.MilliCPU)
	}
	cost := r.Weights.Service*serviceSlowdown + r.Weights.Batch*batchSlowdown + r.Weights.CommittedCPU*committedShare
	if len(c.Services) == 0 && r.isHarmlessToServices(kind) {
		cost += r.Weights.VMWithoutServices
	}
	return cost, true
}

// isHarmlessToServices reports whether a task of the kind is known to run
// beside every service without slowing it down by more than MaxServiceSlowdown.
func (r *placementRound) isHarmlessToServices(kind int) bool {
	for i, name := range r.kinds {
		if p := r.pairs[i][kind]; strings.HasPrefix(name, servicePrefix) && (!p.known || p.slowdown > r.Weights.MaxServiceSlowdown) {
			return false
		}
	}
	return true
}

// isTrialAllowed reports whether a pair is known or runs together on fewer than
// maxTrialsPerPair VMs.
func (r *placementRound) isTrialAllowed(tr trial) bool {
	return r.pairs[tr.service][tr.task].known || r.trials[tr] < maxTrialsPerPair
}

// assignTask adds the task to c.
func (r *placementRound) assignTask(c *candidate, t *carobrock.Task) {
	c.free = c.free.Sub(t.Size)
	kind := r.kindIndex[t.Kind]
	for _, n := range c.neighbors {
		if n.isService {
			if !r.pairs[n.kind][kind].known {
				r.trials[trial{n.kind, kind}]++
			}
			c.serviceSlowdown += r.pairs[n.kind][kind].slowdown
		}
	}
	for i := range c.neighbors {
		if n := &c.neighbors[i]; n.kind == kind && !n.isService {
			n.count++
			return
		}
	}
	c.neighbors = append(c.neighbors, neighbor{kind, 1, false})
}
