package faktory

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

const (
	minJIDBytes  = 8
	maxJIDBytes  = 200
	defaultQueue = "default"
	// maxJobSeconds is the upper limit of a job's deadline, reservation and cost: a day.
	maxJobSeconds = 86400
	maxJobSlots   = 1e6
)

// jobBody holds the fields of a job that this front reads.
type jobBody struct {
	JID        string          `json:"jid"`
	Type       string          `json:"jobtype"`
	Args       json.RawMessage `json:"args"`
	Queue      string          `json:"queue"`
	ReserveFor *float64        `json:"reserve_for"` // seconds
	At         string          `json:"at"`
	Custom     struct {
		Deadline *float64 `json:"deadline"` // seconds that the producer waits
		Tenant   string   `json:"tenant"`
		Account  string   `json:"account"`
		Cost     float64  `json:"cost"` // the expected work, in seconds
		Slots    float64  `json:"slots"`
	} `json:"custom"`
}

// validate checks the fields that every job must have.
func (b *jobBody) validate() error {
	if n := len(b.JID); n < minJIDBytes || n > maxJIDBytes {
		return errors.New("jid must have 8 to 200 characters")
	}
	if b.Type == "" {
		return errors.New("jobtype is missing")
	}
	if len(b.Args) == 0 || b.Args[0] != '[' {
		return errors.New("args must be an array")
	}
	if b.At != "" {
		return errors.New("jobs for later are not taken")
	}
	return nil
}

// validSeconds reports whether a time in a job is in range; NaN is not.
func validSeconds(seconds float64) bool { return seconds > 0 && seconds <= maxJobSeconds }

// parseRequest converts a job into a request to the broker. If the routing rules reject the job, the
// decision has the reason and the request is not to be used.
func (f *Front) parseRequest(j *job) (request broker.Request, d routing.Decision, err error) {
	if err := j.validate(); err != nil {
		return request, d, err
	}
	if j.Queue == "" {
		j.Queue = defaultQueue
	}
	request = broker.Request{ID: j.JID, Class: -1, Payload: j, Slots: j.Custom.Slots,
		Account: j.Custom.Account, ExpectedWork: time.Duration(j.Custom.Cost * float64(time.Second))}
	if class, ok := f.classes[j.Type]; ok {
		request.Class = class
	}
	tenant := -1
	if j.Custom.Tenant != "" {
		var ok bool
		if tenant, ok = f.tenants[j.Custom.Tenant]; !ok {
			return request, d, errors.New("custom.tenant names no tenant")
		}
		request.Tenant = tenant
	}
	if d = f.route(&request, j, tenant); d.RejectReason != "" {
		return request, d, nil
	}
	if request.Class < 0 {
		return request, d, fmt.Errorf("jobtype %.60q has no class", j.Type)
	}
	request.Timeout = f.settings.Classes[request.Class].Timeout
	return request, d, j.applyLimits(&request)
}

// applyLimits checks the job's times, cost and slots, and sets the request's timeout if the job has a
// deadline.
func (b *jobBody) applyLimits(request *broker.Request) error {
	if deadline := b.Custom.Deadline; deadline != nil {
		if !validSeconds(*deadline) {
			return errors.New("custom.deadline must be seconds, above 0 and up to a day")
		}
		request.Timeout = time.Duration(*deadline * float64(time.Second))
	}
	if r := b.ReserveFor; r != nil && !validSeconds(*r) {
		return errors.New("reserve_for must be seconds, above 0 and up to a day")
	}
	if c := b.Custom.Cost; c < 0 || c > maxJobSeconds || request.Slots < 0 || request.Slots > maxJobSlots {
		return errors.New("custom.cost or custom.slots is out of range")
	}
	return nil
}
