package sharer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/sharer"
)

func size(milli, mem int64) carobrock.Capacity {
	return carobrock.Capacity{MilliCPU: milli, MemoryMB: mem}
}

// Guards against another order in deployments without accounts.
func TestOrderWithoutAccountsIsThatOfTheRequests(t *testing.T) {
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var requests []sharer.Request
		var want []sharer.Part
		for i := range rnd.IntN(50) {
			requests = append(requests, sharer.Request{Size: size(rnd.Int64N(4000), rnd.Int64N(4000)), Count: 1 + rnd.IntN(40), Tier: sharer.Tier(rnd.IntN(int(sharer.Excess) + 1))})
			want = append(want, sharer.Part{Request: i, Count: requests[i].Count})
		}
		if diff := cmp.Diff(want, sharer.Order(requests, nil, size(10000, 10000)), equateEmpty); diff != "" {
			t.Errorf("seed %d: order (-want +got):\n%s", seed, diff)
		}
	}
}

var equateEmpty = cmp.FilterValues(func(a, b []sharer.Part) bool { return len(a)+len(b) == 0 }, cmp.Ignore())

// TestOrderIsComplete checks that each task is in the order once, that the requests of
// an account keep their order within a tier, that gangs stay whole, and that the number
// of parts is bounded.
func TestOrderIsComplete(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		accounts := make([]sharer.Account, 1+rnd.IntN(8))
		for i := range accounts {
			accounts[i] = sharer.Account{Weight: []float64{0, 0.01, 1, 1, 3, 1e6}[rnd.IntN(6)], Usage: size(rnd.Int64N(20_000), rnd.Int64N(20_000))}
		}
		requests := make([]sharer.Request, rnd.IntN(60))
		for i := range requests {
			requests[i] = sharer.Request{
				Account: rnd.IntN(len(accounts)), Size: size(rnd.Int64N(3)*500, rnd.Int64N(3)*500), Count: 1 + rnd.IntN(200),
				IsGang: rnd.IntN(4) == 0, Tier: sharer.Tier(rnd.IntN(int(sharer.Excess) + 1)),
			}
		}
		total := []carobrock.Capacity{{}, size(16_000, 0), size(16_000, 64_000)}[rnd.IntN(3)]
		parts := sharer.Order(requests, accounts, total)
		next, last, tier := make([]int, len(requests)), map[string]int{}, sharer.Isolated
		for _, p := range parts {
			r := &requests[p.Request]
			inTier := r.Tier
			if inTier == sharer.Started && tier == sharer.Entitled {
				inTier = sharer.Entitled // beyond the share of the account
			}
			key := fmt.Sprint(r.Account, inTier)
			switch {
			case inTier < tier:
				t.Fatalf("seed %d: tier %d after tier %d", seed, r.Tier, tier)
			case p.First != next[p.Request], p.Count < 1, p.First+p.Count > r.Count, r.IsGang && p.Count != r.Count:
				t.Fatalf("seed %d: part %+v of %+v after %d tasks", seed, p, r, next[p.Request])
			case p.Request < last[key]:
				t.Fatalf("seed %d: request %d of account %d after %d", seed, p.Request, r.Account, last[key])
			}
			tier, last[key] = inTier, p.Request
			next[p.Request] += p.Count
		}
		for i := range requests {
			if next[i] != requests[i].Count {
				t.Fatalf("seed %d: %d of %d tasks of request %d in the order", seed, next[i], requests[i].Count, i)
			}
		}
		// Requests are split in all tiers but the first, at most 16 times for each account,
		// and one of each account where its share ends.
		if bound := len(requests) + (int(sharer.Excess)*16+1)*len(accounts); len(parts) > bound {
			t.Errorf("seed %d: %d parts, want at most %d", seed, len(parts), bound)
		}
	}
}

func TestOrder(t *testing.T) {
	one := size(1000, 0)
	for _, test := range []struct {
		name     string
		accounts []sharer.Account
		requests []sharer.Request
		total    carobrock.Capacity
		want     string // accounts of the first tasks
	}{
		{
			name: "weights 3 and 1", accounts: []sharer.Account{{Weight: 3}, {Weight: 1}}, total: size(8000, 0),
			requests: []sharer.Request{{Account: 1, Size: one, Count: 50, Tier: sharer.Entitled}, {Account: 0, Size: one, Count: 50, Tier: sharer.Entitled}},
			want:     "10001000",
		},
		{
			name: "the account that has less catches up", accounts: []sharer.Account{{Weight: 1, Usage: size(3000, 0)}, {Weight: 1}}, total: size(8000, 0),
			requests: []sharer.Request{{Account: 0, Size: one, Count: 50, Tier: sharer.Entitled}, {Account: 1, Size: one, Count: 50, Tier: sharer.Entitled}},
			want:     "11101010",
		},
		{
			// The example of Ghodsi et al., section 4.1: 9 cores and 18 GB, tasks of 1 core
			// and 4 GB, and of 3 cores and 1 GB. Three tasks of the one and two of the other
			// fit, and each account gets two thirds of its dominant resource.
			name: "dominant resources", accounts: []sharer.Account{{Weight: 1}, {Weight: 1}}, total: size(9000, 18_000),
			requests: []sharer.Request{{Account: 0, Size: size(1000, 4000), Count: 9, Tier: sharer.Entitled}, {Account: 1, Size: size(3000, 1000), Count: 9, Tier: sharer.Entitled}},
			want:     "01010",
		},
		{
			name: "services first", accounts: []sharer.Account{{Weight: 1}, {Weight: 1, Usage: size(8000, 0)}}, total: size(8000, 0),
			requests: []sharer.Request{{Account: 0, Size: one, Count: 2, Tier: sharer.Entitled}, {Account: 1, Size: one, Count: 2, Tier: sharer.Services}},
			want:     "1100",
		},
		{
			name: "beyond the rate last", accounts: []sharer.Account{{Weight: 1}, {Weight: 1, Usage: size(8000, 0)}}, total: size(8000, 0),
			requests: []sharer.Request{{Account: 0, Size: one, Count: 2, Tier: sharer.Excess}, {Account: 1, Size: one, Count: 2, Tier: sharer.Entitled}},
			want:     "1100",
		},
		{
			name: "started jobs first within the share", accounts: []sharer.Account{{Weight: 1}, {Weight: 1, Usage: size(1000, 0)}}, total: size(8000, 0),
			requests: []sharer.Request{{Account: 0, Size: one, Count: 50, Tier: sharer.Entitled}, {Account: 1, Size: one, Count: 50, Tier: sharer.Started}},
			want:     "11100000101",
		},
		{
			name: "no started jobs first beyond the share", accounts: []sharer.Account{{Weight: 1}, {Weight: 1, Usage: size(8000, 0)}}, total: size(8000, 0),
			requests: []sharer.Request{{Account: 1, Size: one, Count: 50, Tier: sharer.Started}, {Account: 0, Size: one, Count: 3, Tier: sharer.Entitled}},
			want:     "00011",
		},
		{
			name: "weight zero last", accounts: []sharer.Account{{}, {Weight: 1, Usage: size(8000, 0)}, {Usage: size(2000, 0)}}, total: size(8000, 0),
			requests: []sharer.Request{{Account: 2, Size: one, Count: 2, Tier: sharer.Entitled}, {Account: 0, Size: one, Count: 2, Tier: sharer.Entitled}, {Account: 1, Size: one, Count: 2, Tier: sharer.Entitled}},
			want:     "110022",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			for _, p := range sharer.Order(test.requests, test.accounts, test.total) {
				for range p.Count {
					got += fmt.Sprint(test.requests[p.Request].Account)
				}
			}
			if got = got[:min(len(got), len(test.want))]; got != test.want {
				t.Errorf("accounts of the tasks: %s, want %s", got, test.want)
			}
		})
	}
}

// BenchmarkOrder orders 800 requests of 20 accounts for a fleet of 350 workers.
func BenchmarkOrder(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 1))
	accounts := make([]sharer.Account, 20)
	for i := range accounts {
		accounts[i] = sharer.Account{Weight: 1 + rnd.Float64()*20, Usage: size(rnd.Int64N(500_000), rnd.Int64N(2_000_000))}
	}
	requests := make([]sharer.Request, 800)
	for i := range requests {
		requests[i] = sharer.Request{Account: rnd.IntN(20), Size: size(500+rnd.Int64N(2000), 100+rnd.Int64N(4000)), Count: 1 + rnd.IntN(40), Tier: sharer.Entitled + sharer.Tier(rnd.IntN(2))}
	}
	parts := 0
	for b.Loop() {
		parts = len(sharer.Order(requests, accounts, size(350*16_000, 350*64_000)))
	}
	b.ReportMetric(float64(parts), "parts")
}
