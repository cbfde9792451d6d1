// Package charter loads state charts and runs the state machines that they
// define.
//
// A chart is validated when it is loaded. Every state must be reachable, and a
// state that is not final must either have a transition for each event or list
// the event as ignored.
package charter

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock/charts"
)

// ErrInvalidChart reports an invalid chart.
var ErrInvalidChart = eris.New("charter: invalid chart")

// Chart is a validated state chart.
type Chart struct {
	// Name identifies the chart.
	Name string `yaml:"name"`
	// Initial is the name of the initial state.
	Initial string `yaml:"initial"`
	// Events lists the names of all events.
	Events []string `yaml:"events"`
	// States lists all states.
	States []State `yaml:"states"`

	transitions map[transitionKey]string
}

// State is a state of a chart.
type State struct {
	// Name identifies the state.
	Name string `yaml:"name"`
	// Final states have no transitions and ignore all events.
	Final bool `yaml:"final"`
	// On lists the transitions.
	On []Transition `yaml:"on"`
	// Ignore lists the events that have no effect in the state.
	Ignore []string `yaml:"ignore"`
}

// Transition is a transition from the state that lists it.
type Transition struct {
	// Event is the name of the event that triggers the transition.
	Event string `yaml:"event"`
	// To is the name of the target state.
	To string `yaml:"to"`
}

// transitionKey identifies a transition by its source state and event.
type transitionKey struct{ state, event string }

// Load returns the embedded chart with the given file name. It returns an error
// that wraps ErrInvalidChart if the file does not exist or is invalid.
func Load(file string) (*Chart, error) {
	data, err := charts.Files.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(ErrInvalidChart, err.Error())
	}
	return Parse(data)
}

// MustLoad is like Load but panics on an error. A test of the package checks that
// all embedded charts load.
func MustLoad(file string) *Chart {
	c, err := Load(file)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse returns the chart that the YAML document data defines. It returns an
// error that wraps ErrInvalidChart if the chart is invalid.
func Parse(data []byte) (*Chart, error) {
	c := &Chart{transitions: map[transitionKey]string{}}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(c); err != nil {
		return nil, eris.Wrap(ErrInvalidChart, err.Error())
	}
	if err := c.validate(); err != nil {
		return nil, eris.Wrapf(ErrInvalidChart, "%s: %v", c.Name, err)
	}
	return c, nil
}

// Next returns the state that follows state on event, and whether the chart has a
// transition for the event there. Without one, it returns state unchanged.
func (c *Chart) Next(state, event string) (string, bool) {
	to, ok := c.transitions[transitionKey{state, event}]
	if !ok {
		return state, false
	}
	return to, true
}

// validate checks the chart and fills in its transitions.
func (c *Chart) validate() error {
	names := map[string]bool{}
	for _, s := range c.States {
		if names[s.Name] {
			return fmt.Errorf("state %q is defined twice", s.Name)
		}
		names[s.Name] = true
	}
	if !names[c.Initial] {
		return fmt.Errorf("initial state %q is not defined", c.Initial)
	}
	for _, s := range c.States {
		if err := c.validateState(s, names); err != nil {
			return err
		}
	}
	return c.validateReachable()
}

// validateState checks that s handles each event exactly once, and that it refers
// only to known states and events. It adds the transitions of s to the chart.
func (c *Chart) validateState(s State, names map[string]bool) error {
	if s.Final && len(s.On)+len(s.Ignore) > 0 {
		return fmt.Errorf("final state %q handles events", s.Name)
	}
	handled := slices.Clone(s.Ignore)
	for _, t := range s.On {
		if !names[t.To] {
			return fmt.Errorf("state %q leads to unknown state %q", s.Name, t.To)
		}
		handled = append(handled, t.Event)
		c.transitions[transitionKey{s.Name, t.Event}] = t.To
	}
	for i, e := range handled {
		if !slices.Contains(c.Events, e) {
			return fmt.Errorf("state %q handles unknown event %q", s.Name, e)
		}
		if slices.Contains(handled[:i], e) {
			return fmt.Errorf("state %q handles event %q twice", s.Name, e)
		}
	}
	if !s.Final && len(handled) != len(c.Events) {
		return fmt.Errorf("state %q handles %d of %d events", s.Name, len(handled), len(c.Events))
	}
	return nil
}

// validateReachable checks that every state can be reached from the initial one.
func (c *Chart) validateReachable() error {
	reached := map[string]bool{c.Initial: true}
	// A path to a state visits each state at most once, so len(c.States) passes
	// suffice.
	for range c.States {
		for _, s := range c.States {
			for _, t := range s.On {
				if reached[s.Name] {
					reached[t.To] = true
				}
			}
		}
	}
	for _, s := range c.States {
		if !reached[s.Name] {
			return fmt.Errorf("state %q cannot be reached", s.Name)
		}
	}
	return nil
}
