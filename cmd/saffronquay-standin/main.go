// Command saffronquay-standin runs fake versions of the services that an operator's file with a
// layout refers to, on loopback: its search servers, with a row for each key, and its layout
// directory. It is for trials and demos; see docs/LAYOUT.md.
package main

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/testing/fakebackend"
	"syscall"
	"time"

	sq "saffronquay"
)

func main() {
	file := flag.String("file", "deploy/layout.json", "path of the operator's file")
	work := flag.Duration("work", 5*time.Millisecond, "processing time of a part")
	keys := flag.Int64("rows", 100_000, "maximum number of keys that get a row, from the first of the layout on")
	flag.Parse()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := serve(*file, *work, *keys, log); err != nil {
		log.Error("exit", "error", err)
		os.Exit(1)
	}
}

// serve runs the servers and the directory until an interrupt or SIGTERM, and then logs how often
// the servers executed parts.
func serve(file string, work time.Duration, keys int64, log *slog.Logger) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	op, err := config.ParseOperator(text)
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", file, err)
	case op.Layout == nil || op.Layout.Directory == "":
		return fmt.Errorf("%s: layout.directory: missing", file)
	}
	cfg := fakebackend.ServerConfig{AtMostOnce: map[string]bool{}, Cores: 2, Queue: 100, PartTime: work}
	for name, ix := range op.Indices {
		cfg.Field = ix.Field
		for _, c := range op.Settings.Module.Classes {
			cfg.AtMostOnce[name] = cfg.AtMostOnce[name] || c.Name == ix.Class && c.Effect == sq.AtMostOnce
		}
	}
	var ids []sq.ServerID
	for _, s := range op.Servers {
		ids = append(ids, s.ID)
	}
	first, last := op.Layout.Document.Ranges[0].From, op.Layout.Document.Ranges[len(op.Layout.Document.Ranges)-1].To
	var rows []fakebackend.Row
	for k := first; k < min(last, first+keys); k++ {
		rows = append(rows, fakebackend.Row{Key: k, ID: fmt.Sprint("row-", k)})
	}
	c, err := fakebackend.NewCluster(ids, op.Addresses, cfg, op.Layout.Document, rows)
	if err != nil {
		return err
	}
	defer c.Close()
	agent, err := c.Directory.Agent(op.Layout.Directory)
	if err != nil {
		return err
	}
	defer agent.Close()
	log.Info("start", "servers", len(ids), "directory", agent.Address(), "rows", len(rows))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	runs, twice, astray := c.Ledger.Counts()
	log.Info("ledger", "parts_run", runs, "run_twice", twice, "run_where_not_held", astray, "unjudged", c.Ledger.RunsWithoutID())
	return nil
}
