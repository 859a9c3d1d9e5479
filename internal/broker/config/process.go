package config

import (
	"fmt"
	"strconv"
)

// Process is what the environment says of this process beside its configuration.
type Process struct {
	Shared       string // directory in which this process and the one it replaces exchange their states; empty: none
	PassedSocket int    // descriptor of the clients' listening socket, which another process opened; 0: none
}

// LoadProcess reads the variables of the environment that concern the process.
func LoadProcess(getenv func(string) string) (p Process, err error) {
	const variable = "LB_PASSED_SOCKET"
	if text := getenv(variable); text != "" {
		if p.PassedSocket, err = strconv.Atoi(text); err != nil || p.PassedSocket < 3 {
			return p, fmt.Errorf("%s: want the number of a descriptor from 3 on, not %.40q", variable, text)
		}
	}
	p.Shared = getenv("TMPDIR")
	return p, nil
}
