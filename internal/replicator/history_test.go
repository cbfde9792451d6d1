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

// tableInput is one operation of an operator on the table of routes.
type tableInput struct {
	read bool
	base uint64 // of a change
	row  string // the name of the one route that the change sets
}

// tableOutput is its result.
type tableOutput struct {
	unknown  bool // the operator gave up; the change may have been made
	conflict bool
	version  uint64
	row      string // of a read
}

// tableState is the table as the model knows it.
type tableState struct {
	version uint64
	row     string
}

// tableModel is the sequential behaviour that every history must be explained
// by: a change is made only from the newest version, a read returns the newest
// content.
var tableModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{tableState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(tableState), input.(tableInput), output.(tableOutput)
		made := tableState{s.version + 1, in.row}
		switch {
		case in.read && out.unknown:
			return []any{s}
		case in.read:
			if out.version == s.version && out.row == s.row {
				return []any{s}
			}
			return nil
		case out.unknown && in.base == s.version:
			return []any{s, made}
		case out.unknown:
			return []any{s}
		case out.conflict:
			if in.base != s.version && out.version == s.version {
				return []any{s}
			}
			return nil
		case in.base == s.version && out.version == made.version:
			return []any{made}
		default:
			return nil
		}
	},
}

const (
	operators     = 4
	changesEach   = 40
	operationTime = 8 * time.Second
)

// operatorRun is one operator who races the others.
type operatorRun struct {
	c    *cluster
	id   int
	rand *rand.Rand
	seen uint64 // the version that the operator knows
	ops  []porcupine.Operation
}

func (o *operatorRun) run(start time.Time) {
	for i := range changesEach {
		in := tableInput{read: o.rand.IntN(3) == 0, base: o.seen, row: fmt.Sprintf("r-%d-%d", o.id, i)}
		called := time.Since(start)
		out := o.do(in, fmt.Sprintf("change-%d-%d", o.id, i))
		o.ops = append(o.ops, porcupine.Operation{
			ClientId: o.id, Input: in, Output: out, Call: int64(called), Return: int64(time.Since(start)),
		})
		if !out.unknown {
			o.seen = out.version
		}
		time.Sleep(time.Duration(o.rand.Int64N(int64(400 * time.Millisecond))))
	}
}

// do carries an operation out at whichever replica takes it. A change whose
// answer is lost is sent again with the same change ID.
func (o *operatorRun) do(in tableInput, changeID string) tableOutput {
	ctx, cancel := context.WithTimeout(context.Background(), operationTime)
	defer cancel()
	for ctx.Err() == nil {
		running := o.c.running()
		if len(running) == 0 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		out, ok := o.try(ctx, running[o.rand.IntN(len(running))], in, changeID)
		if ok {
			return out
		}
		time.Sleep(20 * time.Millisecond)
	}
	return tableOutput{unknown: true}
}

func (o *operatorRun) try(ctx context.Context, nd *node, in tableInput, changeID string) (tableOutput, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, k := nd.parts()
	if in.read {
		if _, err := r.Confirm(ctx); err != nil {
			return tableOutput{}, false
		}
		t := k.Routes()
		out := tableOutput{version: t.Version}
		if len(t.Rows) > 0 {
			out.row = t.Rows[0].Name
		}
		return out, true
	}
	res, err := put(ctx, r, changeID, in.base, in.row)
	if err != nil {
		return tableOutput{}, false
	}
	return tableOutput{conflict: res.Code == carobrock.CodeConflict, version: res.Version}, true
}

// put proposes a table of one route.
func put(ctx context.Context, r *replicator.Replica, changeID string, base uint64, row string) (*carobrock.Result, error) {
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

// disturb kills, cuts, freezes and restarts replicas, and has leaders hand over,
// until stop is closed, the
// leader more often than others, and now and then all of them at once.
func disturb(c *cluster, rnd *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.Int64N(int64(700 * time.Millisecond)))):
		}
		nd := victim(c, rnd)
		length := time.Duration(rnd.Int64N(int64(2 * time.Second)))
		switch rnd.IntN(7) {
		case 0:
			nd.thaw()
			nd.kill()
			time.Sleep(length)
			nd.start()
		case 1:
			c.isolate(nd, true)
			time.Sleep(length)
			c.isolate(nd, false)
		case 2:
			nd.freeze()
			time.Sleep(length)
			nd.thaw()
		case 3:
			other := c.nodes[rnd.IntN(len(c.nodes))]
			c.setLink(nd, other, nd != other)
			time.Sleep(length)
			c.setLink(nd, other, false)
		case 4:
			c.mute(nd, true)
			time.Sleep(length)
			c.mute(nd, false)
		case 5:
			restartAll(c, rnd)
		case 6:
			r, _ := nd.parts()
			ctx, cancel := context.WithTimeout(context.Background(), length)
			_, _ = r.HandOver(ctx) // it may not lead, or just have been killed
			cancel()
		}
	}
}

// victim returns the leader half of the time, else any replica.
func victim(c *cluster, rnd *rand.Rand) *node {
	if rnd.IntN(2) == 0 {
		for _, nd := range c.running() {
			if r, _ := nd.parts(); r.LeaseLeft() > 0 {
				return nd
			}
		}
	}
	return c.nodes[rnd.IntN(len(c.nodes))]
}

// restartAll kills all replicas within a few milliseconds and starts them in
// another order.
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

// TestHistoryIsLinearizable lets four operators race and resend while replicas
// are killed, cut off, frozen and restarted, and checks that the history can be
// explained by one table that only moves forwards.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 24; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
		})
	}
}

func checkHistory(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 3+2*int(seed%2))
	c.setLoss(0.02)
	c.leader()
	start := time.Now()
	var runs []*operatorRun
	racers := conc.NewWaitGroup()
	for id := range operators {
		o := &operatorRun{c: c, id: id, rand: rand.New(rand.NewPCG(seed, uint64(id)+100))}
		runs = append(runs, o)
		racers.Go(func() { o.run(start) })
	}
	stop := make(chan struct{})
	nemesis := conc.NewWaitGroup()
	nemesis.Go(func() { disturb(c, rand.New(rand.NewPCG(seed, 99)), stop) })
	racers.Wait()
	close(stop)
	nemesis.Wait()
	var ops []porcupine.Operation
	decided := 0
	for _, o := range runs {
		for _, op := range o.ops {
			if op.Output.(tableOutput).unknown {
				op.Return = int64(time.Hour)
			} else {
				decided++
			}
			ops = append(ops, op)
		}
	}
	c.stop()
	if decided < len(ops)/2 {
		t.Errorf("only %d of %d operations were decided", decided, len(ops))
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

var errNotSeen = errors.New("not seen")

// waitFor polls until ok holds, at most a virtual minute.
func waitFor(ok func() bool) error {
	for range 6000 {
		if ok() {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errNotSeen
}
