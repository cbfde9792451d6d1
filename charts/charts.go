// Package charts embeds the state charts that carobrock's code interprets.
package charts

import "embed"

// Files holds the charts, one YAML file each.
//
//go:embed *.yaml
var Files embed.FS
