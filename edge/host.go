package edge

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
)

// Host times.
const (
	// quickTick is how soon after an event the kernel decides; events that come
	// together are decided on together.
	quickTick = 8 * time.Millisecond
	// idleTick lets time pass while nothing happens.
	idleTick = 40 * time.Millisecond
	// orderWithin is when an order that got no answer is looked up.
	orderWithin = 500 * time.Millisecond
	// renewGrace is how much longer than its waiting time a renewal may take.
	renewGrace = 600 * time.Millisecond
	// vmOrderWithin bounds a call to the platform's interface for VMs.
	vmOrderWithin = 1500 * time.Millisecond
	adviceWithin  = time.Second
)

// host runs the kernel of the pools that this node owns.
type host struct {
	kernel  *cell.Kernel
	node    string
	workers core.Workers
	vms     core.Machines
	advisor core.Advisor
	codec   core.Codec
	store   core.MetadataStore
	writer  *writer
	log     *eventlog.Log
	figures *Figures
	// deposed is called once when a later owner was met.
	deposed func(reason string)
	// yield is called while this VM is too slow for the pools.
	yield func()

	ctx    context.Context
	cancel context.CancelFunc
	system *actor.ActorSystem
	pid    *actor.PID
	writes chan cell.Write
	tasks  sync.WaitGroup
	// ticking says that an idle tick waits to be decided.
	ticking atomic.Bool

	// The fields below belong to the actor.
	calls  map[cell.CallID]chan cell.Answer
	lastID cell.CallID
	armed  bool
	// resting stops all orders while the ownership is handed over.
	resting bool
	pulse   pulse
}

// submission hands a job or a cancel to the kernel and waits for its answer.
type submission struct {
	event  func(cell.CallID) cell.Event
	answer chan cell.Answer
}

// question looks at the kernel.
type question struct {
	ask  func(*cell.Kernel)
	done chan struct{}
}

// verdictElsewhere says that this node is not the owner any more.
const verdictElsewhere cell.Verdict = "elsewhere"

// deadlineTick is the host's own timer.
type deadlineTick struct{ due time.Time }

// rest stops all orders and takes nothing more before a handover.
type rest struct{}

// start runs the kernel until stop.
func (h *host) start(system *actor.ActorSystem) {
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.calls = map[cell.CallID]chan cell.Answer{}
	h.pulse.began = mono()
	h.writes = make(chan cell.Write, 1)
	h.system = system
	h.pid = system.Root.Spawn(actor.PropsFromFunc(h.receive))
	h.tasks.Go(h.runWriter)
	h.tasks.Go(h.runExecutorList)
	h.tasks.Go(h.runTicks)
}

// stop ends the kernel and all its calls.
func (h *host) stop() {
	h.cancel()
	h.tasks.Wait()
	h.system.Root.Stop(h.pid)
}

func (h *host) send(e any) { h.system.Root.Send(h.pid, e) }

// handOver stops all orders and waits until what is decided is stored.
func (h *host) handOver(within time.Duration) {
	h.send(rest{})
	ctx, cancel := context.WithTimeout(h.ctx, within)
	defer cancel()
	for {
		idle := false
		if h.ask(ctx, func(k *cell.Kernel) { idle = k.Stored() }) != nil || idle {
			return
		}
		pause(ctx, quickTick)
	}
}

func (h *host) runTicks() {
	t := time.NewTicker(idleTick)
	defer t.Stop()
	for {
		select {
		case due := <-t.C:
			// A slow VM gets no queue of ticks.
			if h.ticking.CompareAndSwap(false, true) {
				h.send(deadlineTick{due})
			}
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *host) receive(c actor.Context) {
	switch m := c.Message().(type) {
	case deadlineTick:
		h.ticking.Store(false)
		h.armed = false
		// Go's clock stands still while the VM is suspended, which is no slowness.
		if h.pulse.observe(mono(), time.Since(m.due)) {
			h.yield()
		}
		h.step(cell.Tick{})
	case submission:
		if h.resting {
			m.answer <- cell.Answer{Verdict: verdictElsewhere}
			return
		}
		h.lastID++
		h.calls[h.lastID] = m.answer
		h.step(m.event(h.lastID))
	case question:
		m.ask(h.kernel)
		close(m.done)
	case rest:
		h.resting = true
		h.step(cell.Tick{})
	case cell.Written:
		h.step(m)
	case cell.Event:
		// What executors say during a handover is not acknowledged: the next owner
		// hears it, and nothing is added to what has to be stored.
		if !h.resting {
			h.step(m)
		}
	}
}

// step gives an event to the kernel and carries out what it decides.
func (h *host) step(e cell.Event) {
	for _, effect := range h.kernel.Step(now(), e) {
		h.carryOut(effect)
	}
	if _, tick := e.(cell.Tick); !tick && !h.armed {
		h.armed = true
		due := time.Now().Add(quickTick)
		time.AfterFunc(quickTick, func() { h.send(deadlineTick{due}) })
	}
}

func (h *host) carryOut(effect cell.Effect) {
	switch e := effect.(type) {
	case cell.Log:
		h.logLine(e)
	case cell.Reply:
		if c := h.calls[e.Call]; c != nil {
			delete(h.calls, e.Call)
			c <- e.Answer
		}
	case cell.Write:
		h.writes <- e
	case cell.Depose:
		h.log.Event(event.OwnerDeposed, zap.String("reason", e.Reason))
		go h.deposed(e.Reason)
	default:
		h.order(effect)
	}
}

func (h *host) logLine(e cell.Log) {
	fields := make([]zap.Field, 0, len(e.Fields)/2)
	for i := 0; i+1 < len(e.Fields); i += 2 {
		name, _ := e.Fields[i].(string)
		fields = append(fields, zap.Any(name, e.Fields[i+1]))
	}
	h.log.Event(e.Event, fields...)
}

// order makes a call outside of the actor and reports its answer to the kernel.
func (h *host) order(effect cell.Effect) {
	if h.resting {
		return
	}
	switch e := effect.(type) {
	case cell.Start:
		h.call(orderWithin, func(ctx context.Context) cell.Event {
			sent := mono()
			answer := h.workers.Start(ctx, e.Order)
			h.figures.observe("executor", string(answer.Outcome), mono()-sent)
			return cell.Started{Executor: e.Order.Executor, Task: e.Order.Task, Run: e.Order.Run, Sent: sent, Answer: answer}
		})
	case cell.Stop:
		h.call(orderWithin, func(ctx context.Context) cell.Event {
			sent := mono()
			return cell.Stopped{Executor: e.Order.Executor, Task: e.Order.Task, Run: e.Order.Run, Sent: sent, Answer: h.workers.Stop(ctx, e.Order)}
		})
	case cell.Pace:
		h.call(orderWithin, func(ctx context.Context) cell.Event {
			h.workers.Pace(ctx, e.Order)
			return cell.Tick{}
		})
	case cell.Renew:
		within := time.Duration(e.Order.WaitMs)*time.Millisecond + renewGrace
		h.call(within, func(ctx context.Context) cell.Event {
			sent := mono()
			return cell.Renewed{Executor: e.Order.Executor, Sent: sent, State: h.workers.Renew(ctx, e.Order)}
		})
	case cell.MaintainVM:
		h.call(vmOrderWithin, func(ctx context.Context) cell.Event {
			return cell.VMOrdered{VM: e.VM, Outcome: h.vms.Maintain(ctx, e.VM, e.Wave, h.node, e.Token)}
		})
	case cell.MoveVM:
		h.call(vmOrderWithin, func(ctx context.Context) cell.Event {
			return cell.VMOrdered{VM: e.VM, Outcome: h.vms.Move(ctx, e.VM, e.Pool, h.node, e.Token)}
		})
	case cell.ListVMs:
		h.call(vmOrderWithin, h.listVMs)
	case cell.AskAdvice:
		h.call(adviceWithin, func(ctx context.Context) cell.Event {
			sent := mono()
			advice, err := h.advisor.Advise(ctx, e.Step, e.Executors)
			if err != nil {
				h.log.Event(event.AdviceFailed, zap.String("step", e.Step), zap.Error(err))
			}
			return cell.Advised{Step: e.Step, Asked: e.Executors, Sent: sent, Advice: advice}
		})
	}
}

func (h *host) listVMs(ctx context.Context) cell.Event {
	asked := mono()
	vms, err := h.vms.List(ctx)
	if err != nil {
		h.log.Event(event.VMListFailed, zap.Error(err))
		return cell.Tick{}
	}
	return cell.VMsListed{VMs: vms, Asked: asked}
}

func (h *host) call(within time.Duration, f func(context.Context) cell.Event) {
	h.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, within)
		defer cancel()
		h.send(f(ctx))
	})
}

// outcomeOf names the outcome of a call for the figures.
func outcomeOf(err error) string {
	if err != nil {
		return "error"
	}
	return "done"
}

// runWriter stores one write after the other.
func (h *host) runWriter() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case e := <-h.writes:
			began := time.Now()
			err := h.writer.write(h.ctx, e)
			h.figures.observe("store", outcomeOf(err), time.Since(began))
			if err != nil {
				if errors.Is(err, errDeposed) {
					go h.deposed(err.Error())
				}
				return
			}
			h.send(cell.Written{Write: e.Number})
		}
	}
}

// ask runs f on the kernel between two events.
func (h *host) ask(ctx context.Context, f func(*cell.Kernel)) error {
	q := question{ask: f, done: make(chan struct{})}
	h.send(q)
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-h.ctx.Done():
		return errNotOwner
	}
}

// submit hands a job or a cancel in and waits for the answer.
func (h *host) submit(ctx context.Context, event func(cell.CallID) cell.Event) (cell.Answer, error) {
	s := submission{event: event, answer: make(chan cell.Answer, 1)}
	h.send(s)
	select {
	case a := <-s.answer:
		return a, nil
	case <-ctx.Done():
		return cell.Answer{}, ctx.Err()
	case <-h.ctx.Done():
		return cell.Answer{}, errUncertain
	}
}
