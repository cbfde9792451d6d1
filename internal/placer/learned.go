package placer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/carobrock/carobrock"
)

// Weights say what a placement is to spare. They are settings: the users differ
// in them and not in the code.
type Weights struct {
	// Service weighs the slowdown of services.
	Service float64
	// Batch weighs the slowdown of batch tasks, both ways.
	Batch float64
	// Keep is what it costs to use a VM without services for a task that could
	// run beside services: such VMs are kept for tasks that cannot.
	Keep float64
	// Spread weighs crowding: the share of the VM's processors that is
	// committed.
	Spread float64
	// MaxServiceSlowdown is the expected slowdown of a service beyond which
	// nothing is put beside it, as a share.
	MaxServiceSlowdown float64
}

// RecordsOffice weighs batch throughput and evictions more.
func RecordsOffice() Weights {
	return Weights{Service: 1, Batch: 1, Keep: 0.2, Spread: 0.1, MaxServiceSlowdown: 0.065}
}

// Envases weighs the tail latency of services more.
func Envases() Weights {
	return Weights{Service: 4, Batch: 0.5, Keep: 0.2, Spread: 0.2, MaxServiceSlowdown: 0.065}
}

// ServiceKind returns the kind under which Interference knows a pool's service.
func ServiceKind(pool string) string { return servicePrefix + pool }

const servicePrefix = "service/"

// Learned puts each task where it is expected to hurt least, by what
// Interference has learned.
type Learned struct {
	// Model is what was learned.
	Model *Interference
	// Weights say what to spare.
	Weights Weights
	// MaxPlaced bounds the assignments of one call. Zero: 64.
	MaxPlaced int
}

var _ carobrock.Placer = (*Learned)(nil)

const defaultMaxPlaced = 64

// site is a worker during one call of Place.
type site struct {
	*carobrock.PlacementWorker
	free carobrock.Capacity
	// neighbours counts what runs on the VM, by the number of its kind.
	neighbours []neighbour
	// slowdown is the expected slowdown of the services.
	slowdown float64
}

type neighbour struct {
	kind    int
	count   int
	service bool
}

// round is the state of one call of Place.
type round struct {
	*Learned
	view  *carobrock.PlacementView
	kinds []string
	index map[string]int
	table [][]pair
	sites []site
	// full remembers why tasks of a class cannot be placed now, so that a long
	// queue of like tasks costs one search.
	full map[class]carobrock.Waiting
	// trials counts, by the kinds of a service and a task that are not known
	// beside each other, the VMs where they are tried.
	trials map[trial]int
	out    carobrock.Placement
}

// trial is a pair of kinds that is tried to learn of it.
type trial struct{ service, task int }

// maxTrials is on how many VMs a pair that is not known is tried at a time.
const maxTrials = 1

// class is what the search for a place depends on.
type class struct {
	pool, kind string
	size       carobrock.Capacity
	failedOn   string
}

// Place implements carobrock.Placer.
func (l *Learned) Place(v *carobrock.PlacementView) carobrock.Placement {
	r := l.newRound(v)
	most := l.MaxPlaced
	if most == 0 {
		most = defaultMaxPlaced
	}
	for _, t := range v.Queued {
		if len(r.out.Assignments) >= most {
			break
		}
		r.place(t)
	}
	return r.out
}

func (l *Learned) newRound(v *carobrock.PlacementView) *round {
	r := &round{
		Learned: l, view: v, index: map[string]int{}, full: map[class]carobrock.Waiting{}, trials: map[trial]int{},
	}
	r.collectKinds()
	r.table = l.Model.table(r.kinds)
	r.prepareSites()
	return r
}

func (r *round) kind(name string) int {
	i, ok := r.index[name]
	if !ok {
		i = len(r.kinds)
		r.index[name] = i
		r.kinds = append(r.kinds, name)
	}
	return i
}

func (r *round) collectKinds() {
	for _, t := range r.view.Queued {
		r.kind(t.Kind)
	}
	for i := range r.view.Workers {
		w := &r.view.Workers[i]
		for k := range w.Kinds {
			r.kind(k)
		}
		for _, s := range w.Services {
			r.kind(ServiceKind(s.Pool))
		}
	}
	// The order of kinds must not depend on the order of a map.
	slices.Sort(r.kinds)
	for i, k := range r.kinds {
		r.index[k] = i
	}
}

func (r *round) prepareSites() {
	r.sites = make([]site, len(r.view.Workers))
	for i := range r.view.Workers {
		w := &r.view.Workers[i]
		s := site{PlacementWorker: w, free: w.Free}
		s.neighbours = make([]neighbour, 0, len(w.Services)+len(w.Kinds)+1)
		for _, svc := range w.Services {
			s.neighbours = append(s.neighbours, neighbour{r.index[ServiceKind(svc.Pool)], 1, true})
		}
		for k, n := range w.Kinds {
			s.neighbours = append(s.neighbours, neighbour{r.index[k], n, false})
		}
		tasks := s.neighbours[len(w.Services):]
		slices.SortFunc(tasks, func(a, b neighbour) int { return a.kind - b.kind })
		s.slowdown = r.serviceSlowdown(s.neighbours[:len(w.Services)], tasks)
		r.sites[i] = s
	}
}

// serviceSlowdown returns the expected slowdown of all services by the tasks.
func (r *round) serviceSlowdown(services, tasks []neighbour) float64 {
	sum := 0.0
	for _, victim := range services {
		row := r.table[victim.kind]
		for _, other := range tasks {
			if !row[other.kind].known {
				r.trials[trial{victim.kind, other.kind}]++
			}
			sum += float64(other.count) * row[other.kind].slowdown
		}
	}
	return sum
}

func (r *round) place(t *carobrock.Task) {
	pool, ok := r.view.Pools[t.Pool]
	if !ok {
		r.out.Waiting = append(r.out.Waiting, carobrock.Waiting{Task: t.ID, Reason: "the pool does not exist"})
		return
	}
	c := class{t.Pool, t.Kind, t.Size, strings.Join(t.FailedOn, ",")}
	if w, ok := r.full[c]; ok {
		w.Task = t.ID
		r.out.Waiting = append(r.out.Waiting, w)
		return
	}
	best, waiting := r.search(t, &pool)
	if best == nil {
		r.full[c] = waiting
		r.out.Waiting = append(r.out.Waiting, waiting)
		return
	}
	r.take(best, t)
	r.out.Assignments = append(r.out.Assignments, carobrock.Assignment{Task: t.ID, Worker: best.Name})
}

// search returns the place with the least cost, or why there is none. A worker
// on which the task has failed is taken only if no other is allowed.
func (r *round) search(t *carobrock.Task, pool *carobrock.Pool) (*site, carobrock.Waiting) {
	y := &tally{}
	var best, failed *site
	lowest, hurting := 0.0, 0
	kind := r.index[t.Kind]
	for i := range r.sites {
		s := &r.sites[i]
		if !pool.Allows(&s.Worker) || !y.addWith(t, s.PlacementWorker, s.free) {
			continue
		}
		if slices.Contains(t.FailedOn, s.Name) {
			failed = s
			continue
		}
		cost, ok := r.cost(s, kind, t)
		if !ok {
			hurting++
			continue
		}
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	if best == nil && failed != nil && len(t.FailedOn) >= y.allowed {
		return failed, carobrock.Waiting{}
	}
	if best == nil && hurting > 0 {
		return nil, carobrock.Waiting{Task: t.ID, Reason: fmt.Sprintf(
			"on %d workers with room the task would slow a service down by more than %.0f %%, or it is not known yet by how much", hurting, 100*r.Weights.MaxServiceSlowdown)}
	}
	return best, y.explain(t)
}

// cost returns what the task is expected to cost on s, and false if it would
// slow a service down too much.
func (r *round) cost(s *site, kind int, t *carobrock.Task) (float64, bool) {
	service, batch := 0.0, 0.0
	for _, n := range s.neighbours {
		if n.service {
			if !r.mayTry(trial{n.kind, kind}) {
				return 0, false
			}
			service += r.table[n.kind][kind].slowdown
		} else {
			batch += float64(n.count) * r.table[n.kind][kind].slowdown
		}
		batch += float64(n.count) * r.table[kind][n.kind].slowdown
	}
	if service > 0 && s.slowdown+service > r.Weights.MaxServiceSlowdown {
		return 0, false
	}
	crowding := 0.0
	if s.Capacity.MilliCPU > 0 {
		crowding = 1 - float64(s.free.MilliCPU-t.Size.MilliCPU)/float64(s.Capacity.MilliCPU)
	}
	cost := r.Weights.Service*service + r.Weights.Batch*batch + r.Weights.Spread*crowding
	if len(s.Services) == 0 && r.isMild(kind) {
		cost += r.Weights.Keep
	}
	return cost, true
}

// isMild reports whether a task of the kind is known to run beside every service
// without slowing it down beyond the limit.
func (r *round) isMild(kind int) bool {
	for i, name := range r.kinds {
		if p := r.table[i][kind]; strings.HasPrefix(name, servicePrefix) && (!p.known || p.slowdown > r.Weights.MaxServiceSlowdown) {
			return false
		}
	}
	return true
}

// mayTry reports whether a pair is known, or too few VMs try it yet.
func (r *round) mayTry(tr trial) bool {
	return r.table[tr.service][tr.task].known || r.trials[tr] < maxTrials
}

// take books the task on s.
func (r *round) take(s *site, t *carobrock.Task) {
	s.free = s.free.Sub(t.Size)
	kind := r.index[t.Kind]
	for _, n := range s.neighbours {
		if n.service {
			if !r.table[n.kind][kind].known {
				r.trials[trial{n.kind, kind}]++
			}
			s.slowdown += r.table[n.kind][kind].slowdown
		}
	}
	for i := range s.neighbours {
		if n := &s.neighbours[i]; n.kind == kind && !n.service {
			n.count++
			return
		}
	}
	s.neighbours = append(s.neighbours, neighbour{kind, 1, false})
}
