// Package sharer decides in which order the waiting tasks of several client accounts
// are placed. Its functions use only their arguments.
//
// It answers this load: accounts with deep queues share a fleet that is full, one of
// them sends ten times what its weight entitles it to, and the tasks of the others need
// different mixes of processors, memory and accelerators. The next account is always the
// one with the smallest dominant share of the fleet divided by its weight (weighted
// dominant-resource fairness; Ghodsi et al., "Dominant resource fairness: fair
// allocation of multiple resource types", NSDI 2011). The shares are those of the runs
// at the moment, so that a new leader needs no history. Start-time fair queueing (Goyal
// et al., SIGCOMM 1996) would need one.
package sharer

import (
	"container/heap"
	"math"

	"github.com/carobrock/carobrock"
)

// Tier is a group of requests that comes before the groups of higher value.
type Tier int

// Values of Tier.
const (
	// Isolated requests need one of few suitable workers. They keep their order.
	Isolated Tier = iota
	// Services are requests of long-running tasks.
	Services
	// Started requests belong to jobs within the rate of their account of which tasks
	// have run. They come first only as far as their account stays within its share of
	// the fleet; the rest of them counts as Entitled. Without this tier the jobs of all
	// accounts are served at once, and on a full fleet those of all of them end late.
	Started
	// Entitled requests belong to the other jobs within the rate of their account.
	Entitled
	// Excess requests belong to jobs beyond the rate of their account.
	Excess
	tiers // number of tiers
)

// Account is what an account is entitled to and has.
type Account struct {
	// Weight is the account's share relative to the others. Accounts of weight zero
	// are entitled to nothing: they come after the others of a tier.
	Weight float64
	// Usage is the size of what the account has running.
	Usage carobrock.Capacity
}

// Request asks for workers for waiting tasks of one size.
type Request struct {
	// Account is the index of the account.
	Account int
	// Size is the size of a task, Count the number of tasks.
	Size  carobrock.Capacity
	Count int
	// IsGang is set if the tasks are placed together.
	IsGang bool
	Tier   Tier
}

// Part is a range of the tasks of a request.
type Part struct {
	// Request is the index of the request, First that of the first task.
	Request int
	First   int
	Count   int
}

// levelStep is the part of its share by which an account may get ahead of the next one
// before the turn passes on. Requests are thus split into few parts; the account that
// waits lacks at most this fraction of its share, or one task or gang of another.
const levelStep = 1.0 / 16

// maxSplits is the number of times that requests are split for each account of a tier.
// That is enough to fill an empty fleet with accounts that start from equal levels. The
// requests after that are not split.
const maxSplits = 1 / levelStep

// Order returns the order in which to place requests, which are given in the order of
// their urgency. The requests of an account keep their order within a tier. total is
// the capacity of all workers. If there are no accounts, the order is that of the
// requests. It takes time in O((R + A) log A) for R requests and A accounts.
func Order(requests []Request, accounts []Account, total carobrock.Capacity) []Part {
	out := make([]Part, 0, len(requests))
	if len(accounts) == 0 {
		for i := range requests {
			out = append(out, Part{Request: i, Count: requests[i].Count})
		}
		return out
	}
	o := &orderer{total: components(total), accounts: make([]account, len(accounts)), out: out}
	for i, x := range o.total {
		if x > 0 {
			o.perUnit[i] = 1 / x
		}
	}
	for i := range accounts {
		o.accounts[i] = account{weight: accounts[i].Weight, usage: components(accounts[i].Usage)}
		o.updateLevel(&o.accounts[i])
	}
	o.splitStarted(requests)
	for tier := range tiers {
		o.orderTier(tier)
	}
	for i := range o.out {
		p, r := &o.out[i], &o.requests[o.out[i].Request]
		p.Request, p.First = r.index, p.First+r.first
	}
	return o.out
}

// request is a Request, or one of the two ranges of its tasks that are in different
// tiers.
type request struct {
	Request
	// index is that of the Request, first that of the first task of the range.
	index int
	first int
}

// splitStarted sets o.requests. Of the started requests of an account, the tasks that
// exceed its share go to the next tier. The share is that among the accounts that run
// or wait for something.
func (o *orderer) splitStarted(requests []Request) {
	active := make([]bool, len(o.accounts))
	for i := range requests {
		active[requests[i].Account] = true
	}
	weights := 0.0
	held := make([]account, len(o.accounts))
	isExhausted := make([]bool, len(o.accounts))
	for i := range o.accounts {
		a := &o.accounts[i]
		if active[i] || a.level > 0 {
			weights += a.weight
		}
		held[i] = account{weight: a.weight, usage: a.usage}
	}
	o.requests = make([]request, 0, len(requests))
	for i := range requests {
		r := &requests[i]
		if r.Tier != Started {
			o.requests = append(o.requests, request{Request: *r, index: i})
			continue
		}
		a, n := &held[r.Account], 0
		if a.weight > 0 && !isExhausted[r.Account] {
			n = min(r.Count, o.tasksUpTo(a, r.Size, 1/weights))
		}
		if r.IsGang && n < r.Count {
			n = 0
		}
		isExhausted[r.Account] = n < r.Count
		a.add(r.Size, n)
		if n > 0 {
			within := *r
			within.Count = n
			o.requests = append(o.requests, request{Request: within, index: i})
		}
		if n < r.Count {
			beyond := *r
			beyond.Count, beyond.Tier = r.Count-n, Entitled
			o.requests = append(o.requests, request{Request: beyond, index: i, first: n})
		}
	}
}

// vector holds the components of a capacity.
type vector [3]float64

func components(c carobrock.Capacity) vector {
	return vector{float64(c.MilliCPU), float64(c.MemoryMB), float64(c.Accelerators)}
}

// account is the state of an account: what it has with what was granted to it so far.
type account struct {
	// weight and usage are those of Account.
	weight float64
	usage  vector
	// level is the dominant share divided by the weight, or the dominant share if the
	// weight is zero.
	level float64
	// waiting holds the requests of the current tier that are not granted yet. granted
	// counts the granted tasks of the first.
	waiting []int
	granted int
}

// add adds n tasks of a size to the usage.
func (a *account) add(size carobrock.Capacity, n int) {
	for i, x := range components(size) {
		a.usage[i] += float64(n) * x
	}
}

// orderer is a heap of the accounts that have waiting requests in the current tier.
type orderer struct {
	requests []request
	total    vector
	// perUnit holds the share that a unit of each resource is, zero if there is none.
	perUnit  vector
	accounts []account
	queue    []*account
	out      []Part
}

var _ heap.Interface = (*orderer)(nil)

// dominantShare returns the largest share of a resource.
func (o *orderer) dominantShare(v vector) (share float64) {
	for i := range v {
		share = max(share, v[i]*o.perUnit[i])
	}
	return share
}

func (o *orderer) updateLevel(a *account) {
	a.level = o.dominantShare(a.usage)
	if a.weight > 0 {
		a.level /= a.weight
	}
}

// orderTier appends the requests of a tier to the order.
func (o *orderer) orderTier(tier Tier) {
	for i := range o.requests {
		r := &o.requests[i]
		if r.Tier != tier {
			continue
		}
		a := &o.accounts[r.Account]
		if tier == Isolated {
			o.grant(a, i, 0, r.Count)
			continue
		}
		if len(a.waiting) == 0 {
			o.queue = append(o.queue, a)
		}
		a.waiting = append(a.waiting, i)
	}
	weights, unweighted := 0.0, 0
	for _, a := range o.queue {
		if weights += a.weight; a.weight <= 0 {
			unweighted++
		}
	}
	heap.Init(o)
	for splits := maxSplits * len(o.queue); len(o.queue) > 0; heap.Fix(o, 0) {
		a := o.queue[0]
		i, first := a.waiting[0], a.granted
		r := &o.requests[i]
		n := r.Count - first
		if next := o.secondAccount(); next != nil && splits > 0 && !r.IsGang && (next.weight > 0) == (a.weight > 0) {
			step := levelStep / float64(max(1, unweighted))
			if a.weight > 0 {
				step = levelStep / weights
			}
			n = min(n, max(1, o.tasksUpTo(a, r.Size, next.level+step)))
		}
		o.grant(a, i, first, n)
		if a.granted += n; a.granted < r.Count {
			splits--
			continue
		}
		a.waiting, a.granted = a.waiting[1:], 0
		if len(a.waiting) == 0 {
			heap.Remove(o, 0)
			if len(o.queue) == 0 {
				return
			}
		}
	}
}

// secondAccount returns the account whose turn is after that of the first, nil if
// there is none.
func (o *orderer) secondAccount() *account {
	switch {
	case len(o.queue) < 2:
		return nil
	case len(o.queue) > 2 && o.Less(2, 1):
		return o.queue[2]
	default:
		return o.queue[1]
	}
}

// tasksUpTo returns the number of tasks of a size that an account may get without
// exceeding a level.
func (o *orderer) tasksUpTo(a *account, size carobrock.Capacity, level float64) int {
	share := level
	if a.weight > 0 {
		share *= a.weight
	}
	n := float64(math.MaxInt32)
	for i, x := range components(size) {
		if x > 0 && o.total[i] > 0 {
			n = min(n, (share*o.total[i]-a.usage[i])/x)
		}
	}
	return int(max(0, n))
}

// grant appends tasks to the order and adds them to what their account has.
func (o *orderer) grant(a *account, request, first, n int) {
	a.add(o.requests[request].Size, n)
	o.updateLevel(a)
	if last := len(o.out) - 1; last >= 0 && o.out[last].Request == request {
		o.out[last].Count += n
		return
	}
	o.out = append(o.out, Part{Request: request, First: first, Count: n})
}

// Len implements heap.Interface.
func (o *orderer) Len() int { return len(o.queue) }

// Less implements heap.Interface. Of accounts with equal levels, the one with the more
// urgent request comes first.
func (o *orderer) Less(i, j int) bool {
	a, b := o.queue[i], o.queue[j]
	switch {
	case (a.weight > 0) != (b.weight > 0):
		return a.weight > 0
	case a.level != b.level:
		return a.level < b.level
	default:
		return a.waiting[0] < b.waiting[0]
	}
}

// Swap implements heap.Interface.
func (o *orderer) Swap(i, j int) { o.queue[i], o.queue[j] = o.queue[j], o.queue[i] }

// Push implements heap.Interface.
func (o *orderer) Push(x any) { o.queue = append(o.queue, x.(*account)) }

// Pop implements heap.Interface.
func (o *orderer) Pop() any {
	last := o.queue[len(o.queue)-1]
	o.queue = o.queue[:len(o.queue)-1]
	return last
}
