package locator

// Counts is a snapshot of the counters of a Locator.
type Counts struct {
	// Calls counts the calls to the leader, Failed those of them that ended without a
	// response of it.
	Calls  int64 `json:"calls"`
	Failed int64 `json:"failed"`
	// Attempts counts the attempts at replicas, Unanswered those without a response.
	Attempts   int64 `json:"attempts"`
	Unanswered int64 `json:"unanswered"`
	// Leader is the address of the leader, empty if it is not known. Avoided counts how
	// often a replica was avoided because nothing was heard of it.
	Leader  string `json:"leader"`
	Avoided int64  `json:"avoided"`
}

// Counts returns the current values of the counters.
func (l *Locator) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Leader = l.leader
	return c
}

// countCall counts a call with its attempts.
func (l *Locator) countCall(attempts int64, isAnswered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Calls++
	l.counts.Attempts += attempts
	if !isAnswered {
		l.counts.Failed++
	}
}

// countUnanswered counts an attempt without a response.
func (l *Locator) countUnanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Unanswered++
}
