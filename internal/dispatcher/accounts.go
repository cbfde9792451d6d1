package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/logger"
	"github.com/carobrock/carobrock/internal/sharer"
)

// noLimit is the room for a resource that an account's limit does not mention. Sums of
// sizes stay far below it.
const noLimit = 1 << 60

// accountTable holds what the leader derives for the client accounts. Jobs without an
// account, and those of accounts that the configuration no longer contains, count as
// one account without a limit, whose index follows those of the configuration.
type accountTable struct {
	// configuration is the one from which indexes was derived. indexes holds the
	// positions of the accounts in it by name.
	configuration *carobrock.Configuration
	indexes       map[string]int
	// withUnrecorded holds the workers that list runs which are not recorded.
	withUnrecorded map[*worker]bool
	// waiting counts the waiting tasks by account as of the last round that considered
	// all of them.
	waiting []waitingTasks
	// heldSteps holds the steps with tasks that were held back by a limit, by their
	// first task. neverFitting holds the jobs that were logged because they exceed the
	// limit by themselves.
	heldSteps    map[carobrock.TaskRef]bool
	neverFitting map[string]bool
	// heldLog and neverFitsLog limit the log lines.
	heldLog      logger.LineLimiter
	neverFitsLog logger.LineLimiter
}

// waitingTasks counts the waiting tasks of an account, and those of them that wait
// because of its limit.
type waitingTasks struct {
	total   int
	limited int
}

// resetAccounts forgets what was derived in an earlier term. d.mu must be held.
func (d *Dispatcher) resetAccounts() {
	d.accounts = accountTable{
		withUnrecorded: map[*worker]bool{}, heldSteps: map[carobrock.TaskRef]bool{}, neverFitting: map[string]bool{},
	}
}

// hasAccounts reports whether the configuration in force lists client accounts.
func hasAccounts(s *bookkeeper.State) bool {
	return s.Configuration != nil && len(s.Configuration.Accounts) > 0
}

// accountIndex returns the index of an account. The configuration must list accounts.
// d.mu must be held.
func (d *Dispatcher) accountIndex(s *bookkeeper.State, name string) int {
	t := &d.accounts
	if t.configuration != s.Configuration {
		t.configuration, t.waiting = s.Configuration, nil
		t.indexes = make(map[string]int, len(s.Configuration.Accounts))
		for i := range s.Configuration.Accounts {
			t.indexes[s.Configuration.Accounts[i].Name] = i
		}
	}
	if i, ok := t.indexes[name]; ok {
		return i
	}
	return len(s.Configuration.Accounts)
}

// accountUsage is what an account may have running.
type accountUsage struct {
	bookkeeper.AccountUsage
	// unknownRuns counts runs of unknown size among the others. They are listed by a
	// worker, but are neither recorded nor do they belong to an open job.
	unknownRuns int
}

// usageByAccount returns the usage of each account by index. The configuration must
// list accounts. d.mu must be held.
func (d *Dispatcher) usageByAccount(s *bookkeeper.State) []accountUsage {
	out := make([]accountUsage, len(s.Configuration.Accounts)+1)
	s.ForEachUsage(func(account string, u bookkeeper.AccountUsage) {
		out[d.accountIndex(s, account)].add(u)
	})
	d.forEachUnrecorded(s, func(account string, step *carobrock.Step) {
		out[d.accountIndex(s, account)].addUnrecorded(step)
	})
	return out
}

func (u *accountUsage) add(o bookkeeper.AccountUsage) {
	u.Size = u.Size.Add(o.Size)
	u.Runs += o.Runs
}

func (u *accountUsage) addUnrecorded(step *carobrock.Step) {
	if step == nil {
		u.Runs++
		u.unknownRuns++
		return
	}
	u.add(bookkeeper.AccountUsage{Size: step.Size, Runs: 1})
}

// forEachUnrecorded calls fn for each run that a worker lists although it is not
// recorded, with its account and step, nil if that is unknown. d.mu must be held.
func (d *Dispatcher) forEachUnrecorded(s *bookkeeper.State, fn func(account string, step *carobrock.Step)) {
	for w := range d.accounts.withUnrecorded {
		for run, step := range w.unrecorded {
			account := ""
			if j := s.Jobs[run.Task.Job]; j != nil {
				account = j.Spec.Account
			}
			fn(account, step)
		}
	}
}

// hasLimit reports whether a limit bounds any resource.
func hasLimit(limit carobrock.Capacity) bool { return limit != carobrock.Capacity{} }

// roomWithin returns what a limit leaves beside a usage. Components may be negative.
// Beside runs of unknown size it leaves nothing.
func roomWithin(limit carobrock.Capacity, u accountUsage) *allocator.Room {
	room := carobrock.Capacity{MilliCPU: cmp.Or(limit.MilliCPU, noLimit), MemoryMB: cmp.Or(limit.MemoryMB, noLimit), Accelerators: cmp.Or(limit.Accelerators, noLimit)}
	if u.unknownRuns > 0 {
		room = carobrock.Capacity{MilliCPU: -1, MemoryMB: -1, Accelerators: -1}
	}
	return &allocator.Room{Size: room.Sub(u.Size)}
}

// roomsByAccount returns the rooms of the accounts, nil for those without a limit. The
// configuration must list accounts.
func roomsByAccount(s *bookkeeper.State, usage []accountUsage) []*allocator.Room {
	out := make([]*allocator.Room, len(usage))
	for i := range s.Configuration.Accounts {
		if limit := s.Configuration.Accounts[i].Limit; hasLimit(limit) {
			out[i] = roomWithin(limit, usage[i])
		}
	}
	return out
}

// exceedsLimit reports whether the account of a job has more running than its limit
// allows, with the recorded runs that have not started. d.mu must be held.
func (d *Dispatcher) exceedsLimit(s *bookkeeper.State, j *bookkeeper.Job) bool {
	if !hasAccounts(s) || j.Spec.Account == "" {
		return false
	}
	i := d.accountIndex(s, j.Spec.Account)
	if i == len(s.Configuration.Accounts) || !hasLimit(s.Configuration.Accounts[i].Limit) {
		return false
	}
	u := accountUsage{AccountUsage: s.AccountUsage(j.Spec.Account)}
	d.forEachUnrecorded(s, func(account string, step *carobrock.Step) {
		if account == j.Spec.Account {
			u.addUnrecorded(step)
		}
	})
	return roomWithin(s.Configuration.Accounts[i].Limit, u).Size.IsNegative()
}

// unstartedRun is a run that has certainly not reached its worker.
type unstartedRun struct {
	worker *worker
	run    carobrock.Run
	job    *bookkeeper.Job
	step   *carobrock.Step
}

// compareWithdrawal orders the runs that are withdrawn first before others: those of
// the newest jobs, services last.
func compareWithdrawal(a, b *unstartedRun) int {
	if a.step.Service != b.step.Service {
		if a.step.Service {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.job.SubmitNumber, a.job.SubmitNumber), b.run.Compare(a.run))
}

// withdrawBeyondLimits adds to c unstarted runs of the accounts that exceed their
// limits, only as many as needed. If the started runs alone exceed a limit, none of
// the others may start, so all are withdrawn. The rooms of the round stay as they are
// until that is committed. d.mu must be held.
func (d *Dispatcher) withdrawBeyondLimits(s *bookkeeper.State, round *accountRound, now time.Time, c *carobrock.JobCommand) {
	if round == nil {
		return
	}
	isOver := func(room *allocator.Room) bool { return room != nil && room.Size.IsNegative() }
	if !slices.ContainsFunc(round.rooms, isOver) {
		return
	}
	rooms := roomsByAccount(s, round.usage)
	for i := range c.Withdrawn {
		x := &c.Withdrawn[i]
		rec, run := s.Workers[x.Incarnation], carobrock.Run{Task: x.Task, Attempt: x.Attempt}
		if rec == nil || rec.Runs[run] == nil {
			continue
		}
		if room := rooms[d.accountIndex(s, rec.Accounts[run])]; room != nil {
			room.Size = room.Size.Add(rec.Runs[run].Size)
		}
	}
	byAccount := make([][]unstartedRun, len(rooms))
	for _, w := range d.sortedWorkers() {
		for _, run := range d.withdrawableRuns(s, w, now) {
			j, _, _ := s.Task(run.Task)
			if j == nil || w.withdrawalProposed[run] {
				continue // withdrawn for another reason
			}
			if i := d.accountIndex(s, j.Spec.Account); isOver(rooms[i]) {
				byAccount[i] = append(byAccount[i], unstartedRun{w, run, j, &j.Spec.Steps[run.Task.Step]})
			}
		}
	}
	for i, runs := range byAccount {
		if len(runs) == 0 {
			continue
		}
		slices.SortFunc(runs, func(a, b unstartedRun) int { return compareWithdrawal(&a, &b) })
		for _, x := range chooseWithdrawals(rooms[i], runs) {
			x.worker.withdrawalProposed[x.run] = true
			d.Logger.Info().Str("worker", x.worker.report.Name).Str("account", x.job.Spec.Account).Str("job", x.run.Task.Job).Uint64("attempt", x.run.Attempt).
				Msg("dispatcher: proposing to withdraw a run because its client account exceeds its limit")
			c.Withdrawn = append(c.Withdrawn, carobrock.WithdrawnRun{Incarnation: x.worker.report.WorkerIncarnation, Task: x.run.Task, Attempt: x.run.Attempt})
		}
	}
}

// chooseWithdrawals returns which of the runs, in order, are withdrawn until the room
// is no longer negative, or all if it stays negative. A member of a gang is withdrawn
// together with the others.
func chooseWithdrawals(room *allocator.Room, runs []unstartedRun) (out []unstartedRun) {
	left := room.Size
	chosen := make([]bool, len(runs))
	for i := range runs {
		if chosen[i] || !relieves(runs[i].step.Size, left) {
			continue
		}
		for k := range runs {
			if k != i && (!runs[i].step.Gang || stepOf(runs[k].run) != stepOf(runs[i].run)) || chosen[k] {
				continue
			}
			chosen[k] = true
			left = left.Add(runs[k].step.Size)
		}
	}
	if left.IsNegative() {
		return runs
	}
	for i := range runs {
		if chosen[i] {
			out = append(out, runs[i])
		}
	}
	return out
}

// relieves reports whether the end of a run of the given size adds to a component of
// room that is negative.
func relieves(size, room carobrock.Capacity) bool {
	return room.MilliCPU < 0 && size.MilliCPU > 0 || room.MemoryMB < 0 && size.MemoryMB > 0 || room.Accelerators < 0 && size.Accelerators > 0
}

// gangSize returns the number of tasks of a step that are placed together.
func gangSize(step *carobrock.Step) int {
	if step.Gang {
		return step.Count
	}
	return 1
}

// neverFits reports whether a task or gang exceeds an account's limit by itself.
func neverFits(limit carobrock.Capacity, step *carobrock.Step) bool {
	return hasLimit(limit) && !roomWithin(limit, accountUsage{}).Holds(step.Size, gangSize(step))
}

// accountRound holds the accounts' part of one placement round.
type accountRound struct {
	usage []accountUsage
	rooms []*allocator.Room
	// waiting counts the waiting tasks by account, except those that were assigned. Of a
	// job with more than maxStartedVisits started occurrences, the others do not count.
	waiting []waitingTasks
	// unlisted counts the waiting tasks that are in no request, by step of a job. The
	// numbers of the occurrences are zero.
	unlisted map[carobrock.TaskRef]int
}

// newAccountRound returns nil if the configuration lists no accounts. d.mu must be
// held.
func (d *Dispatcher) newAccountRound(s *bookkeeper.State) *accountRound {
	if !hasAccounts(s) {
		return nil
	}
	usage := d.usageByAccount(s)
	return &accountRound{usage: usage, rooms: roomsByAccount(s, usage), waiting: make([]waitingTasks, len(usage)), unlisted: map[carobrock.TaskRef]int{}}
}

// mayPlace reports whether tasks of a step fit in what is left of the limit of its
// account.
func (r *accountRound) mayPlace(account int, step *carobrock.Step) bool {
	return r.rooms[account] == nil || r.rooms[account].Holds(step.Size, gangSize(step))
}

// admitRequest sets the room of a request, and counts its tasks. It returns false if
// they exceed the limit of the account by themselves. d.mu must be held.
func (d *Dispatcher) admitRequest(s *bookkeeper.State, round *accountRound, account int, r *allocator.Request, now time.Time) bool {
	r.Room = round.rooms[account]
	round.waiting[account].total += len(r.Indices)
	if r.Room == nil || !neverFits(s.Configuration.Accounts[account].Limit, r.Step) {
		return true
	}
	round.waiting[account].limited += len(r.Indices)
	if d.accounts.neverFitting[r.Job] {
		return false
	}
	d.accounts.neverFitting[r.Job] = true
	if d.accounts.neverFitsLog.Admit(now) {
		d.Logger.Warn().Str("account", s.Configuration.Accounts[account].Name).Str("job", r.Job).Int("step", r.StepNumber).Interface("size", r.Step.Size).Int("together", gangSize(r.Step)).
			Interface("limit", s.Configuration.Accounts[account].Limit).Int("suppressed", d.accounts.neverFitsLog.TakeSuppressed()).
			Msg("dispatcher: a job never starts, as one of its tasks or gangs exceeds the limit of its client account")
	}
	return false
}

// countUnlisted counts n waiting tasks of step i of a job that no request has. round is nil
// if there are no accounts. d.mu must be held.
func (d *Dispatcher) countUnlisted(s *bookkeeper.State, round *accountRound, account int, j *bookkeeper.Job, i, n int) {
	if round == nil || n <= 0 {
		return
	}
	round.waiting[account].total += n
	if account < len(s.Configuration.Accounts) && neverFits(s.Configuration.Accounts[account].Limit, &j.Spec.Steps[i]) {
		round.waiting[account].limited += n
		return
	}
	round.unlisted[carobrock.TaskRef{Job: j.Spec.ID, Step: i}] += n
}

// countUnstarted counts the waiting tasks of n occurrences of a job that have no request,
// and of which no task was assigned. d.mu must be held.
func (d *Dispatcher) countUnstarted(s *bookkeeper.State, round *accountRound, account int, j *bookkeeper.Job, n int) {
	if round == nil || n == 0 {
		return
	}
	for i := range j.Spec.Steps {
		if len(j.Spec.Steps[i].After) == 0 {
			d.countUnlisted(s, round, account, j, i, n*j.Spec.Steps[i].Count)
		}
	}
}

// recordHeldBack counts and logs the tasks that were held back by limits. isFull is
// set if the round considered all waiting tasks. d.mu must be held.
func (d *Dispatcher) recordHeldBack(s *bookkeeper.State, round *accountRound, requests []allocator.Request, assigned []carobrock.TaskAssignment, isFull bool, now time.Time) {
	if round == nil {
		return
	}
	held := map[carobrock.TaskRef]bool{}
	for i := range requests {
		r := &requests[i]
		if r.HeldCount == 0 {
			continue
		}
		account := s.Jobs[r.Job].Spec.Account
		unlisted := carobrock.TaskRef{Job: r.Job, Step: r.StepNumber}
		round.waiting[d.accountIndex(s, account)].limited += r.HeldCount + round.unlisted[unlisted]
		delete(round.unlisted, unlisted)
		step := carobrock.TaskRef{Job: r.Job, Occurrence: r.Occurrence, Step: r.StepNumber}
		if held[step] = true; d.accounts.heldSteps[step] {
			continue
		}
		d.accounts.heldSteps[step] = true
		if d.accounts.heldLog.Admit(now) {
			d.Logger.Info().Str("account", account).Str("job", r.Job).Int("occurrence", r.Occurrence).Int("step", r.StepNumber).Int("tasks", r.HeldCount).
				Int("suppressed", d.accounts.heldLog.TakeSuppressed()).Msg("dispatcher: tasks wait because of the limit of their client account")
		}
	}
	if !isFull {
		return
	}
	for i := range assigned {
		round.waiting[d.accountIndex(s, s.Jobs[assigned[i].Task.Job].Spec.Account)].total--
	}
	d.accounts.waiting, d.accounts.heldSteps = round.waiting, held
	for _, l := range []*logger.LineLimiter{&d.accounts.heldLog, &d.accounts.neverFitsLog} {
		if n := l.TakeSuppressedAfterPeriod(now); n > 0 {
			d.Logger.Info().Int("suppressed", n).Msg("dispatcher: log lines on limits of client accounts were suppressed")
		}
	}
	for id := range d.accounts.neverFitting {
		if j := s.Jobs[id]; j == nil || !j.IsOpen() {
			delete(d.accounts.neverFitting, id)
		}
	}
}

// weightWithoutAccount is the weight of the jobs without an account together.
const weightWithoutAccount = 1

// shareRequests returns requests, which are in the order of their urgency, in the order
// in which the accounts share the fleet. Requests that the limit of their account holds
// back come last, so that they do not count as granted. d.mu must be held.
func (d *Dispatcher) shareRequests(s *bookkeeper.State, round *accountRound, ranked []rankedRequest, candidates []*allocator.Worker) []allocator.Request {
	total := carobrock.Capacity{}
	for _, w := range candidates {
		total = total.Add(w.Capacity)
	}
	accounts := make([]sharer.Account, len(round.usage))
	for i := range accounts {
		accounts[i] = sharer.Account{Weight: weightWithoutAccount, Usage: round.usage[i].Size}
		if i < len(s.Configuration.Accounts) {
			accounts[i].Weight = s.Configuration.Accounts[i].Weight
		}
	}
	requests := make([]sharer.Request, 0, len(ranked))
	placeable := make([]*rankedRequest, 0, len(ranked))
	var held []allocator.Request
	for i := range ranked {
		r := &ranked[i]
		account := d.accountIndex(s, r.job.Spec.Account)
		if !round.mayPlace(account, r.Step) {
			held = append(held, r.Request)
			continue
		}
		placeable = append(placeable, r)
		requests = append(requests, sharer.Request{Account: account, Size: r.Step.Size, Count: len(r.Indices), IsGang: r.Step.Gang, Tier: tierOf(r)})
	}
	parts := sharer.Order(requests, accounts, total)
	out := make([]allocator.Request, 0, len(parts)+len(held))
	for _, p := range parts {
		r := placeable[p.Request].Request
		r.Indices, r.Attempts = r.Indices[p.First:p.First+p.Count], r.Attempts[p.First:p.First+p.Count]
		out = append(out, r)
	}
	return append(out, held...)
}

func tierOf(r *rankedRequest) sharer.Tier {
	switch {
	case r.IsIsolated:
		return sharer.Isolated
	case r.Step.Service:
		return sharer.Services
	case r.job.ExceedsRate:
		return sharer.Excess
	case r.urgency.HasStarted:
		return sharer.Started
	default:
		return sharer.Entitled
	}
}
