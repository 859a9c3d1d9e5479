// Command saffronquay is the query broker and its operators' command-line tool. Without a command,
// or with serve, it runs one gatherer: it accepts queries from clients, sends their parts to the
// servers that the decision module selects, and returns exactly one final answer for each query.
//
// Each command has one function that defines it and one that runs it, in a file named after the
// command. This package reads files and flags, calls the packages that do the work, and prints
// results. It must not make decisions about queries itself.
//
// A command runs in one goroutine unless its comment says otherwise. It reports failures as an
// exitError, whose exit codes are an interface for scripts; any other error is a usage error.
package main

import "os"

func main() { os.Exit(execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
