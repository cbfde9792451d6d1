package main

import (
	"os"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

// TestEveryOptionIsDocumented checks that docs/operators.md names every command,
// every option and every environment variable.
func TestEveryOptionIsDocumented(t *testing.T) {
	data, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	doc := string(data)
	p := flags.NewNamedParser("carobrock", flags.None)
	if _, err := p.AddGroup("Options", "", &rootOptions{}); err != nil {
		t.Fatal(err)
	}
	checkCommandDocumented(t, doc, p.Command)
}

func checkCommandDocumented(t *testing.T, doc string, c *flags.Command) {
	t.Helper()
	checkGroupDocumented(t, doc, c.Name, c.Group)
	for _, sub := range c.Commands() {
		if !strings.Contains(doc, sub.Name) {
			t.Errorf("command %s is not documented", sub.Name)
		}
		checkCommandDocumented(t, doc, sub)
	}
}

func checkGroupDocumented(t *testing.T, doc, command string, g *flags.Group) {
	t.Helper()
	for _, o := range g.Options() {
		if !strings.Contains(doc, "`--"+o.LongName+"`") {
			t.Errorf("%s: --%s is not documented", command, o.LongName)
		}
		if o.EnvDefaultKey != "" && !strings.Contains(doc, "`"+o.EnvDefaultKey+"`") {
			t.Errorf("%s: %s is not documented", command, o.EnvDefaultKey)
		}
	}
	for _, sub := range g.Groups() {
		checkGroupDocumented(t, doc, command, sub)
	}
}
