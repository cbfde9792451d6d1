package charter

import (
	"fmt"
	"strings"
)

// MermaidDiagram returns the chart as a Mermaid state diagram with one
// transition per line, in the order of the chart file.
func (c *Chart) MermaidDiagram() string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "stateDiagram-v2\n    [*] --> %s\n", c.Initial)
	for _, s := range c.States {
		for _, t := range s.On {
			fmt.Fprintf(b, "    %s --> %s: %s\n", s.Name, t.To, t.Event)
		}
		if s.Final {
			fmt.Fprintf(b, "    %s --> [*]\n", s.Name)
		}
	}
	return b.String()
}
