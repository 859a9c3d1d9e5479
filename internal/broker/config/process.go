package config

import (
	"fmt"
	"strconv"
)

// Process has the settings of this process that are in the environment only.
type Process struct {
	StateDirectory string // directory in which this process and the one it replaces exchange state; empty: none
	PassedSocket   int    // descriptor of the client listening socket passed by another process; 0: none
}

// LoadProcess reads the settings of the process from the environment.
func LoadProcess(getenv func(string) string) (p Process, err error) {
	const variable = "LB_PASSED_SOCKET"
	if text := getenv(variable); text != "" {
		if p.PassedSocket, err = strconv.Atoi(text); err != nil || p.PassedSocket < 3 {
			return p, fmt.Errorf("%s: want a descriptor number of 3 or more, not %.40q", variable, text)
		}
	}
	p.StateDirectory = getenv("TMPDIR")
	return p, nil
}
