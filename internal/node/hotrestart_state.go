package node

import (
	"time"

	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/hotrestart"
)

// sendState sends the child this process's state and the listening socket.
func (h *hotRestart) sendState() error {
	if len(h.node.brokers) != 1 {
		return errSeveralFronts
	}
	front := h.node.front
	generation, list, err := front.CurrentList()
	if err != nil {
		return err
	}
	s := encodeBrokerState(h.broker().ExportState())
	s.Generation, s.Instances = generation, list
	s.SentAt, s.WorkerStarts = h.node.loop.Now(), front.WorkerStarts()
	s.DiscoveryAddress, s.ConfiguredDiscovery = front.DiscoveryAddresses()
	return h.link.SendState(s, front.ListenerFD())
}

// encodeBrokerState returns the part of the state that comes from the broker.
func encodeBrokerState(p broker.ProcessState) *hotrestart.State {
	s := &hotrestart.State{KnownEndpoints: p.KnownNames, Balancer: p.Balancer}
	for name, since := range p.UnderMaintenance {
		s.Maintenance = append(s.Maintenance, hotrestart.Maintenance{Endpoint: name, Active: true,
			StartedAt: since})
	}
	for name, t := range p.ReturnedFromMaintenance {
		s.Maintenance = append(s.Maintenance, hotrestart.Maintenance{Endpoint: name, StartedAt: t.Since,
			EndedAt: t.Ended})
	}
	return s
}

// decodeBrokerState is the inverse of encodeBrokerState.
func decodeBrokerState(s *hotrestart.State) broker.ProcessState {
	p := broker.ProcessState{KnownNames: s.KnownEndpoints, UnderMaintenance: map[string]time.Duration{},
		ReturnedFromMaintenance: map[string]broker.MaintenancePeriod{}, Balancer: s.Balancer}
	for _, m := range s.Maintenance {
		if m.Active {
			p.UnderMaintenance[m.Endpoint] = m.StartedAt
		} else {
			p.ReturnedFromMaintenance[m.Endpoint] = broker.MaintenancePeriod{
				Since: m.StartedAt, Ended: m.EndedAt}
		}
	}
	return p
}
