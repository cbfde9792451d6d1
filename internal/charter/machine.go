package charter

// Machine is a state machine defined by a chart. It is not safe for concurrent
// use.
type Machine struct {
	// Chart defines the states and transitions.
	Chart *Chart
	// State is the current state. If empty, it is the chart's initial state.
	State string
}

// Current returns the current state.
func (m *Machine) Current() string {
	if m.State == "" {
		return m.Chart.Initial
	}
	return m.State
}

// Fire processes an event and reports whether it triggered a transition, which
// may lead back to the same state.
func (m *Machine) Fire(event string) bool {
	next, ok := m.Chart.Next(m.Current(), event)
	m.State = next
	return ok
}
