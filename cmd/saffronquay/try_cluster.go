package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"time"

	sq "saffronquay"
)

const (
	trialKeys   = 4000 // number of keys, from 0 on
	trialRanges = 4    // number of ranges of equal length that the keys are divided into
	trialRows   = 5000 // number of invoices
)

// startCluster starts the fake backends with their data, and returns them and the operator's file
// that lists them. The caller must close the cluster.
func (t trial) startCluster() (*fakebackend.Cluster, map[string]any, error) {
	doc, ids := trialLayout()
	cl, err := fakebackend.NewCluster(ids, nil, fakebackend.ServerConfig{Field: "taxpayer", AtMostOnce: map[string]bool{"filings": true}, Cores: 2, Queue: 50, PartTime: 2 * time.Millisecond}, doc, t.rows())
	if err != nil {
		return nil, nil, err
	}
	agent, err := cl.Directory.Agent("")
	if err != nil {
		cl.Close()
		return nil, nil, err
	}
	var servers []any
	for i, s := range cl.Servers {
		servers = append(servers, map[string]any{"id": s.ID(), "address": s.Address(), "zone": []string{"norte", "sur"}[i%2]})
	}
	return cl, map[string]any{
		"name": "try", "listen": t.listen, "operator": "127.0.0.1:0", "seed": fmt.Sprintf("%x", t.seed), "servers": servers,
		"layout": map[string]any{"directory": agent.Address(), "whole": doc}, "cursors": map[string]any{},
		"indices": []any{
			map[string]any{"name": "invoices", "class": "search", "field": "taxpayer", "part_work_us": 2000},
			map[string]any{"name": "filings", "class": "filing", "field": "taxpayer", "part_work_us": 2000},
		},
		"settings": json.RawMessage(`{"me":0,"balancers":1,"zone":"norte","period_us":2000,
 "classes":[{"name":"search","aim_us":250000,"hard_limit_us":2000000,"worth":1,"late_worth":0.1,"effect":"free"},
  {"name":"filing","aim_us":250000,"hard_limit_us":2000000,"worth":2,"late_worth":0.1,"effect":"single_shot"}],
 "family_info":{"class_fetch":[0,0],"class_partial":[0.9,0.9],"floor_by_class":[1,1],"whole_at":[1,1],"positions":1,"reach":1,"shards":1,"parts_a_call":1},
 "permissions":{"max_open":500,"connect_timeout_us":250000,"idle_close_us":15000000,"streams_per_conn":32,"may_cancel":true,
  "most_tries":4,"second_copies":true,"retry_after":true,"max_retry_after_us":500000},
 "rules":{"grace_to_answer_us":20000,"warm_within_us":1000000}}`),
	}, nil
}

// trialLayout returns the layout, in which each of the trialRanges ranges has two holders, and the
// names of the backends.
func trialLayout() (layout.Doc, []sq.ServerID) {
	doc := layout.Doc{History: "try", Epoch: 1, NextShard: trialRanges}
	var ids []sq.ServerID
	for i := range 5 {
		ids = append(ids, sq.ServerID(fmt.Sprint("ledger-", i)))
	}
	for i := range trialRanges {
		doc.Ranges = append(doc.Ranges, layout.Range{
			Shard: i, Span: layout.Span{From: int64(i) * trialKeys / trialRanges, To: int64(i+1) * trialKeys / trialRanges},
			Holders: []sq.ServerID{ids[i], ids[i+1]},
		})
	}
	return doc, ids
}

// rows returns the invoices, whose keys are drawn from the seed.
func (t trial) rows() []fakebackend.Row {
	rng := rand.New(rand.NewPCG(t.seed, 1))
	var rows []fakebackend.Row
	for range trialRows {
		k := rng.Int64N(trialKeys)
		rows = append(rows, fakebackend.Row{Key: k, ID: fmt.Sprintf("invoice-%05d", len(rows))})
	}
	fakebackend.SortRows(rows)
	return rows
}
