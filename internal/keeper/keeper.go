package keeper

import (
	"encoding/json"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/charter"
)

// ErrInvalidSnapshot reports bytes that are not a snapshot of this package.
var ErrInvalidSnapshot = eris.New("keeper: invalid snapshot")

// Limits of the stored history.
const (
	maxChanges  = 20_000 // number of change IDs
	maxFinished = 20_000 // number of finished tasks
	maxRemoved  = 4_096  // number of records of removed workers
)

// state is the replicated state, in the form in which it is stored in a
// snapshot.
type state struct {
	Index     uint64               `json:"index"`
	ViewIndex uint64               `json:"viewIndex"`
	Routes    carobrock.RouteTable `json:"routes"`
	Pools     carobrock.PoolTable  `json:"pools"`
	// RoutesIndex and PoolsIndex are the log indices of the last change of each
	// table.
	RoutesIndex uint64                     `json:"routesIndex"`
	PoolsIndex  uint64                     `json:"poolsIndex"`
	Zones       map[string]*zoneRow        `json:"zones"`
	VMs         map[string]*vmRow          `json:"vms"`
	Workers     map[string]*workerRow      `json:"workers"`
	Removed     []removedRow               `json:"removed"`
	Tasks       map[string]*carobrock.Task `json:"tasks"`
	// Finished lists the IDs of the finished tasks, oldest first.
	Finished    []string             `json:"finished"`
	Grants      carobrock.GrantTable `json:"grants"`
	GrantsIndex uint64               `json:"grantsIndex"`
	Keys        map[string]*keyRow   `json:"keys"`
	// Changes is the window of change IDs used for deduplication, oldest first.
	Changes []changeRow `json:"changes"`
}

// zoneRow is the stored state of an availability zone. Sequence is the sequence
// number of the newest verdict, Version counts the changes by operators, and
// Index is the log index of the last change.
type zoneRow struct {
	carobrock.Zone
	Sequence uint64 `json:"sequence"`
	Index    uint64 `json:"index"`
}

// vmRow is the stored health verdict on a VM.
type vmRow struct {
	Down     bool   `json:"down"`
	Sequence uint64 `json:"sequence"`
	Index    uint64 `json:"index"`
}

// workerRow is a worker with the log index of its last change.
type workerRow struct {
	carobrock.Worker
	Index uint64 `json:"index"`
}

// removedRow records the removal of a worker at a log index.
type removedRow struct {
	Name  string `json:"name"`
	Index uint64 `json:"index"`
}

// changeRow is one entry of the window of change IDs. Hash is the hash of the
// encoded command.
type changeRow struct {
	ID     string            `json:"id"`
	Hash   uint64            `json:"hash,string"`
	Result *carobrock.Result `json:"result"`
}

// vmCommitment is the capacity committed to the task attempts on a VM.
type vmCommitment struct {
	// size is the sum of the sizes of the attempts.
	size carobrock.Capacity
	// attempts is the number of attempts. It is stored separately because an
	// attempt may have size zero.
	attempts int
}

// Keeper is the replicated state machine. Prepare must be called before any
// other method. Its methods are safe for concurrent use after Prepare.
type Keeper struct {
	mu              sync.RWMutex
	state           state
	committed       map[string]vmCommitment // by VM name; excludes services and VMs without attempts
	workerByVM      map[string]string       // worker name by VM name
	changePositions map[string]int          // by change ID: position in state.Changes plus droppedChanges
	droppedChanges  int                     // number of change IDs removed from the window
	chart           *charter.Chart
}

var _ carobrock.StateMachine = (*Keeper)(nil)

// Prepare initializes an empty state.
func (k *Keeper) Prepare() {
	k.chart = charter.MustLoad("task.yaml")
	k.state = state{
		Zones: map[string]*zoneRow{}, VMs: map[string]*vmRow{}, Workers: map[string]*workerRow{},
		Tasks: map[string]*carobrock.Task{}, Keys: map[string]*keyRow{},
	}
	k.reindex()
}

// reindex rebuilds the indexes that are derived from the state.
func (k *Keeper) reindex() {
	k.committed = map[string]vmCommitment{}
	k.workerByVM = map[string]string{}
	k.changePositions = map[string]int{}
	k.droppedChanges = 0
	for _, t := range k.state.Tasks {
		if t.HoldsCapacity() {
			k.commitCapacity(t)
		}
	}
	for _, w := range k.state.Workers {
		k.workerByVM[w.VM] = w.Name
	}
	for i, c := range k.state.Changes {
		k.changePositions[c.ID] = i
	}
}

// Apply implements carobrock.StateMachine. The result is a *carobrock.Result.
func (k *Keeper) Apply(index uint64, command []byte) any {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.Index = index
	c := &carobrock.Command{}
	if err := json.Unmarshal(command, c); err != nil {
		return &carobrock.Result{Code: carobrock.CodeInvalid, Text: "the command is not valid JSON", Index: index}
	}
	if c.ChangeID == "" {
		return k.applyCommand(index, c)
	}
	hash := xxhash.Sum64(command)
	if position, ok := k.changePositions[c.ChangeID]; ok {
		return k.repeatedResult(index, k.state.Changes[position-k.droppedChanges], hash)
	}
	res := k.applyCommand(index, c)
	k.recordChange(changeRow{ID: c.ChangeID, Hash: hash, Result: res})
	return res
}

// repeatedResult returns the result of the first command with the same change
// ID, or a refusal if the two commands differ.
func (k *Keeper) repeatedResult(index uint64, row changeRow, hash uint64) *carobrock.Result {
	if row.Hash != hash {
		return &carobrock.Result{Code: carobrock.CodeInvalid, Text: "the change ID was used for another change", Index: index}
	}
	return row.Result
}

// recordChange adds a result to the window of change IDs and removes the oldest
// entry if the window is full.
func (k *Keeper) recordChange(row changeRow) {
	k.changePositions[row.ID] = k.droppedChanges + len(k.state.Changes)
	k.state.Changes = append(k.state.Changes, row)
	if len(k.state.Changes) <= maxChanges {
		return
	}
	delete(k.changePositions, k.state.Changes[0].ID)
	k.state.Changes = k.state.Changes[1:]
	k.droppedChanges++
}

// applyCommand applies the part of c that is set.
func (k *Keeper) applyCommand(index uint64, c *carobrock.Command) *carobrock.Result {
	res := &carobrock.Result{Index: index}
	switch {
	case c.PutTable != nil:
		k.putTable(c.PutTable, res)
	case c.PutZone != nil:
		k.putZone(c.PutZone, res)
	case c.PutVerdicts != nil:
		k.putVerdicts(c.PutVerdicts, res)
	case c.PutWorkers != nil:
		k.putWorkers(c.PutWorkers, res)
	case c.DropWorkers != nil:
		k.dropWorkers(c.DropWorkers, res)
	case c.SubmitTask != nil:
		k.submitTask(c.SubmitTask, res)
	case c.TaskChanges != nil:
		k.changeTasks(c.TaskChanges, res)
	case c.PutGrants != nil:
		k.putGrants(c.PutGrants, res)
	case c.ClaimKeys != nil:
		k.changeKeys(c.ClaimKeys, res)
	case c.ExpireWindow != nil:
		k.expireKeys(c.ExpireWindow)
	default:
		refuseCommand(res, carobrock.CodeInvalid, "the command is empty")
	}
	return res
}

// refuseCommand sets the code and the explanation of a refused command.
func refuseCommand(res *carobrock.Result, code carobrock.ResultCode, text string) {
	res.Code, res.Text = code, text
}

// markViewChanged records that the change at res.Index affects the gateways'
// views.
func (k *Keeper) markViewChanged(res *carobrock.Result) { k.state.ViewIndex = res.Index }

// Snapshot implements carobrock.StateMachine.
func (k *Keeper) Snapshot() ([]byte, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return json.Marshal(&k.state)
}

// Restore implements carobrock.StateMachine. It returns an error that wraps
// ErrInvalidSnapshot, and leaves the state unchanged, if data is not a valid
// snapshot.
func (k *Keeper) Restore(index uint64, data []byte) error {
	s := state{}
	if err := json.Unmarshal(data, &s); err != nil {
		return eris.Wrap(ErrInvalidSnapshot, err.Error())
	}
	if s.Zones == nil || s.VMs == nil || s.Workers == nil || s.Tasks == nil || s.Keys == nil {
		return eris.Wrap(ErrInvalidSnapshot, "a field of the state is missing")
	}
	s.Index = index
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
	k.reindex()
	return nil
}
