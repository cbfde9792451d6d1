package keeper

import (
	"encoding/json"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/charter"
)

// ErrBadSnapshot reports that the bytes are no snapshot of this package.
var ErrBadSnapshot = eris.New("keeper: bad snapshot")

// Bounds of what is kept.
const (
	maxChanges  = 20_000 // change IDs
	maxFinished = 20_000 // finished tasks
	maxRemoved  = 4_096  // removed workers
)

// state is all that is replicated, in the form that a snapshot has.
type state struct {
	Index     uint64               `json:"index"`
	ViewIndex uint64               `json:"viewIndex"`
	Routes    carobrock.RouteTable `json:"routes"`
	Pools     carobrock.PoolTable  `json:"pools"`
	// RoutesIndex and PoolsIndex are where the tables changed last.
	RoutesIndex uint64                     `json:"routesIndex"`
	PoolsIndex  uint64                     `json:"poolsIndex"`
	Zones       map[string]*zoneRow        `json:"zones"`
	VMs         map[string]*vmRow          `json:"vms"`
	Workers     map[string]*workerRow      `json:"workers"`
	Removed     []removedRow               `json:"removed"`
	Tasks       map[string]*carobrock.Task `json:"tasks"`
	// Finished lists the finished tasks, oldest first.
	Finished    []string             `json:"finished"`
	Grants      carobrock.GrantTable `json:"grants"`
	GrantsIndex uint64               `json:"grantsIndex"`
	Keys        map[string]*keyRow   `json:"keys"`
	// Changes lists the window of change IDs, oldest first.
	Changes []changeRow `json:"changes"`
}

type zoneRow struct {
	carobrock.Zone
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
	Index    uint64 `json:"index"`
}

type vmRow struct {
	Down     bool   `json:"down"`
	Sequence uint64 `json:"sequence"`
	Index    uint64 `json:"index"`
}

type workerRow struct {
	carobrock.Worker
	Index uint64 `json:"index"`
}

type removedRow struct {
	Name  string `json:"name"`
	Index uint64 `json:"index"`
}

type changeRow struct {
	ID     string            `json:"id"`
	Hash   uint64            `json:"hash,string"`
	Result *carobrock.Result `json:"result"`
}

// vmUse is what the attempts on a VM hold.
type vmUse struct {
	// size is the sum of their sizes.
	size carobrock.Capacity
	// attempts counts them: an attempt may have the size zero.
	attempts int
}

// Keeper is the state machine. The zero value is empty and ready after Prepare.
type Keeper struct {
	mu        sync.RWMutex
	state     state
	committed map[string]vmUse  // by VM, tasks only; VMs without attempts are left out
	vmWorker  map[string]string // the worker on each VM
	changes   map[string]int    // change ID to its place, plus dropped
	dropped   int               // change IDs dropped so far
	chart     *charter.Chart
}

var _ carobrock.Machine = (*Keeper)(nil)

// Prepare makes an empty state.
func (k *Keeper) Prepare() {
	k.chart = charter.MustLoad("task.yaml")
	k.state = state{
		Zones: map[string]*zoneRow{}, VMs: map[string]*vmRow{}, Workers: map[string]*workerRow{},
		Tasks: map[string]*carobrock.Task{}, Keys: map[string]*keyRow{},
	}
	k.reindex()
}

// reindex rebuilds what is derived from the state.
func (k *Keeper) reindex() {
	k.committed = map[string]vmUse{}
	k.vmWorker = map[string]string{}
	k.changes = map[string]int{}
	k.dropped = 0
	for _, t := range k.state.Tasks {
		if t.HoldsCapacity() {
			k.hold(t)
		}
	}
	for _, w := range k.state.Workers {
		k.vmWorker[w.VM] = w.Name
	}
	for i, c := range k.state.Changes {
		k.changes[c.ID] = i
	}
}

// Apply implements carobrock.Machine. The result is a *carobrock.Result.
func (k *Keeper) Apply(index uint64, command []byte) any {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.Index = index
	c := &carobrock.Command{}
	if err := json.Unmarshal(command, c); err != nil {
		return &carobrock.Result{Code: carobrock.CodeInvalid, Text: "the command is not valid JSON", Index: index}
	}
	if c.ChangeID == "" {
		return k.dispatch(index, c)
	}
	hash := xxhash.Sum64(command)
	if at, ok := k.changes[c.ChangeID]; ok {
		return k.repeated(index, k.state.Changes[at-k.dropped], hash)
	}
	res := k.dispatch(index, c)
	k.remember(changeRow{ID: c.ChangeID, Hash: hash, Result: res})
	return res
}

func (k *Keeper) repeated(index uint64, row changeRow, hash uint64) *carobrock.Result {
	if row.Hash != hash {
		return &carobrock.Result{Code: carobrock.CodeInvalid, Text: "the change ID was used for another change", Index: index}
	}
	return row.Result
}

func (k *Keeper) remember(row changeRow) {
	k.changes[row.ID] = k.dropped + len(k.state.Changes)
	k.state.Changes = append(k.state.Changes, row)
	if len(k.state.Changes) <= maxChanges {
		return
	}
	delete(k.changes, k.state.Changes[0].ID)
	k.state.Changes = k.state.Changes[1:]
	k.dropped++
}

// dispatch applies the part of the command that is set.
func (k *Keeper) dispatch(index uint64, c *carobrock.Command) *carobrock.Result {
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
		refuse(res, carobrock.CodeInvalid, "the command is empty")
	}
	return res
}

func refuse(res *carobrock.Result, code carobrock.ResultCode, text string) {
	res.Code, res.Text = code, text
}

// touchView notes that the change at res.Index is part of the gateways' view.
func (k *Keeper) touchView(res *carobrock.Result) { k.state.ViewIndex = res.Index }

// Snapshot implements carobrock.Machine.
func (k *Keeper) Snapshot() ([]byte, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return json.Marshal(&k.state)
}

// Restore implements carobrock.Machine. It fails with ErrBadSnapshot and then
// changes nothing.
func (k *Keeper) Restore(index uint64, data []byte) error {
	s := state{}
	if err := json.Unmarshal(data, &s); err != nil {
		return eris.Wrap(ErrBadSnapshot, err.Error())
	}
	if s.Zones == nil || s.VMs == nil || s.Workers == nil || s.Tasks == nil || s.Keys == nil {
		return eris.Wrap(ErrBadSnapshot, "a part is missing")
	}
	s.Index = index
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
	k.reindex()
	return nil
}
