package replicator

import "github.com/carobrock/carobrock/internal/encoder"

// entryLog is the in-memory part of the log.
type entryLog struct {
	// baseIndex and baseTerm identify the entry before the first one in entries.
	// A snapshot covers it.
	baseIndex uint64
	baseTerm  uint64
	// entries start at baseIndex+1 and have no gaps.
	entries []*encoder.Entry
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at index. It returns false if the log
// contains neither the entry nor its term.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].GetTerm(), true
}

// slice returns the entries with indices from to to, inclusive, which must be in
// the log. The result is limited to about maxBytes of data but contains at least
// one entry.
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

// merge adds entries to the log and returns the suffix that the log did not
// contain. An entry whose term differs from that of the entry at its index
// replaces that entry and all later ones.
func (l *entryLog) merge(entries []*encoder.Entry) []*encoder.Entry {
	for i, e := range entries {
		if e.GetIndex() <= l.baseIndex {
			continue
		}
		term, ok := l.termAt(e.GetIndex())
		if ok && term == e.GetTerm() {
			continue
		}
		kept := e.GetIndex() - l.baseIndex - 1
		l.entries = append(l.entries[:kept:kept], entries[i:]...)
		return entries[i:]
	}
	return nil
}

// discardThrough removes the entries up to and including index, which must be in
// the log.
func (l *entryLog) discardThrough(index uint64) {
	term, ok := l.termAt(index)
	if !ok || index == l.baseIndex {
		return
	}
	l.entries = append([]*encoder.Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// resetTo empties the log and sets its base to the last entry of a snapshot.
func (l *entryLog) resetTo(index, term uint64) {
	l.baseIndex, l.baseTerm, l.entries = index, term, nil
}
