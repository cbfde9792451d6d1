package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/replicator"
)

// tableInput is an operation by an operator on the table of routes.
type tableInput struct {
	read  bool
	base  uint64 // base version of a change
	route string // name of the only route that the change sets
}

// tableOutput is the result of an operation.
type tableOutput struct {
	unknown  bool // the operation timed out; a change may have been made
	conflict bool
	version  uint64
	route    string // result of a read
}

// tableState is the state of the table in the model.
type tableState struct {
	version uint64
	route   string
}

// tableModel is the sequential specification: a change succeeds only if its base
// is the current version, and a read returns the current content.
var tableModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{tableState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(tableState), input.(tableInput), output.(tableOutput)
		changed := tableState{s.version + 1, in.route}
		switch {
		case in.read && out.unknown:
			return []any{s}
		case in.read:
			if out.version == s.version && out.route == s.route {
				return []any{s}
			}
			return nil
		case out.unknown && in.base == s.version:
			return []any{s, changed}
		case out.unknown:
			return []any{s}
		case out.conflict:
			if in.base != s.version && out.version == s.version {
				return []any{s}
			}
			return nil
		case in.base == s.version && out.version == changed.version:
			return []any{changed}
		default:
			return nil
		}
	},
}

const (
	operatorCount         = 4
	operationsPerOperator = 40
	operationTimeout      = 8 * time.Second
)

// operatorClient is an operator that runs operations concurrently with the
// others.
type operatorClient struct {
	cluster      *cluster
	id           int
	rand         *rand.Rand
	knownVersion uint64 // newest version known to the operator
	ops          []porcupine.Operation
}

func (o *operatorClient) runOperations(start time.Time) {
	for i := range operationsPerOperator {
		in := tableInput{read: o.rand.IntN(3) == 0, base: o.knownVersion, route: fmt.Sprintf("r-%d-%d", o.id, i)}
		called := time.Since(start)
		out := o.runOperation(in, fmt.Sprintf("change-%d-%d", o.id, i))
		o.ops = append(o.ops, porcupine.Operation{
			ClientId: o.id, Input: in, Output: out, Call: int64(called), Return: int64(time.Since(start)),
		})
		if !out.unknown {
			o.knownVersion = out.version
		}
		time.Sleep(time.Duration(o.rand.Int64N(int64(400 * time.Millisecond))))
	}
}

// runOperation runs an operation on any replica that accepts it. A change whose
// response is lost is sent again with the same change ID.
func (o *operatorClient) runOperation(in tableInput, changeID string) tableOutput {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	for ctx.Err() == nil {
		running := o.cluster.runningNodes()
		if len(running) == 0 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		out, ok := o.tryOperation(ctx, running[o.rand.IntN(len(running))], in, changeID)
		if ok {
			return out
		}
		time.Sleep(20 * time.Millisecond)
	}
	return tableOutput{unknown: true}
}

func (o *operatorClient) tryOperation(ctx context.Context, nd *node, in tableInput, changeID string) (tableOutput, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, k := nd.replicaAndKeeper()
	if in.read {
		if _, err := r.ReadIndex(ctx); err != nil {
			return tableOutput{}, false
		}
		t := k.Routes()
		out := tableOutput{version: t.Version}
		if len(t.Rows) > 0 {
			out.route = t.Rows[0].Name
		}
		return out, true
	}
	res, err := proposeTable(ctx, r, changeID, in.base, in.route)
	if err != nil {
		return tableOutput{}, false
	}
	return tableOutput{conflict: res.Code == carobrock.CodeConflict, version: res.Version}, true
}

// proposeTable proposes a table with one route.
func proposeTable(ctx context.Context, r *replicator.Replica, changeID string, base uint64, row string) (*carobrock.Result, error) {
	cmd := &carobrock.Command{ChangeID: changeID, PutTable: &carobrock.PutTable{
		Table: carobrock.TableRoutes, BaseVersion: base,
		Routes: []carobrock.Route{{Name: row, PathPrefix: "/" + row, Pool: "p"}},
	}}
	data, err := cmd.Encode()
	if err != nil {
		return nil, err
	}
	value, err := r.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	return value.(*carobrock.Result), nil
}

// injectFaults kills, isolates, pauses and restarts replicas and makes leaders
// transfer leadership until stop is closed. It chooses the leader more often
// than other replicas, and occasionally restarts all replicas.
func injectFaults(c *cluster, rnd *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.Int64N(int64(700 * time.Millisecond)))):
		}
		nd := chooseNode(c, rnd)
		length := time.Duration(rnd.Int64N(int64(2 * time.Second)))
		switch rnd.IntN(7) {
		case 0:
			nd.resume()
			nd.kill()
			time.Sleep(length)
			nd.start()
		case 1:
			c.setIsolated(nd, true)
			time.Sleep(length)
			c.setIsolated(nd, false)
		case 2:
			nd.pause()
			time.Sleep(length)
			nd.resume()
		case 3:
			other := c.nodes[rnd.IntN(len(c.nodes))]
			c.setLinkCut(nd, other, nd != other)
			time.Sleep(length)
			c.setLinkCut(nd, other, false)
		case 4:
			c.setSendLoss(nd, true)
			time.Sleep(length)
			c.setSendLoss(nd, false)
		case 5:
			restartAll(c, rnd)
		case 6:
			r, _ := nd.replicaAndKeeper()
			ctx, cancel := context.WithTimeout(context.Background(), length)
			_, _ = r.TransferLeadership(ctx) // fails if the replica does not lead or was just killed
			cancel()
		}
	}
}

// chooseNode returns the leader in half of the cases, else a random node.
func chooseNode(c *cluster, rnd *rand.Rand) *node {
	if rnd.IntN(2) == 0 {
		for _, nd := range c.runningNodes() {
			if r, _ := nd.replicaAndKeeper(); r.RemainingLease() > 0 {
				return nd
			}
		}
	}
	return c.nodes[rnd.IntN(len(c.nodes))]
}

// restartAll kills all replicas within a few milliseconds of each other and
// starts them in a different order.
func restartAll(c *cluster, rnd *rand.Rand) {
	for _, i := range rnd.Perm(len(c.nodes)) {
		c.nodes[i].kill()
		time.Sleep(time.Duration(rnd.Int64N(int64(3 * time.Millisecond))))
	}
	for _, i := range rnd.Perm(len(c.nodes)) {
		c.nodes[i].start()
		time.Sleep(time.Duration(rnd.Int64N(int64(300 * time.Millisecond))))
	}
}

// TestHistoryIsLinearizable lets four operators run and resend operations while
// replicas are killed, isolated, paused and restarted, and checks that the
// history is linearizable with respect to tableModel.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 24; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHistory(t, seed, newCluster(t, seed, 3+2*int(seed%2)), injectFaults) })
		})
	}
}

// checkHistory runs the operators against c while each of the injectors runs.
func checkHistory(t *testing.T, seed uint64, c *cluster, injectors ...func(c *cluster, rnd *rand.Rand, stop <-chan struct{})) {
	c.setLossRate(0.02)
	c.waitForLeader()
	start := time.Now()
	var operatorClients []*operatorClient
	clients := conc.NewWaitGroup()
	for id := range operatorCount {
		o := &operatorClient{cluster: c, id: id, rand: rand.New(rand.NewPCG(seed, uint64(id)+100))}
		operatorClients = append(operatorClients, o)
		clients.Go(func() { o.runOperations(start) })
	}
	stop := make(chan struct{})
	running := conc.NewWaitGroup()
	for i, inject := range injectors {
		running.Go(func() { inject(c, rand.New(rand.NewPCG(seed, 99+uint64(i))), stop) })
	}
	clients.Wait()
	close(stop)
	running.Wait()
	var ops []porcupine.Operation
	withKnownResult := 0
	for _, o := range operatorClients {
		for _, op := range o.ops {
			if op.Output.(tableOutput).unknown {
				op.Return = int64(time.Hour)
			} else {
				withKnownResult++
			}
			ops = append(ops, op)
		}
	}
	c.stop()
	if withKnownResult < len(ops)/2 {
		t.Errorf("only %d of %d operations had a known result", withKnownResult, len(ops))
	}
	checkOperations(t, ops)
}

func checkOperations(t *testing.T, ops []porcupine.Operation) {
	t.Helper()
	model := tableModel.ToModel()
	if porcupine.CheckOperationsTimeout(model, ops, time.Minute) == porcupine.Ok {
		return
	}
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	for _, op := range ops {
		t.Logf("%d: %+v -> %+v from %v to %v", op.ClientId, op.Input, op.Output, time.Duration(op.Call), time.Duration(op.Return))
	}
	t.Error("the history is not linearizable")
}

var errTimeout = errors.New("condition not met within a minute")

// waitFor polls until ok returns true, for at most one minute of virtual time.
func waitFor(ok func() bool) error {
	for range 6000 {
		if ok() {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errTimeout
}
