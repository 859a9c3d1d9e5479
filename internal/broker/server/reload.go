package server

import (
	"cmp"
	"runtime/debug"
	"saffronquay/internal/broker/logging"

	sq "saffronquay"
)

// reloadFile reads the configuration file again and applies it if all of it is valid. The listen
// addresses, the name and the VRRP settings stay as they were at the start.
func (g *Gatherer) reloadFile() {
	now, err := g.rereadFile()
	if err == nil {
		err = g.apply(now)
	}
	if err != nil {
		g.metrics.ConfigRejected.Add(1)
		logging.Error(g.logger, logging.Reload, "kept", "old", "error", err)
		return
	}
	g.metrics.ConfigAccepted.Add(1)
	logging.Info(g.logger, logging.Reload, "classes", len(g.settings.Module.Classes), "discovery", g.discovery, "servers", len(g.fleet.Servers))
}

// apply puts another plan in force. After an error nothing has changed. The gatherer's goroutine calls
// it.
func (g *Gatherer) apply(now Plan) error {
	if g.routes != nil {
		if err := g.routes.ApplyFile(now.layout.Document, now.serverIDs(), false); err != nil {
			return err
		}
	}
	if now.listen != g.listen || now.adminListen != g.adminListen {
		logging.Warn(g.logger, logging.Reload, "note", "changes of listen and operator need a restart")
	}
	if now.adopt != nil {
		now.adopt()
	}
	now.name, now.seed, now.vrrp = g.name, g.seed, g.vrrp
	now.listen, now.adminListen = g.listen, g.adminListen
	now.passedSocket, now.sharedDirectory = g.passedSocket, g.sharedDirectory
	now.logOutput = g.logOutput
	if now.logConfig != g.Plan.logConfig { // if unchanged, a level that an operator has set stays
		if err := now.applyLog(); err != nil {
			logging.Error(g.logger, logging.Reload, "error", err)
		}
	}
	g.Plan = now
	debug.SetMemoryLimit(g.ownMemoryLimit())
	g.engine.Reconfigure(g.coreConfig(), g.moduleSettings(), g.poolConfig(), g.dialect)
	g.engine.SetContracts(g.dividedContracts())
	g.listener.Reconfigure(g.listenerConfig(), g.front)
	if g.virtual != nil {
		g.virtual.reconfigure(g.listenerConfig(), g.front)
	}
	if g.watcher != nil {
		g.watcher.SetAddress(g.discovery)
	} else {
		g.applyFileServers()
	}
	g.currentFile.Store(g.file)
	return nil
}

// applyFileServers puts the file's servers and layout in force. New servers are added before the layout
// that names them, and removed servers are dropped after the layout that no longer names them, so that
// no range is without replicas in between.
func (g *Gatherer) applyFileServers() {
	if g.routes != nil {
		g.engine.UpdateFleet(sq.FleetChanged{Kind: sq.FleetDelta, Servers: g.fleet.Servers}, g.addresses)
		// This fails if the directory has sent a newer layout in the meantime.
		if err := g.routes.ApplyFile(g.layout.Document, g.serverIDs(), true); err != nil {
			logging.Error(g.logger, logging.Reload, "layout", "kept", "error", err)
		}
		if g.layout.Directory != "" {
			g.routes.SetAddress(g.layout.Directory)
		}
	}
	g.engine.UpdateFleet(g.fleet, g.addresses)
}

// applyLog sets the format and level of the log to those of the plan.
func (p Plan) applyLog() error {
	if p.logOutput == nil {
		return nil
	}
	p.logOutput.SetFormat(cmp.Or(p.logConfig.Format, "text"))
	return p.logOutput.SetLevel(cmp.Or(p.logConfig.Level, "info"))
}

// serverIDs returns the ids of the plan's servers.
func (p Plan) serverIDs() []sq.ServerID {
	ids := make([]sq.ServerID, len(p.fleet.Servers))
	for i, s := range p.fleet.Servers {
		ids[i] = s.ID
	}
	return ids
}
