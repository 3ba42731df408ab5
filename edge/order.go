package edge

import (
	"context"
	"time"

	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/fleet"
)

// newOrder returns the order of an effect, and false if the effect is none.
func newOrder(effect cell.Effect) (carriedOrder, bool) {
	switch e := effect.(type) {
	case cell.Start:
		return carriedOrder{Start: &e.Order}, true
	case cell.Stop:
		return carriedOrder{Stop: &e.Order}, true
	case cell.Throttle:
		return carriedOrder{Throttle: &e.Order}, true
	case cell.Renew:
		return carriedOrder{Renew: &e.Order}, true
	}
	return carriedOrder{}, false
}

// executor returns the id of the executor that the order is for, empty for an order
// of no known kind.
func (o *carriedOrder) executor() string {
	switch {
	case o.Start != nil:
		return o.Start.Executor
	case o.Stop != nil:
		return o.Stop.Executor
	case o.Throttle != nil:
		return o.Throttle.Executor
	case o.Renew != nil:
		return o.Renew.Executor
	}
	return ""
}

// timeout returns how long the call to the executor may take.
func (o *carriedOrder) timeout() time.Duration {
	if o.Renew != nil {
		return time.Duration(o.Renew.WaitMs)*time.Millisecond + renewTime
	}
	return orderTimeout
}

// send sends the order to its executor and returns the answer.
func (o *carriedOrder) send(ctx context.Context, executors core.ExecutorClient) orderReport {
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	r := orderReport{ID: o.ID}
	switch {
	case o.Start != nil:
		r.Answer = executors.Start(ctx, *o.Start)
	case o.Stop != nil:
		r.Answer = executors.Stop(ctx, *o.Stop)
	case o.Throttle != nil:
		r.Answer = executors.Throttle(ctx, *o.Throttle)
	case o.Renew != nil:
		state := executors.Renew(ctx, *o.Renew)
		r.State = &state
	}
	return r
}

// unknownReport is the report of an order that got no answer.
func unknownReport(id int64) orderReport {
	return orderReport{ID: id, Answer: fleet.OrderAnswer{Outcome: fleet.OrderUnknown}}
}

// event returns the event that tells the kernel the answer to the order, sent at the
// given time.
func (o *carriedOrder) event(sent time.Duration, r orderReport) cell.Event {
	switch {
	case o.Start != nil:
		return cell.Started{Executor: o.Start.Executor, Task: o.Start.Task, Run: o.Start.Run, Token: o.Start.Token, Sent: sent, Answer: r.Answer}
	case o.Stop != nil:
		return cell.Stopped{Executor: o.Stop.Executor, Task: o.Stop.Task, Run: o.Stop.Run, Token: o.Stop.Token, Sent: sent, Answer: r.Answer}
	case o.Renew != nil:
		state := fleet.ExecutorState{Outcome: fleet.OrderUnknown}
		if r.State != nil {
			state = *r.State
		}
		return cell.Renewed{Order: *o.Renew, Sent: sent, State: state}
	}
	return cell.Tick{}
}
