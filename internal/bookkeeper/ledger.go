package bookkeeper

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
)

// ErrSnapshot reports that a snapshot cannot be decoded.
var ErrSnapshot = eris.New("bookkeeper: snapshot cannot be decoded")

// State is the complete replicated state of jobs.
type State struct {
	// Configuration is the configuration with the highest version, nil if there is
	// none.
	Configuration *carobrock.Configuration `cbor:"1,keyasint"`
	// OutOfServiceZones holds the availability zones that are out of service.
	OutOfServiceZones map[string]bool `cbor:"2,keyasint"`
	// Jobs holds the jobs by ID. Ended jobs remain for the retention time.
	Jobs map[string]*Job `cbor:"3,keyasint"`
	// Workers holds the worker incarnations that have runs, have reported ends of
	// runs or have ended.
	Workers map[carobrock.WorkerIncarnation]*WorkerRecord `cbor:"-"`
	// Waves holds the maintenance waves by number.
	Waves map[int64]*Wave `cbor:"4,keyasint"`
	// SubmitCount is the number of jobs ever submitted.
	SubmitCount uint64 `cbor:"5,keyasint"`
	// Interference is the interference model that the leader recorded last, nil if
	// there is none.
	Interference *carobrock.Interference `cbor:"6,keyasint,omitempty"`
	// LeaseMillis is the longest lease that a leader may have granted to a worker, in
	// milliseconds, zero if it is not known.
	LeaseMillis int64 `cbor:"7,keyasint,omitempty"`
	// ZoneVersions holds the versions of the availability zones that operators have
	// changed.
	ZoneVersions map[string]uint64 `cbor:"8,keyasint,omitempty"`
	// EarlyCancels holds the cancellations of unknown jobs, in the order of the
	// commands.
	EarlyCancels []EarlyCancel `cbor:"9,keyasint,omitempty"`
	// Buckets holds the token buckets of the client accounts that have submitted jobs.
	Buckets map[string]*TokenBucket `cbor:"10,keyasint,omitempty"`

	// queues holds the queues of Configuration by key.
	queues map[string]*carobrock.Queue
	// Open holds the jobs that have not ended, in the order of submission.
	Open []*Job `cbor:"-"`
	// Suspects holds the tasks of open jobs under which workers have crashed or may
	// have crashed, unless a later run was proven.
	Suspects map[carobrock.TaskRef]bool `cbor:"-"`
	// usage holds what the runs of each client account take up, by name. Accounts
	// without runs have no element.
	usage map[string]*AccountUsage
	// ended holds the ended jobs in the order of compareEnds. It must not be the
	// order of the commands, which a snapshot does not contain and which differs
	// from it when the leader's clock jumps.
	ended []*Job
	// endedWorkers holds the ended worker incarnations in the order of
	// compareWorkerEnds, for the same reason.
	endedWorkers []carobrock.WorkerIncarnation
	// earlyCancelled holds the keys of EarlyCancels.
	earlyCancelled map[carobrock.JobKey]bool
	// changeCount counts the changes of worker records.
	changeCount uint64
	// changedJobs holds the IDs of the jobs that were added, changed their state or were
	// deleted since the summaries were updated.
	changedJobs []string
}

// savedWorker is the form of a WorkerRecord in a snapshot. It is an element of a
// list, since a map in a snapshot cannot have struct keys.
type savedWorker struct {
	Incarnation   carobrock.WorkerIncarnation `cbor:"1,keyasint"`
	LastEndNumber uint64                      `cbor:"2,keyasint"`
	InactiveRuns  []savedInactiveRun          `cbor:"3,keyasint,omitempty"`
	Machine       string                      `cbor:"4,keyasint,omitempty"`
	LostRuns      []LostRun                   `cbor:"5,keyasint,omitempty"`
	Isolated      []carobrock.Run             `cbor:"6,keyasint,omitempty"`
	// EndedUnixMillis is that of the WorkerRecord.
	EndedUnixMillis int64 `cbor:"7,keyasint,omitempty"`
}

// savedInactiveRun is a run that is no longer among the active runs of its
// task.
type savedInactiveRun struct {
	Task    carobrock.TaskRef `cbor:"1,keyasint"`
	Attempt uint64            `cbor:"2,keyasint"`
	Step    carobrock.Step    `cbor:"3,keyasint"`
	// Account is the client account of the job, which may be unknown by now.
	Account string `cbor:"4,keyasint,omitempty"`
}

// savedState is the form of a State in a snapshot.
type savedState struct {
	State   *State        `cbor:"1,keyasint"`
	Workers []savedWorker `cbor:"2,keyasint"`
}

// StateMachine is the replicated state machine of jobs. RetentionMillis must be
// set before Prepare and OnChange before the first Apply or Restore.
type StateMachine struct {
	// RetentionMillis is how long an ended job is kept, in milliseconds. Zero means
	// 10 minutes.
	RetentionMillis int64
	// OnChange is called after every applied command and every restore. It may be
	// nil.
	OnChange func()

	mu        sync.Mutex
	state     State
	summaries summaries // of state, updated while mu is held
}

var _ carobrock.StateMachine = (*StateMachine)(nil)

// defaultRetentionMillis is long enough for callers that lost their connection to
// ask for the job again.
const defaultRetentionMillis = 10 * 60 * 1000

// Prepare applies defaults and resets the state machine to an empty state. It
// must be called before any other method.
func (m *StateMachine) Prepare() {
	if m.RetentionMillis == 0 {
		m.RetentionMillis = defaultRetentionMillis
	}
	m.state = State{}
	m.state.initMaps()
	m.summaries.replace(&m.state)
}

// initMaps creates the maps that are nil.
func (s *State) initMaps() {
	if s.OutOfServiceZones == nil {
		s.OutOfServiceZones = map[string]bool{}
	}
	if s.ZoneVersions == nil {
		s.ZoneVersions = map[string]uint64{}
	}
	if s.earlyCancelled == nil {
		s.earlyCancelled = map[carobrock.JobKey]bool{}
	}
	if s.Jobs == nil {
		s.Jobs = map[string]*Job{}
	}
	if s.Workers == nil {
		s.Workers = map[carobrock.WorkerIncarnation]*WorkerRecord{}
	}
	if s.Waves == nil {
		s.Waves = map[int64]*Wave{}
	}
	if s.usage == nil {
		s.usage = map[string]*AccountUsage{}
	}
	if s.Suspects == nil {
		s.Suspects = map[carobrock.TaskRef]bool{}
	}
}

// View calls fn with the state while holding the mutex. fn must neither
// change nor retain the state.
func (m *StateMachine) View(fn func(s *State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn(&m.state)
}

// Apply implements carobrock.StateMachine. The result is a
// *carobrock.JobResult, or an error if the command cannot be decoded.
func (m *StateMachine) Apply(_ uint64, command []byte) any {
	c, err := carobrock.DecodeJobCommand(command)
	if err != nil {
		return err
	}
	m.mu.Lock()
	res := m.state.applyCommand(c, m.RetentionMillis)
	m.summaries.update(&m.state)
	m.mu.Unlock()
	if m.OnChange != nil {
		m.OnChange()
	}
	return res
}

// applyCommand applies the parts of a command in a fixed order, ends of runs
// and checkpoints before assignments, and deletes the ended jobs and worker
// incarnations whose retention is over.
func (s *State) applyCommand(c *carobrock.JobCommand, retentionMillis int64) *carobrock.JobResult {
	res := &carobrock.JobResult{}
	if c.Configuration != nil {
		s.applyConfiguration(c.Configuration)
	}
	for _, z := range c.Zones {
		res.Zones = append(res.Zones, s.setZone(z))
	}
	for i := range c.Submit {
		res.Submitted = append(res.Submitted, s.submitJob(&c.Submit[i], c.AtUnixMillis))
	}
	for _, k := range c.Cancel {
		res.Cancelled = append(res.Cancelled, s.cancelJob(k, c.AtUnixMillis))
	}
	for i := range c.Ends {
		s.recordEnds(&c.Ends[i], c.AtUnixMillis)
	}
	for i := range c.Lost {
		s.recordLostWorker(&c.Lost[i], c.AtUnixMillis, res)
	}
	for _, incarnation := range c.Survivors {
		s.recordSurvivor(incarnation)
	}
	for i := range c.Proven {
		s.recordProven(&c.Proven[i])
	}
	for _, w := range c.Withdrawn {
		s.removeRun(w.Incarnation, carobrock.Run{Task: w.Task, Attempt: w.Attempt})
	}
	for i := range c.Checkpoints {
		s.recordRunCheckpoint(&c.Checkpoints[i])
	}
	for i := range c.Assign {
		s.assignTask(&c.Assign[i])
	}
	for i := range c.Isolated {
		s.recordIsolated(&c.Isolated[i])
	}
	for _, m := range c.Machines {
		if rec := s.Workers[m.Incarnation]; rec != nil {
			rec.Machine = m.Machine
		}
	}
	for i := range c.Waves {
		s.startWave(&c.Waves[i], c.AtUnixMillis)
	}
	for _, m := range c.StartedMaintenance {
		if w := s.Waves[m.Wave]; w != nil {
			w.StartedMachines[m.Machine] = true
		}
	}
	if c.Interference != nil {
		s.Interference = c.Interference
	}
	s.LeaseMillis = max(s.LeaseMillis, c.LeaseMillis)
	s.deleteExpiredJobs(c.AtUnixMillis - retentionMillis)
	s.deleteExpiredWorkers(c.AtUnixMillis - retentionMillis)
	s.deleteExpiredEarlyCancels(c.AtUnixMillis - retentionMillis)
	return res
}

func (s *State) applyConfiguration(c *carobrock.Configuration) {
	if s.Configuration != nil && c.Version <= s.Configuration.Version {
		return
	}
	s.Configuration = c
	s.indexQueues()
	s.dropBuckets()
	for _, j := range s.Open {
		if q := s.queues[j.Spec.Queue]; q != nil {
			j.Queue = *q
		}
	}
}

func (s *State) startWave(w *carobrock.MaintenanceWave, atMillis int64) {
	if s.Waves[w.Number] == nil {
		s.Waves[w.Number] = &Wave{MaintenanceWave: *w, StartedUnixMillis: atMillis, StartedMachines: map[string]bool{}}
	}
}

// submitJob adds a job. It returns false if the ID belongs to a job of another
// queue or client account. A job that was cancelled before ends at once: its submission was held up on
// its way, and its caller was told that there is no such job.
func (s *State) submitJob(spec *carobrock.JobSpec, atMillis int64) bool {
	if j := s.Jobs[spec.ID]; j != nil {
		return j.Spec.Queue == spec.Queue && j.IsAccessibleTo(spec.Account)
	}
	s.SubmitCount++
	j := &Job{
		Spec: *spec, SubmitNumber: s.SubmitCount, State: carobrock.JobPending, SubmittedUnixMillis: atMillis,
		OpenOccurrences: spec.Occurrences(), ExceedsRate: s.exceedsRate(spec.Account, atMillis),
	}
	if q := s.queues[spec.Queue]; q != nil {
		j.Queue = *q
	}
	s.Jobs[spec.ID] = j
	s.Open = append(s.Open, j)
	s.changedJobs = append(s.changedJobs, spec.ID)
	if s.earlyCancelled[carobrock.JobKey{ID: spec.ID, Queue: spec.Queue}] {
		s.endJob(j, carobrock.JobCancelled, atMillis)
	}
	return true
}

// cancelJob cancels a job. It returns false if the queue has no job with this ID.
func (s *State) cancelJob(k carobrock.JobKey, atMillis int64) bool {
	j := s.Jobs[k.ID]
	if j == nil {
		s.recordEarlyCancel(k, atMillis)
		return false
	}
	if j.Spec.Queue != k.Queue {
		return false
	}
	s.endJob(j, carobrock.JobCancelled, atMillis)
	return true
}

// markJobRunning records that a task of j was assigned.
func (s *State) markJobRunning(j *Job) {
	if j.State == carobrock.JobPending {
		j.State = carobrock.JobRunning
		s.changedJobs = append(s.changedJobs, j.Spec.ID)
	}
}

// endJob moves an open job to its final state. Its runs remain in the records of
// their workers until they end.
func (s *State) endJob(j *Job, state carobrock.JobState, atMillis int64) {
	if !j.IsOpen() {
		return
	}
	j.State, j.EndedUnixMillis = state, atMillis
	s.changedJobs = append(s.changedJobs, j.Spec.ID)
	j.forEachRun(func(_ carobrock.TaskRef, r *TaskRun) { s.markChanged(r.Incarnation) })
	j.Spec.Steps, j.Spec.Payload, j.Started, j.Touched, j.ActiveCount = nil, "", nil, nil, 0
	maps.DeleteFunc(s.Suspects, func(ref carobrock.TaskRef, _ bool) bool { return ref.Job == j.Spec.ID })
	position, _ := slices.BinarySearchFunc(s.ended, j, compareEnds)
	s.ended = slices.Insert(s.ended, position, j)
	for i, o := range s.Open {
		if o == j {
			s.Open = append(s.Open[:i], s.Open[i+1:]...)
			return
		}
	}
}

// compareEnds orders ended jobs by the time of their end, then by submission.
func compareEnds(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.EndedUnixMillis, b.EndedUnixMillis), cmp.Compare(a.SubmitNumber, b.SubmitNumber))
}

// deleteExpiredJobs deletes the jobs that ended before a time in milliseconds
// since 1970.
func (s *State) deleteExpiredJobs(beforeMillis int64) {
	n := 0
	for n < len(s.ended) && s.ended[n].EndedUnixMillis < beforeMillis {
		delete(s.Jobs, s.ended[n].Spec.ID)
		s.changedJobs = append(s.changedJobs, s.ended[n].Spec.ID)
		n++
	}
	s.ended = s.ended[n:]
}

// Snapshot implements carobrock.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	saved := savedState{State: &m.state}
	for incarnation, x := range m.state.Workers {
		saved.Workers = append(saved.Workers, savedWorker{
			Incarnation: incarnation, LastEndNumber: x.LastEndNumber, InactiveRuns: m.state.inactiveRuns(incarnation, x),
			Machine: x.Machine, LostRuns: x.LostRuns, Isolated: slices.Collect(maps.Keys(x.Isolated)), EndedUnixMillis: x.EndedUnixMillis,
		})
	}
	return cbor.Marshal(&saved)
}

// snapshotDecoder decodes snapshots. A snapshot holds as many elements as the state
// machine that took it, so that no smaller limit applies than the library's largest.
var snapshotDecoder = newSnapshotDecoder()

func newSnapshotDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constants that the library accepts
	}
	return mode
}

// Restore implements carobrock.StateMachine. It returns ErrSnapshot if data
// cannot be decoded.
func (m *StateMachine) Restore(_ uint64, data []byte) error {
	saved := savedState{State: &State{}}
	if err := snapshotDecoder.Unmarshal(data, &saved); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	m.mu.Lock()
	m.state = *saved.State
	m.state.initMaps()
	m.state.rebuildIndexes(saved.Workers)
	m.summaries.replace(&m.state)
	m.mu.Unlock()
	if m.OnChange != nil {
		m.OnChange()
	}
	return nil
}
