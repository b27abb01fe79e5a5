package rollout

import "fmt"

// timePasses is the name of the event in which a step of time passes.
const timePasses = "time passes"

// event is an event that can occur in a state of the model.
type event struct {
	name  string
	apply func(m *model)
}

// events returns all events that can occur next.
func (m *model) events() (events []event) {
	for i := range m.instances {
		events = append(events, m.instanceEvents(i)...)
	}
	events = append(events, m.groupEvents()...)
	events = append(events, m.isolationEvents()...)
	return append(events, m.timeEvents()...)
}

// instanceEvents returns the events of an instance. Messages to an isolated instance do not arrive; its own
// reports can.
func (m *model) instanceEvents(i int) (events []event) {
	inst, isolated := &m.instances[i], m.isolated == i+1
	add := func(name string, apply func(m *model)) {
		events = append(events, event{fmt.Sprintf("%s %d", name, i+1), apply})
	}
	if !isolated && inst.applied < len(m.log) {
		add("apply", func(m *model) { m.applyNext(i) })
	}
	if inst.report != nil {
		add(deliverReport, func(m *model) { m.deliverReport(i) })
		if m.losses < m.limits.losses {
			add("lose report", func(m *model) { m.instances[i].report, m.losses = nil, m.losses+1 })
		}
	}
	if !isolated && inst.grant != nil {
		add("deliver grant", func(m *model) { m.deliverGrant(i) })
		if m.losses < m.limits.losses {
			add("lose grant", func(m *model) { m.instances[i].grant, m.losses = nil, m.losses+1 })
		}
	}
	if m.crashes < m.limits.crashes {
		add("crash", func(m *model) { m.crash(i) })
	}
	return events
}

// deliverReport is the prefix of the names of the events in which a report arrives.
const deliverReport = "deliver report"

func (m *model) applyNext(i int) {
	inst := &m.instances[i]
	m.log[inst.applied].applyTo(inst.state, &inst.revision)
	inst.applied++
	m.observeState(i)
}

// deliverReport delivers a report to the leader, and sends the response. The leader applies the whole log
// first, which makes its response as safe as a confirmation by a majority does.
func (m *model) deliverReport(i int) {
	inst := &m.instances[i]
	r := *inst.report
	inst.report = nil
	m.applyAtLeader()
	m.leader.ObserveReport(m.now, r)
	if g := m.leader.Grant(m.now, r, m.leaderState, modelPolicy); g.Duration > 0 {
		inst.grant = &g
	}
}

func (m *model) deliverGrant(i int) {
	inst := &m.instances[i]
	if m.limits.omittedGuard == leaseFromRequest {
		inst.grant.RequestedAt = m.instanceClock()
	}
	inst.holder.ObserveGrant(*inst.grant)
	inst.grant = nil
	m.observeState(i)
}

// crash stops an instance and restarts it immediately. Its last report may still arrive.
func (m *model) crash(i int) {
	inst := &m.instances[i]
	m.lastIncarnation++
	inst.holder, inst.grant, inst.justStarted = *NewLeaseHolder(uint64(i+1), m.lastIncarnation), nil, true
	m.crashes++
	m.observeState(i)
}

// groupEvents returns the proposal of a change and the change of leader.
func (m *model) groupEvents() (events []event) {
	if m.changes < m.limits.changes && m.leaderState.Pending == nil {
		events = append(events, event{"propose", func(m *model) {
			m.changes++
			m.log = append(m.log, logEntry{change: m.changes})
			m.applyAtLeader()
		}})
	}
	if m.newLeaders < m.limits.newLeaders {
		events = append(events, event{"new leader", func(m *model) {
			m.applyAtLeader()
			m.newLeaders++
			m.leader = NewLeader(m.now, m.leader.term+1)
			for i := range m.instances {
				m.instances[i].report = nil
				m.instances[i].holder.ReportNow()
			}
		}})
	}
	return events
}

func (m *model) isolationEvents() (events []event) {
	if m.isolated > 0 {
		return []event{{"end isolation", func(m *model) { m.isolated = 0 }}}
	}
	if m.isolations >= m.limits.isolations {
		return nil
	}
	for i := range m.instances {
		events = append(events, event{fmt.Sprint("isolate ", i+1), func(m *model) {
			m.isolated, m.isolations, m.isolatedSince = i+1, m.isolations+1, m.now
		}})
	}
	return events
}

// allDelivered reports whether no message is in transit, except to or from the isolated instance.
func (m *model) allDelivered() bool {
	for i, inst := range m.instances {
		if m.isolated != i+1 && (inst.applied < len(m.log) || inst.report != nil || inst.grant != nil) {
			return false
		}
	}
	return true
}

func (m *model) timeEvents() (events []event) {
	if m.limits.promptDelivery &&
		(!m.allDelivered() || m.isolated > 0 && m.now-m.isolatedSince >= maxIsolation) {
		return nil
	}
	if m.limits.endsAt > 0 && m.now >= m.limits.endsAt {
		return nil
	}
	events = append(events, event{timePasses, func(m *model) { m.now += leaderStep }})
	if m.leaderStalls < m.limits.leaderStalls {
		events = append(events, event{"the leader stalls", func(m *model) {
			m.now += leaderStep
			m.sendReports()
			m.now += leaderStep
			m.leaderStalls++
		}})
	}
	return events
}
