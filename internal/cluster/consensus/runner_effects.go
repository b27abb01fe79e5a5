package consensus

import (
	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/clusterstate"
)

// handleEffects calls the callbacks, sends the messages and delivers the responses.
func (r *Runner) handleEffects(e Effects) {
	r.invokeCallbacks(e)
	for _, m := range e.Messages {
		if to, ok := r.recipient(m.GetTo()); ok {
			r.cfg.Transport.Send(to, m)
		}
	}
	for _, m := range e.SessionMessages {
		if to, ok := r.recipient(m.To); ok {
			r.cfg.Transport.SendSession(to, m.Message)
		}
	}
	for _, response := range e.Responses {
		if respond := r.onResponse[response.RequestID]; respond != nil {
			delete(r.onResponse, response.RequestID)
			respond(response)
		}
	}
}

// invokeCallbacks calls the callbacks of the configuration.
func (r *Runner) invokeCallbacks(e Effects) {
	for _, rev := range e.Revisions {
		r.cfg.Logger.WithFields(logrus.Fields{"revision": rev.Number, "author": rev.Author,
			"change": rev.ChangeID}).Info("configuration committed")
		if r.cfg.OnRevision != nil {
			r.cfg.OnRevision(rev)
		}
	}
	if e.Stage != nil && r.cfg.OnStage != nil {
		r.cfg.OnStage(*e.Stage)
	}
	if e.ClusterView != nil && r.cfg.OnClusterView != nil {
		r.cfg.OnClusterView(*e.ClusterView)
	}
	if r.cfg.OnNotification != nil {
		for _, n := range e.Notifications {
			r.cfg.OnNotification(n)
		}
	}
	if e.Permit != nil && r.cfg.OnPermit != nil {
		r.cfg.OnPermit(*e.Permit)
	}
}

// recipient returns the instance with a number. If it is unknown, the message to it is counted as dropped.
func (r *Runner) recipient(id uint64) (to clusterstate.Member, ok bool) {
	if s := r.instance.State(); s != nil {
		to, ok = s.Member(id)
	}
	if !ok {
		to, ok = r.senders[id]
	}
	if !ok {
		r.dropped.Add(1)
	}
	return to, ok
}

// publishStatus updates the status, and wakes the watchers if the revision or the applied index has changed.
func (r *Runner) publishStatus() {
	s := r.instance.Status()
	old := r.status.Swap(&s)
	if old != nil && (old.Role != s.Role || old.Leader != s.Leader) && s.Role != RoleWaiting {
		r.cfg.Logger.WithFields(logrus.Fields{"role": s.Role, "leader": r.memberName(s.Leader),
			"term": s.Term}).Info("raft role changed")
	}
	if old != nil && old.Revision == s.Revision && old.Applied == s.Applied {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (r *Runner) memberName(id uint64) string {
	if s := r.instance.State(); s != nil {
		m, _ := s.Member(id)
		return m.Name
	}
	return ""
}
