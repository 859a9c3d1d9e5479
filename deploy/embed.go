// Package deploy embeds example configuration files for the programs that use them.
package deploy

import _ "embed"

// Fleet is the configuration of one of three brokers that share a membership view.
//
//go:embed fleet.json
var Fleet []byte
