package leasedtask

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"moorstack/internal/cluster/replicated"
	"moorstack/internal/cluster/rollingrestart"
	"moorstack/internal/schema"
)

// CommandFor implements replicated.OperatorControlled. It returns the log entry that carries out an
// operator's operation, or an error if that is not possible. The result mine is false for operations of other
// state machines.
func (p *participant) CommandFor(v replicated.InstanceView, op *schema.Operation, id string) (
	_ *schema.Change, mine bool, _ error) {
	c := Command{ID: id, Task: op.Name, Name: op.Author}
	var err error
	switch op.Kind {
	case schema.Operation_PAUSE:
		c.Kind = Pause
	case schema.Operation_RESUME:
		c.Kind = Resume
	case schema.Operation_HAND_ON:
		err = p.fillTransfer(v, op, &c)
	case schema.Operation_ROLL, schema.Operation_ROLL_STOP, schema.Operation_ROLL_RESUME,
		schema.Operation_ROLL_UNDO:
		err = p.fillRollingRestart(v, op, &c)
	default:
		return nil, false, nil
	}
	if err != nil {
		return nil, true, err
	}
	return EncodeCommand(c), true, nil
}

// fillTransfer completes the command that transfers a task, to a named instance if the operation names one.
func (p *participant) fillTransfer(v replicated.InstanceView, op *schema.Operation, c *Command) error {
	c.Kind, c.Reason = Transfer, "handed on by "+op.Author
	s := v.StateMachine.(*StateMachine)
	t := s.Tasks[op.Name]
	if t == nil {
		return nil // State.Apply rejects the command, and lists the tasks that exist
	}
	c.FencingToken = t.FencingToken
	if op.By == "" {
		return nil
	}
	m, ok := p.memberByName(v, op.By)
	if !ok {
		return fmt.Errorf("the group has no instance %q", op.By)
	}
	if t.Holder.Member == m.Session.Member {
		return fmt.Errorf("%s already holds %s", op.By, op.Name)
	}
	spec := Spec{Name: op.Name}
	if k := slices.IndexFunc(s.Specs, func(x Spec) bool { return x.Name == op.Name }); k >= 0 {
		spec = s.Specs[k]
	}
	if err := CheckEligible(m, spec); err != nil {
		return fmt.Errorf("%s can't hold %s: %w", op.By, op.Name, err)
	}
	c.TransferTo = m.Session.Member
	return nil
}

// fillRollingRestart completes the command that applies an operator's change to the plan of rolling restarts,
// which is the note of its task. The holder and operators alike replace the note under the holder's fencing
// token and at the note revision that they have read, so one of two concurrent changes is rejected.
func (p *participant) fillRollingRestart(v replicated.InstanceView, op *schema.Operation, c *Command) error {
	t := v.StateMachine.(*StateMachine).Tasks[RollingRestartTask]
	switch {
	case t == nil:
		return fmt.Errorf("rolling restarts are disabled: set roll = \"on\" in the section %q", Section)
	case !t.IsHeld():
		return errors.New("no instance holds the duty \"roll\" at present; try again")
	}
	plan, err := rollingrestart.DecodePlan(t.Note)
	if err != nil {
		return err
	}
	switch op.Kind {
	case schema.Operation_ROLL_STOP:
		plan, err = rollingrestart.Stop(plan)
	case schema.Operation_ROLL_RESUME:
		plan, err = rollingrestart.Resume(plan)
	case schema.Operation_ROLL_UNDO:
		plan, err = rollingrestart.Undo(plan)
	default:
		plan, err = rollingrestart.Start(plan, rollingrestart.Options{Author: op.Author,
			MaxUnavailable: int(op.Out), Timeout: time.Duration(op.WithinNs), AllowLastInZone: op.Alone,
			Instances: op.Only}, p.restartMembers(v))
	}
	if err != nil {
		return err
	}
	c.Kind, c.Task, c.FencingToken, c.NoteRevision = UpdateNote, RollingRestartTask, t.FencingToken,
		t.NoteRevision
	c.Note, err = plan.Encode()
	return err
}

// restartMembers returns the group's members, with their zones, for the start of a rolling restart.
func (p *participant) restartMembers(v replicated.InstanceView) []rollingrestart.Member {
	var members []rollingrestart.Member
	for _, m := range v.Group.Members() {
		member := rollingrestart.Member{ID: m.Session.Member, Name: m.Name, Voter: m.Voter}
		for _, label := range p.memberLabels[m.Session.Member] {
			if zone, ok := strings.CutPrefix(label, ZoneLabelPrefix); ok {
				member.Zone = zone
			}
		}
		members = append(members, member)
	}
	return members
}

func (p *participant) memberByName(v replicated.InstanceView, name string) (Member, bool) {
	for _, m := range v.Group.Members() {
		if m.Name == name {
			return p.member(v, m), true
		}
	}
	return Member{}, false
}
