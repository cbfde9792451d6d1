package charter

import (
	"os"
	"strings"
	"testing"

	"github.com/carobrock/carobrock/charts"
)

// TestEmbeddedCharts checks that all embedded charts load, which MustLoad relies
// on.
func TestEmbeddedCharts(t *testing.T) {
	entries, err := charts.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if _, err := Load(e.Name()); err != nil {
			t.Error(err)
		}
	}
}

// TestParseRejectsInvalidCharts checks that Parse accepts a valid chart and
// rejects it after each edit that makes it invalid.
func TestParseRejectsInvalidCharts(t *testing.T) {
	const validChart = `
name: door
initial: shut
events: [open, close]
states:
  - name: shut
    on: [{event: open, to: ajar}]
    ignore: [close]
  - name: ajar
    on: [{event: close, to: shut}]
    ignore: [open]
`
	if _, err := Parse([]byte(validChart)); err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, old, with, want string }{
		{"unknown field", "name: door", "nam: door", "unknown field"},
		{"no initial state", "initial: shut", "initial: gone", `initial state "gone" is not defined`},
		{"unknown target", "to: ajar", "to: gone", "unknown state"},
		{"unknown event", "event: open", "event: lift", "unknown event"},
		{"event not handled", "    ignore: [close]\n", "", "handles 1 of 2 events"},
		{"event twice", "ignore: [close]", "ignore: [close, open]", "twice"},
		{"state twice", "- name: ajar", "- name: shut", `state "shut" is defined twice`},
		{"state not reached", "to: ajar", "to: shut", "cannot be reached"},
		{"final state with events", "- name: ajar", "- name: ajar\n    final: true", "handles events"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validChart, tt.old, tt.with, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want an error that contains %q", err, tt.want)
			}
		})
	}
}

// TestChartsAreDrawn checks that docs/design.md contains the current diagram of
// every chart.
func TestChartsAreDrawn(t *testing.T) {
	data, err := os.ReadFile("../../docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	entries, err := charts.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		c, err := Load(e.Name())
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(data), c.MermaidDiagram()) {
			t.Errorf("docs/design.md does not contain the current diagram of chart %s:\n%s", c.Name, c.MermaidDiagram())
		}
	}
}
