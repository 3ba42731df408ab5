package cell_test

import (
	"strings"
	"time"

	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

// executeEffect executes an effect of a kernel and schedules the answer.
func (w *world) executeEffect(k *cell.Kernel, effect cell.Effect) {
	switch e := effect.(type) {
	case cell.Log:
		switch e.Event {
		case event.TaskWaits, event.ExecutorResized, event.ExecutorUndescribed, event.ExecutorDescribed:
			w.logged = append(w.logged, e)
		}
		if e.Event == event.JobFailed && w.checksAttempts {
			w.requireAttemptsUsed(e.Fields[1].(string))
		}
		w.trace(e.Event, e.Fields)
	case cell.Depose:
		w.trace("DEPOSE", k == w.kernel, e.Reason)
		delete(w.alive, k)
	case cell.Reply:
		w.verdicts[e.Call] = e.Answer
	case cell.Write:
		w.runAfter(w.writeTime(e.Number), func() { w.write(k, e) })
	case cell.Start:
		delay, answered := w.orderDelivery("start", e.Order.Task)
		if w.executors[e.Order.Executor] == nil {
			return
		}
		startedMs, sent := w.executors[e.Order.Executor].StartedMs, w.now
		w.deliver(k, "start", delay, answered, func() fleet.OrderAnswer {
			// A delayed order reaches a later incarnation while its call is open. One that an
			// executor carries out later than that ends with the executor, by default.
			x := w.executors[e.Order.Executor]
			if x == nil || x.unreachableFor[k] || x.StartedMs != startedMs && delay > w.latestInNext {
				return fleet.OrderAnswer{Outcome: fleet.OrderUnknown}
			}
			return w.executeStart(e.Order, sent)
		}, func(a fleet.OrderAnswer) cell.Event {
			return cell.Started{Executor: e.Order.Executor, Task: e.Order.Task, Run: e.Order.Run, Token: e.Order.Token, Sent: sent, Answer: a}
		})
	case cell.Stop:
		delay, answered := w.orderDelivery("stop", e.Order.Task)
		sent := w.now
		w.deliver(k, "stop", delay, answered, func() fleet.OrderAnswer { return w.executeStop(e.Order) }, func(a fleet.OrderAnswer) cell.Event {
			return cell.Stopped{Executor: e.Order.Executor, Task: e.Order.Task, Run: e.Order.Run, Token: e.Order.Token, Sent: sent, Answer: a}
		})
	case cell.Throttle:
		w.throttlePercents[e.Order.Task] = e.Order.Percent
	case cell.RequestAdvice:
		if w.advisor != nil {
			w.advisor.call(w, k, e)
			return
		}
		sent := w.now
		w.runAfter(20*time.Millisecond, func() {
			w.answerOwner(k, cell.AdviceReceived{Step: e.Step, Executors: e.Executors, Sent: sent, Advice: fleet.Advice{Tickets: w.ticketsOf(e.Executors), ValidMs: 3000}})
		})
	case cell.Renew:
		w.executeRenewal(k, e.Order)
	case cell.MoveVM:
		w.checkVMOrder(e.VM, e.Token)
		w.moveOrdered[strings.TrimPrefix(e.VM, "vm-")] = true
		outcome := fleet.VMOrderRefused
		if w.replaceVMs {
			w.replaceVM(k, e.VM, fleet.VMMoving, e.Pool)
			return
		}
		if w.moveOutcome != nil {
			outcome = w.moveOutcome(e.VM)
		}
		if outcome == noVMOrderAnswer {
			return
		}
		w.runAfter(time.Millisecond, func() { w.answerOwner(k, cell.VMOrdered{VM: e.VM, Outcome: outcome}) })
	case cell.MaintainVM:
		w.checkVMOrder(e.VM, e.Token)
		w.maintenanceOrdered[strings.TrimPrefix(e.VM, "vm-")] = true
		if w.replaceVMs {
			w.replaceVM(k, e.VM, fleet.VMMaintenance, "")
			return
		}
		if w.maintenanceSucceeds {
			w.maintainVM(k, e.VM)
			return
		}
		w.runAfter(time.Millisecond, func() { w.answerOwner(k, cell.VMOrdered{VM: e.VM, Outcome: fleet.VMOrderRefused}) })
	case cell.ListVMs:
		requestedAt := w.now
		takes, age := w.vmListDelay()
		w.runAfter(takes, func() { w.answerOwner(k, cell.VMsListed{VMs: w.vmsAt(w.now - age), RequestedAt: requestedAt}) })
	}
}

// deliver executes an order after a delay and passes its answer to the owner. Without an answer the
// call ends unknown.
func (w *world) deliver(k *cell.Kernel, kind string, delay time.Duration, answered bool, execute func() fleet.OrderAnswer, event func(fleet.OrderAnswer) cell.Event) {
	w.runAfter(delay, func() {
		if a := execute(); answered {
			w.runAfter(w.answerDelay(kind), func() { w.answerOwner(k, event(a)) })
		}
	})
	if !answered {
		w.runAfter(500*time.Millisecond, func() { w.answerOwner(k, event(fleet.OrderAnswer{Outcome: fleet.OrderUnknown})) })
	}
}
