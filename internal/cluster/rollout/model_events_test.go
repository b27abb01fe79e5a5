package rollout

import "fmt"

// timePasses is the name of the event that time passes by a step.
const timePasses = "time passes"

// event is something that may happen next.
type event struct {
	name  string
	apply func(m *model)
}

// events returns all that may happen next.
func (m *model) events() (events []event) {
	for i := range m.instances {
		events = append(events, m.instanceEvents(i)...)
	}
	events = append(events, m.groupEvents()...)
	events = append(events, m.isolationEvents()...)
	return append(events, m.timeEvents()...)
}

// instanceEvents are the events at one instance. What is sent to one that is isolated does not arrive; its
// own reports may.
func (m *model) instanceEvents(i int) (events []event) {
	x, isolated := &m.instances[i], m.isolated == i+1
	add := func(name string, apply func(m *model)) {
		events = append(events, event{fmt.Sprintf("%s %d", name, i+1), apply})
	}
	if !isolated && x.applied < len(m.log) {
		add("apply", func(m *model) { m.applyNext(i) })
	}
	if x.report != nil {
		add(deliverReport, func(m *model) { m.deliverReport(i) })
		if m.losses < m.limits.losses {
			add("lose report", func(m *model) { m.instances[i].report, m.losses = nil, m.losses+1 })
		}
	}
	if !isolated && x.grant != nil {
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

// deliverReport begins the names of the events that a report arrives.
const deliverReport = "deliver report"

func (m *model) applyNext(i int) {
	x := &m.instances[i]
	m.log[x.applied].applyTo(x.state, &x.revision)
	x.applied++
	m.observeState(i)
}

// deliverReport has the leader respond. It has applied the whole log: its response is as safe as after the
// confirmation of a majority.
func (m *model) deliverReport(i int) {
	x := &m.instances[i]
	r := *x.report
	x.report = nil
	m.applyAtLeader()
	m.leader.ObserveReport(m.now, r)
	if g := m.leader.Grant(m.now, r, m.leaderState, modelPolicy); g.Duration > 0 {
		x.grant = &g
	}
}

func (m *model) deliverGrant(i int) {
	x := &m.instances[i]
	if m.limits.omittedGuard == leaseFromRequest {
		x.grant.RequestedAt = m.instanceClock()
	}
	x.holder.ObserveGrant(*x.grant)
	x.grant = nil
	m.observeState(i)
}

// crash restarts an instance at once. Its last report may still arrive.
func (m *model) crash(i int) {
	x := &m.instances[i]
	m.lastIncarnation++
	x.holder, x.grant, x.justStarted = *NewLeaseHolder(uint64(i+1), m.lastIncarnation), nil, true
	m.crashes++
	m.observeState(i)
}

// groupEvents are the proposal of a change, and a change of leader.
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

// allDelivered reports whether nothing is in transit but to or from the isolated instance.
func (m *model) allDelivered() bool {
	for i, x := range m.instances {
		if m.isolated != i+1 && (x.applied < len(m.log) || x.report != nil || x.grant != nil) {
			return false
		}
	}
	return true
}

func (m *model) timeEvents() (events []event) {
	if m.limits.promptOtherwise &&
		(!m.allDelivered() || m.isolated > 0 && m.now-m.isolatedSince >= longestIsolation) {
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
