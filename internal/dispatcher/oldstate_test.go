package dispatcher_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/locator"
)

// accountsConfiguration returns a configuration with the account a and the given keys.
func accountsConfiguration(version int64, keys ...string) *carobrock.Configuration {
	c := &carobrock.Configuration{
		Version: version, Pools: []carobrock.WorkerPool{{Name: "pool"}}, RequiresKeys: true,
		Queues:   []carobrock.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", MaxAttempts: 3, TimeoutMillis: 1000, Public: true}},
		Accounts: []carobrock.ClientAccount{{Name: "a"}},
	}
	for _, key := range keys {
		c.Accounts[0].KeyDigests = append(c.Accounts[0].KeyDigests, carobrock.DigestKey(key))
	}
	return c
}

// applyConfiguration applies a command with c to m.
func applyConfiguration(t *testing.T, m *bookkeeper.StateMachine, c *carobrock.Configuration) {
	t.Helper()
	command, err := (&carobrock.JobCommand{AtUnixMillis: 1, Configuration: c}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(1, command)
}

// snapshotWith returns the snapshot of a state machine with c.
func snapshotWith(t *testing.T, c *carobrock.Configuration) []byte {
	t.Helper()
	m := &bookkeeper.StateMachine{}
	m.Prepare()
	applyConfiguration(t, m, c)
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// Guards against a replica that was restored from an old snapshot and confirms a key
// that was revoked after it.
func TestLeaderRestoredFromAnOldSnapshotConfirmsNoRevokedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snapshot := snapshotWith(t, accountsConfiguration(2, "kept", "revoked"))
		h := prepareHarness(t)
		h.log.setLeader(false)
		h.must(h.stateMachine.Restore(1, snapshot))
		var notLeader *locator.NotLeaderError
		for _, afterVersion := range []int64{-1, 2, 3} {
			if c, err := h.d.WatchConfiguration(context.Background(), afterVersion); c != nil || !errors.As(err, &notLeader) {
				t.Errorf("watch after version %d before the log was applied: error %v, want a NotLeaderError", afterVersion, err)
			}
		}
		applyConfiguration(t, h.stateMachine, accountsConfiguration(3, "kept"))
		h.log.setLeader(true)
		c, err := h.d.WatchConfiguration(context.Background(), 2)
		h.must(err)
		if c == nil || slices.Contains(c.Accounts[0].KeyDigests, carobrock.DigestKey("revoked")) {
			t.Error("the leader did not return the version that revoked the key")
		}
	})
}

// withoutFields removes the fields of a configuration that earlier builds do not know
// from an encoded value.
func withoutFields(t *testing.T, value any) any {
	t.Helper()
	configuration, ok := value.(map[any]any)
	if !ok {
		t.Fatalf("the configuration is a %T", value)
	}
	delete(configuration, uint64(5))
	delete(configuration, uint64(6))
	queues, ok := configuration[uint64(2)].([]any)
	if !ok {
		t.Fatalf("the queues are a %T", configuration[uint64(2)])
	}
	for _, q := range queues {
		delete(q.(map[any]any), uint64(11))
	}
	return configuration
}

// Guards against a state that was written by a build which knows no accounts, and so
// has dropped them, and that cannot be read, requires keys of accounts that are not
// there, or keeps the operators from sending the accounts again.
func TestStateOfABuildWithoutAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var saved map[any]any
		if err := cbor.Unmarshal(snapshotWith(t, accountsConfiguration(2, "k")), &saved); err != nil {
			t.Fatal(err)
		}
		state, ok := saved[uint64(1)].(map[any]any)
		if !ok {
			t.Fatalf("the state is a %T", saved[uint64(1)])
		}
		state[uint64(1)] = withoutFields(t, state[uint64(1)])
		snapshot, err := cbor.Marshal(saved)
		if err != nil {
			t.Fatal(err)
		}
		h := prepareHarness(t)
		h.must(h.stateMachine.Restore(1, snapshot))
		c, err := h.d.WatchConfiguration(context.Background(), -1)
		h.must(err)
		if c == nil || c.Version != 2 || c.RequiresKeys || len(c.Accounts) > 0 || c.Queues[0].Public {
			t.Fatalf("restored %+v, want version 2 without accounts", c)
		}
		// Without a higher version the accounts stay away.
		applyConfiguration(t, h.stateMachine, accountsConfiguration(2, "k"))
		if c, err = h.d.Configuration(context.Background()); err != nil || c.RequiresKeys {
			t.Errorf("the same version was applied again, error %v", err)
		}
		applyConfiguration(t, h.stateMachine, accountsConfiguration(3, "k"))
		c, err = h.d.WatchConfiguration(context.Background(), 2)
		h.must(err)
		if c == nil || !c.RequiresKeys || len(c.Accounts) != 1 || !c.Queues[0].Public {
			t.Error("the accounts of the higher version are not in force")
		}
	})
}

// Guards against commands and snapshots of deployments without accounts that earlier
// builds would write otherwise.
func TestConfigurationWithoutAccountsIsEncodedAsBefore(t *testing.T) {
	c := accountsConfiguration(2)
	c.RequiresKeys, c.Accounts, c.Queues[0].Public = false, nil, false
	data, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[any]any
	if err := cbor.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	before := len(fields)
	queueFields := len(fields[uint64(2)].([]any)[0].(map[any]any))
	withoutFields(t, fields)
	if len(fields) != before || len(fields[uint64(2)].([]any)[0].(map[any]any)) != queueFields {
		t.Error("the encoding has fields that earlier builds do not know")
	}
}
