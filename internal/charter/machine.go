package charter

// Machine is a chart with its present state. It is not safe for concurrent use.
type Machine struct {
	// Chart is the chart.
	Chart *Chart
	// State is the present state. Empty: the chart's initial one.
	State string
}

// Current returns the present state.
func (m *Machine) Current() string {
	if m.State == "" {
		return m.Chart.Initial
	}
	return m.State
}

// Fire lets an event happen and reports whether it led to another state, or to
// the same one by a transition of the chart.
func (m *Machine) Fire(event string) bool {
	next, ok := m.Chart.Next(m.Current(), event)
	m.State = next
	return ok
}
