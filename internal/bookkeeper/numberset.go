package bookkeeper

import "math/bits"

// wordBits is the number of elements of a word of a NumberSet.
const wordBits = 64

// NumberSet is a set of numbers from 0, one bit each. Its size follows the largest
// number in it. The last word is not zero.
type NumberSet []uint64

// Has reports whether n is in the set. n must not be negative.
func (s NumberSet) Has(n int) bool {
	return n/wordBits < len(s) && s[n/wordBits]&(1<<(n%wordBits)) != 0
}

// Add adds n, which must not be negative.
func (s *NumberSet) Add(n int) {
	if missing := n/wordBits + 1 - len(*s); missing > 0 {
		*s = append(*s, make([]uint64, missing)...)
	}
	(*s)[n/wordBits] |= 1 << (n % wordBits)
}

// NextMissing returns the smallest number that is at least n and not in the set.
func (s NumberSet) NextMissing(n int) int {
	for ; n/wordBits < len(s); n = (n/wordBits + 1) * wordBits {
		if rest := ^s[n/wordBits] >> (n % wordBits); rest != 0 {
			return n + bits.TrailingZeros64(rest)
		}
	}
	return n
}

// PreviousMissing returns the largest number that is at most n and not in the set, -1 if
// there is none.
func (s NumberSet) PreviousMissing(n int) int {
	for ; n >= 0; n = n/wordBits*wordBits - 1 {
		if n/wordBits >= len(s) {
			return n
		}
		if rest := ^s[n/wordBits] << (wordBits - 1 - n%wordBits); rest != 0 {
			return n - bits.LeadingZeros64(rest)
		}
	}
	return -1
}

// CountBelow returns how many numbers below n are in the set.
func (s NumberSet) CountBelow(n int) (count int) {
	for i, word := range s {
		if (i+1)*wordBits > n {
			return count + bits.OnesCount64(word&(1<<(n%wordBits)-1))
		}
		count += bits.OnesCount64(word)
	}
	return count
}
