package bookkeeper_test

import (
	"math/rand/v2"
	"testing"

	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// TestNumberSet compares a set with a map.
func TestNumberSet(t *testing.T) {
	const limit = 300 // more than the numbers in the sets
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		var s bookkeeper.NumberSet
		reference := map[int]bool{}
		for range rnd.IntN(250) {
			n := rnd.IntN(1 + int(seed)*5)
			s.Add(n)
			reference[n] = true
		}
		count := 0
		for n := range limit {
			next, previous := n, n
			for reference[next] {
				next++
			}
			for reference[previous] {
				previous--
			}
			if s.Has(n) != reference[n] || s.NextMissing(n) != next || s.PreviousMissing(n) != previous || s.CountBelow(n) != count {
				t.Fatalf("seed %d, number %d: has %v, next %d, previous %d, count %d, want %v, %d, %d, %d", seed, n,
					s.Has(n), s.NextMissing(n), s.PreviousMissing(n), s.CountBelow(n), reference[n], next, previous, count)
			}
			if reference[n] {
				count++
			}
		}
	}
}
