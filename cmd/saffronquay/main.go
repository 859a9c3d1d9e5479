// Command saffronquay is the query broker, and the tool of its operators. Without a command, or with serve, it is one gatherer: it takes queries
// from clients, has their parts served by servers as the decision module says, and gives each query its one final answer.
//
// Each command has a function that defines it and one that runs it, in a file that is named for the command. This package reads files and flags,
// calls packages that do the work, and prints results. It must not decide about queries itself.
//
// A command runs in one goroutine unless its comment says otherwise. It reports failures as an exitError, whose exit codes scripts rely on; any other
// error counts as wrong use.
package main

import "os"

func main() { os.Exit(execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
