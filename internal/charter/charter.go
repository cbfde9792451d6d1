// Package charter reads state charts and answers which state follows an event.
//
// A chart is checked when it is read: every state must be reachable, and every
// state that is not final must either have a transition for each event or say
// that it ignores the event.
package charter

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock/charts"
)

// ErrBadChart reports that the chart is not well formed.
var ErrBadChart = eris.New("charter: bad chart")

// Chart is a checked state chart.
type Chart struct {
	// Name identifies the chart.
	Name string `yaml:"name"`
	// Initial is the first state.
	Initial string `yaml:"initial"`
	// Events lists all events.
	Events []string `yaml:"events"`
	// States lists all states.
	States []State `yaml:"states"`

	next map[step]string
}

// State is a state of a chart.
type State struct {
	// Name identifies the state.
	Name string `yaml:"name"`
	// Final states have no transitions and ignore all events.
	Final bool `yaml:"final"`
	// On lists the transitions.
	On []Transition `yaml:"on"`
	// Ignore lists the events that change nothing.
	Ignore []string `yaml:"ignore"`
}

// Transition leads to another state.
type Transition struct {
	// Event is what happens.
	Event string `yaml:"event"`
	// To is the state that follows.
	To string `yaml:"to"`
}

type step struct{ state, event string }

// Load returns the embedded chart with the given file name. It fails with
// ErrBadChart.
func Load(file string) (*Chart, error) {
	data, err := charts.Files.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(ErrBadChart, err.Error())
	}
	return Parse(data)
}

// MustLoad is Load for the charts that the program is built with. It panics if
// the chart is bad, which a test of the package rules out.
func MustLoad(file string) *Chart {
	c, err := Load(file)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse returns the chart that data holds. It fails with ErrBadChart.
func Parse(data []byte) (*Chart, error) {
	c := &Chart{next: map[step]string{}}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(c); err != nil {
		return nil, eris.Wrap(ErrBadChart, err.Error())
	}
	if err := c.check(); err != nil {
		return nil, eris.Wrapf(ErrBadChart, "%s: %v", c.Name, err)
	}
	return c, nil
}

// Next returns the state that follows event in state, and whether the event
// changes anything there.
func (c *Chart) Next(state, event string) (string, bool) {
	to, ok := c.next[step{state, event}]
	if !ok {
		return state, false
	}
	return to, true
}

func (c *Chart) check() error {
	names := map[string]bool{}
	for _, s := range c.States {
		if names[s.Name] {
			return fmt.Errorf("state %q stands twice", s.Name)
		}
		names[s.Name] = true
	}
	if !names[c.Initial] {
		return fmt.Errorf("no initial state %q", c.Initial)
	}
	for _, s := range c.States {
		if err := c.checkState(s, names); err != nil {
			return err
		}
	}
	return c.checkReachable()
}

func (c *Chart) checkState(s State, names map[string]bool) error {
	if s.Final && len(s.On)+len(s.Ignore) > 0 {
		return fmt.Errorf("final state %q handles events", s.Name)
	}
	handled := slices.Clone(s.Ignore)
	for _, t := range s.On {
		if !names[t.To] {
			return fmt.Errorf("state %q leads to unknown state %q", s.Name, t.To)
		}
		handled = append(handled, t.Event)
		c.next[step{s.Name, t.Event}] = t.To
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

func (c *Chart) checkReachable() error {
	reached := map[string]bool{c.Initial: true}
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
