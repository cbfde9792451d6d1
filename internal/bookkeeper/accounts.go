package bookkeeper

import (
	"math"

	"github.com/carobrock/carobrock"
)

// AccountUsage is what the runs of a client account take up.
type AccountUsage struct {
	// Size is the sum of the sizes of the runs. A filler counts with its full size.
	Size carobrock.Capacity
	// Runs counts the runs.
	Runs int
}

// AccountUsage returns what an account, or the jobs without an account if the name is
// empty, may have running: all runs in the records of workers, until their ends are
// recorded.
func (s *State) AccountUsage(account string) AccountUsage {
	if u := s.usage[account]; u != nil {
		return *u
	}
	return AccountUsage{}
}

// addRun adds a run to the record of a worker incarnation and to the usage of its
// account. It replaces a run of an earlier job with the same ID, which the worker
// cannot tell apart either.
func (s *State) addRun(incarnation carobrock.WorkerIncarnation, r carobrock.Run, step *carobrock.Step, account string) {
	rec := s.workerRecord(incarnation)
	s.deleteRun(rec, r)
	rec.Runs[r] = step
	if account != "" {
		if rec.Accounts == nil {
			rec.Accounts = map[carobrock.Run]string{}
		}
		rec.Accounts[r] = account
	}
	u := s.usage[account]
	if u == nil {
		u = &AccountUsage{}
		s.usage[account] = u
	}
	u.Size = u.Size.Add(step.Size)
	u.Runs++
}

// deleteRun deletes a run from the record of a worker and from the usage of its
// account.
func (s *State) deleteRun(rec *WorkerRecord, r carobrock.Run) {
	step := rec.Runs[r]
	if step == nil {
		return
	}
	account := rec.Accounts[r]
	u := s.usage[account]
	u.Size = u.Size.Sub(step.Size)
	u.Runs--
	if u.Runs == 0 {
		delete(s.usage, account)
	}
	delete(rec.Runs, r)
	delete(rec.Accounts, r)
}

// TokenBucket limits the rate at which jobs of an account count as within its rate.
// It holds integers, so that all replicas compute the same whatever their processors.
type TokenBucket struct {
	_ struct{} `cbor:",toarray"`
	// NanoTokens is the content as of AtUnixMillis, in billionths of a job.
	NanoTokens int64
	// AtUnixMillis is the time of the last job on the leader's clock, in milliseconds
	// since 1970.
	AtUnixMillis int64
}

const (
	// nanoTokensPerJob is what one job takes out of a bucket.
	nanoTokensPerJob = 1_000_000_000
	// nanoTokensPerMilli is what a rate of one job a second adds in a millisecond.
	nanoTokensPerMilli = nanoTokensPerJob / 1000
	// burstMillis is the time whose jobs a full bucket holds, in milliseconds.
	burstMillis = 2000
	// maxJobsPerSecond bounds the rate, so that the contents of a bucket fit in 64
	// bits. No leader commits as many.
	maxJobsPerSecond = 1e6
)

// takeToken reports whether a bucket that fills at the given rate, in jobs a second,
// holds a job, and takes it out. A clock that goes back adds nothing, and counts from
// then on: its next leap forward adds at most what a bucket holds.
func (b *TokenBucket) takeToken(jobsPerSecond float64, atMillis int64) bool {
	perMilli := max(1, int64(min(jobsPerSecond, maxJobsPerSecond)*nanoTokensPerMilli))
	full := max(nanoTokensPerJob, burstMillis*perMilli)
	b.NanoTokens = min(b.NanoTokens, full) // the weight may have been lowered
	if elapsed := atMillis - b.AtUnixMillis; elapsed > (full-b.NanoTokens)/perMilli {
		b.NanoTokens = full
	} else if elapsed > 0 {
		b.NanoTokens += elapsed * perMilli
	}
	b.AtUnixMillis = atMillis
	if b.NanoTokens < nanoTokensPerJob {
		return false
	}
	b.NanoTokens -= nanoTokensPerJob
	return true
}

// exceedsRate reports whether a job that is submitted now is beyond the rate of its
// account. Jobs without an account, and accounts of weight zero, have no rate.
func (s *State) exceedsRate(account string, atMillis int64) bool {
	if account == "" || s.Configuration == nil {
		return false
	}
	a := s.Configuration.AccountByName(account)
	if a == nil || a.Weight <= 0 {
		return false
	}
	b := s.Buckets[account]
	if b == nil {
		// takeToken lowers the contents to those of a full bucket.
		b = &TokenBucket{NanoTokens: math.MaxInt64, AtUnixMillis: atMillis}
		if s.Buckets == nil {
			s.Buckets = map[string]*TokenBucket{}
		}
		s.Buckets[account] = b
	}
	return !b.takeToken(a.Weight, atMillis)
}

// dropBuckets deletes the buckets of the accounts that the configuration does not
// give a rate.
func (s *State) dropBuckets() {
	for name := range s.Buckets {
		if a := s.Configuration.AccountByName(name); a == nil || a.Weight <= 0 {
			delete(s.Buckets, name)
		}
	}
}

// ForEachUsage calls fn for each account with runs, in no particular order.
func (s *State) ForEachUsage(fn func(account string, u AccountUsage)) {
	for account, u := range s.usage {
		fn(account, *u)
	}
}
