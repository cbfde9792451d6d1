package replicator

import "github.com/carobrock/carobrock/internal/encoder"

// entryLog is the log in memory, behind the snapshot.
type entryLog struct {
	// baseIndex and baseTerm name the last entry that the snapshot covers.
	baseIndex uint64
	baseTerm  uint64
	// entries begin at baseIndex+1 and have no gaps.
	entries []*encoder.Entry
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if the log does not
// hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].GetTerm(), true
}

// slice returns the entries from index from up to and including to, which must
// be in the log, cut to about maxBytes but never to nothing.
func (l *entryLog) slice(from, to uint64, maxBytes int) []*encoder.Entry {
	if from > to {
		return nil
	}
	all := l.entries[from-l.baseIndex-1 : to-l.baseIndex]
	size := 0
	for i, e := range all {
		size += len(e.GetData())
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// add appends entries and returns those that were not there yet. An entry that
// differs in term from the one at its index replaces it and all behind it.
func (l *entryLog) add(entries []*encoder.Entry) []*encoder.Entry {
	for i, e := range entries {
		if e.GetIndex() <= l.baseIndex {
			continue
		}
		term, ok := l.term(e.GetIndex())
		if ok && term == e.GetTerm() {
			continue
		}
		keep := e.GetIndex() - l.baseIndex - 1
		l.entries = append(l.entries[:keep:keep], entries[i:]...)
		return entries[i:]
	}
	return nil
}

// cut drops the entries up to index, which must be in the log.
func (l *entryLog) cut(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.baseIndex {
		return
	}
	l.entries = append([]*encoder.Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// reset empties the log behind a snapshot.
func (l *entryLog) reset(index, term uint64) {
	l.baseIndex, l.baseTerm, l.entries = index, term, nil
}
