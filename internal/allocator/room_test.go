package allocator_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/pacer"
)

// roomOf returns the room of an account that may start the given amounts more.
func roomOf(milli, mem int64) *allocator.Room { return &allocator.Room{Size: capacity(milli, mem)} }

// Guards against assignments beyond the limit of a client account.
func TestPlaceKeepsToTheRoomOfAnAccount(t *testing.T) {
	one := carobrock.Step{Size: capacity(1000, 100)}
	gang := carobrock.Step{Size: capacity(1000, 100), Gang: true}
	filler := carobrock.Step{Size: capacity(1000, 100), Filler: true}
	const plenty = 1 << 40
	for _, test := range []struct {
		name     string
		room     *allocator.Room
		requests []allocator.Request
		// isolated marks the requests as isolated.
		isolated bool
		want     int
		wantHeld []int
		wantRoom carobrock.Capacity
	}{
		{name: "processors", room: roomOf(2500, plenty), requests: []allocator.Request{newRequest(4, one)}, want: 2, wantHeld: []int{2}, wantRoom: capacity(500, plenty-200)},
		{name: "memory", room: roomOf(plenty, 350), requests: []allocator.Request{newRequest(4, one)}, want: 3, wantHeld: []int{1}, wantRoom: capacity(plenty-3000, 50)},
		{name: "shared by requests", room: roomOf(3000, plenty), requests: []allocator.Request{newRequest(2, one), newRequest(2, one)}, want: 3, wantHeld: []int{0, 1}, wantRoom: capacity(0, plenty-300)},
		{name: "fillers count in full", room: roomOf(1000, plenty), requests: []allocator.Request{newRequest(4, filler)}, want: 1, wantHeld: []int{3}, wantRoom: capacity(0, plenty-100)},
		{name: "gang beyond the limit", room: roomOf(2999, plenty), requests: []allocator.Request{newRequest(3, gang)}, want: 0, wantHeld: []int{3}, wantRoom: capacity(2999, plenty)},
		{name: "gang at the limit", room: roomOf(3000, plenty), requests: []allocator.Request{newRequest(3, gang)}, want: 3, wantHeld: []int{0}, wantRoom: capacity(0, plenty-300)},
		{name: "gang that finds no workers", room: roomOf(9000, plenty), requests: []allocator.Request{newRequest(9, gang)}, want: 0, wantHeld: []int{0}, wantRoom: capacity(9000, plenty)},
		{name: "isolated", room: roomOf(500, plenty), isolated: true, requests: []allocator.Request{newRequest(1, one)}, want: 0, wantHeld: []int{1}, wantRoom: capacity(500, plenty)},
		{name: "isolated gang that finds no workers", room: roomOf(9000, plenty), isolated: true, requests: []allocator.Request{newRequest(9, gang)}, want: 0, wantHeld: []int{0}, wantRoom: capacity(9000, plenty)},
		{name: "limit lowered below the usage", room: roomOf(plenty, -1), requests: []allocator.Request{newRequest(1, carobrock.Step{Size: capacity(1000, 0)})}, want: 0, wantHeld: []int{1}, wantRoom: capacity(plenty, -1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			for i := range test.requests {
				test.requests[i].Room, test.requests[i].IsIsolated = test.room, test.isolated
			}
			// Any request beyond the room would find capacity, but for the large gangs.
			a := &allocator.Allocator{Model: &pacer.Model{}}
			got := a.Place(test.requests, []*allocator.Worker{newWorker("a", "r1", 4), newWorker("b", "r1", 4)}, 100)
			var held []int
			for i := range test.requests {
				held = append(held, test.requests[i].HeldCount)
			}
			if len(got) != test.want {
				t.Errorf("%d assignments, want %d", len(got), test.want)
			}
			if diff := cmp.Diff(test.wantHeld, held); diff != "" {
				t.Errorf("tasks held back (-want +got):\n%s", diff)
			}
			// The accelerators are not limited by these rooms of zero, as no task has any.
			if diff := cmp.Diff(test.wantRoom, test.room.Size); diff != "" {
				t.Errorf("room (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against tasks that do not count as held back by the limit of their account
// because the workers are full as well.
func TestTasksBeyondTheRoomCountAsHeldBackOnFullWorkers(t *testing.T) {
	first, limited := newRequest(9, carobrock.Step{Size: capacity(1000, 100)}), newRequest(3, carobrock.Step{Size: capacity(1000, 100)})
	limited.Room = roomOf(0, 1000)
	requests := []allocator.Request{first, limited}
	a := &allocator.Allocator{Model: &pacer.Model{}}
	if n := len(a.Place(requests, []*allocator.Worker{newWorker("a", "r1", 4)}, 100)); n != 4 || requests[1].HeldCount != 3 {
		t.Errorf("%d assignments and %d tasks held back, want 4 and 3", n, requests[1].HeldCount)
	}
}

// Guards against tasks of other accounts that wait because an equal or smaller request
// was held back by the limit of its account.
func TestLimitOfOneAccountDoesNotBlockOthers(t *testing.T) {
	for _, room := range []*allocator.Room{roomOf(0, 1000), roomOf(1500, 1000)} {
		limited, free := newRequest(3, carobrock.Step{Size: capacity(1000, 100)}), newRequest(2, carobrock.Step{Size: capacity(1000, 100)})
		limited.Room, free.Job = room, "free"
		a := &allocator.Allocator{Model: &pacer.Model{}}
		placed := 0
		for _, x := range a.Place([]allocator.Request{limited, free}, []*allocator.Worker{newWorker("a", "r1", 4)}, 100) {
			if x.Task.Job == "free" {
				placed++
			}
		}
		if placed != 2 {
			t.Errorf("%d tasks of the account without a limit placed, want 2", placed)
		}
	}
}
