package bookkeeper_test

import (
	"testing"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// reload restores m from its own snapshot.
func reload(t *testing.T, m *bookkeeper.StateMachine, index uint64) {
	t.Helper()
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Restore(index, snapshot); err != nil {
		t.Fatal(err)
	}
}

// Guards against a change of an availability zone that was held up on its way and
// undoes a later one.
func TestHeldUpZoneChangeHasNoEffect(t *testing.T) {
	type change struct {
		out  bool
		base uint64
		want bool // whether the zone is as the change requests
	}
	for _, test := range []struct {
		name    string
		changes []change
		wantOut bool
	}{
		{"taken out and returned", []change{{true, 1, true}, {false, 2, true}}, false},
		{"late return", []change{{true, 1, true}, {false, 2, true}, {true, 3, true}, {false, 2, false}}, true},
		{"late copy of the order that is in force", []change{{true, 1, true}, {true, 1, true}}, true},
		{"copies of one order on both sides of the return", []change{{true, 1, true}, {false, 2, true}, {true, 1, false}}, false},
		{"given up return, zone taken out once more", []change{{true, 1, true}, {true, 2, true}, {false, 2, false}}, true},
		{"copy that changed nothing makes no version", []change{{true, 1, true}, {true, 1, true}, {false, 2, true}}, false},
		{"changes of an earlier release apply", []change{{true, 1, true}, {false, 0, true}, {true, 2, true}}, true},
		{"version given out before the restore from an earlier snapshot", []change{{true, 5, true}, {false, 5, false}, {false, 6, true}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := &bookkeeper.StateMachine{}
			m.Prepare()
			for i, c := range test.changes {
				data, err := (&carobrock.JobCommand{Zones: []carobrock.ZoneChange{{Name: "az1", OutOfService: c.out, BaseVersion: c.base}}}).Encode()
				if err != nil {
					t.Fatal(err)
				}
				res, ok := m.Apply(uint64(i+1), data).(*carobrock.JobResult)
				if !ok || len(res.Zones) != 1 || res.Zones[0] != c.want {
					t.Errorf("change %d: result %+v, want %t", i, res, c.want)
				}
				reload(t, m, uint64(i+1))
			}
			m.View(func(s *bookkeeper.State) {
				if s.OutOfServiceZones["az1"] != test.wantOut {
					t.Errorf("out of service: %t, want %t", !test.wantOut, test.wantOut)
				}
			})
		})
	}
}
