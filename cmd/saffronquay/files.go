package main

import (
	"errors"
	"fmt"
	"os"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/platform"
	"saffronquay/internal/broker/routecheck"
	"slices"
)

// readFile reads a file that another process may be writing. what names, in the error for an empty
// path, the file that the user has to specify.
func (c *cli) readFile(path, what string) ([]byte, error) {
	if path == "" {
		return nil, fmt.Errorf("no file given: specify %s", what)
	}
	text, err := config.ReadStable(path, os.ReadFile)
	if err != nil {
		return nil, unreachable(err)
	}
	return text, nil
}

// readOperator reads and parses the operator's file named by --file. what names, in the error for a
// missing path, what the user has to specify.
func (c *cli) readOperator(what string) (config.Operator, error) {
	text, err := c.readFile(c.file, what)
	if err != nil {
		return config.Operator{}, err
	}
	operator, err := config.ParseOperator(text)
	if err != nil {
		return operator, failed(err)
	}
	return operator, nil
}

// readRolloutOperator is readOperator for a file that must configure a rollout: Rollout of the
// result is not nil.
func (c *cli) readRolloutOperator(what string) (config.Operator, error) {
	operator, err := c.readOperator(what)
	if err == nil && operator.Rollout == nil {
		err = failed(errors.New("file: rollout: missing: no rollout is configured"))
	}
	return operator, err
}

// readNodeConfig reads the platform's file and the environment variables that complete it.
func (c *cli) readNodeConfig() (config.Node, error) {
	text, err := c.readFile(c.node, "the platform's file")
	if err != nil {
		return config.Node{}, err
	}
	environment := map[string]string{
		"LB_CONFIG": c.node, "LB_NAME": os.Getenv("LB_NAME"), "LB_LISTEN": os.Getenv("LB_LISTEN"), "LB_DISCOVERY": os.Getenv("LB_DISCOVERY"),
	}
	return config.Load(func(name string) string { return environment[name] }, func(string) ([]byte, error) { return text, nil })
}

// loadRoster returns which servers hold which ranges: from the operator's file at path if it is not
// "", else from the platform's file, else from the file named by --file. If listPath is not "", the
// recorded list of servers there replaces the file's servers.
func (c *cli) loadRoster(path, listPath string) (routecheck.Roster, error) {
	roster, err := c.loadFileRoster(path)
	if err != nil || listPath == "" {
		return roster, err
	}
	text, err := c.readFile(listPath, "a recorded list")
	if err != nil {
		return roster, err
	}
	list, err := platform.ParseList(text)
	if err != nil {
		return roster, failed(fmt.Errorf("%s: %w", listPath, err))
	}
	roster.Servers, roster.Name = list.Servers, listPath
	return roster, nil
}

// loadFileRoster is loadRoster without a recorded list of servers.
func (c *cli) loadFileRoster(path string) (routecheck.Roster, error) {
	if path == "" && c.node != "" {
		node, err := c.readNodeConfig()
		if err != nil {
			return routecheck.Roster{}, failed(err)
		}
		return nodeRoster(c.node, node), nil
	}
	if path == "" {
		path = c.file
	}
	text, err := c.readFile(path, "the operator's file with --file")
	if err != nil {
		return routecheck.Roster{}, err
	}
	operator, err := config.ParseOperator(text)
	if err != nil {
		return routecheck.Roster{}, failed(fmt.Errorf("%s: %w", path, err))
	}
	roster, err := operatorRoster(path, operator)
	if err != nil {
		return roster, failed(err)
	}
	return roster, nil
}

// nodeRoster returns the roster of a platform's file: one index, "shards", whose keys are the shard
// numbers.
func nodeRoster(name string, node config.Node) routecheck.Roster {
	settings := node.Settings.Module
	shards := routecheck.Index{Class: settings.Classes[0].Name}
	for shard := range settings.Shards {
		shards.Ranges = append(shards.Ranges, layout.Part{Shard: shard, Span: layout.Span{From: int64(shard), To: int64(shard) + 1}})
	}
	return routecheck.Roster{
		Name: name, Settings: settings, Seed: node.Seed, Servers: node.Known, Indices: map[string]routecheck.Index{"shards": shards},
	}
}

// operatorRoster returns the roster of an operator's file. name identifies it in errors and
// results.
func operatorRoster(name string, operator config.Operator) (routecheck.Roster, error) {
	roster := routecheck.Roster{
		Name: name, Settings: operator.Settings.Module, Seed: operator.Seed, Servers: operator.Servers, Indices: map[string]routecheck.Index{},
	}
	if operator.Layout != nil {
		made, err := layout.New(operator.Layout.Document, nil)
		if err != nil {
			return roster, fmt.Errorf("%s: layout.whole: %w", name, err)
		}
		roster.Layout = made
	}
	for indexName, from := range operator.Indices {
		index := routecheck.Index{Class: from.Class, PartWork: from.PartWork}
		if roster.Layout != nil {
			index.Ranges = routecheck.PlacedRanges(roster.Layout)
		}
		for _, r := range from.Ranges {
			index.Ranges = append(index.Ranges, layout.Part{Shard: r.Shard, Span: r.Span})
		}
		slices.SortStableFunc(index.Ranges, func(a, b layout.Part) int { return int(min(max(a.From-b.From, -1), 1)) })
		roster.Indices[indexName] = index
	}
	return roster, nil
}
