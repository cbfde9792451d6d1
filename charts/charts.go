// Package charts embeds the state charts of carobrock's state machines.
package charts

import "embed"

// Files contains the charts, one YAML file per chart.
//
//go:embed *.yaml
var Files embed.FS
