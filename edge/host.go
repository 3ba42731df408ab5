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

// Timeouts and intervals of a host.
const (
	// batchDelay is how long after an event the kernel decides, so that it decides on
	// events that arrive together in one go.
	batchDelay = 8 * time.Millisecond
	// idleTickInterval is the interval of the ticks that the kernel gets even without
	// events.
	idleTickInterval = 40 * time.Millisecond
	// orderTimeout limits a call to an executor. Without an answer, the outcome is
	// taken from the executor's next renewal.
	orderTimeout = 500 * time.Millisecond
	// renewTime is how much longer than its waiting time a renewal may take. Its answer may
	// list hundreds of runs; a silent executor shows earlier.
	renewTime = 2500 * time.Millisecond
	// vmOrderTimeout limits a call to the platform's interface for VMs.
	vmOrderTimeout = 1500 * time.Millisecond
	// listVMsTimeout limits a read of the list of VMs, whose pages are limited by their
	// progress.
	listVMsTimeout = 15 * time.Second
)

// host runs the kernel of the pools that this node owns.
type host struct {
	kernel    *cell.Kernel
	node      string
	executors core.ExecutorClient
	vms       core.VMClient
	advisor   core.Advisor
	codec     core.Codec
	store     core.MetadataStore
	// lookups limits the reads for callers' requests.
	lookups *lookups
	writer  *writer
	log     *eventlog.Log
	metrics *CallMetrics
	// onDeposed is called when a later owner is detected.
	onDeposed func(reason string)
	// onOverload is called while this VM is too slow for the pools.
	onOverload func()
	// links holds the nodes that carry orders; nil means that there are none.
	links *linkSet
	// loaded describes the index of the open jobs, and ended which ended jobs the kernel
	// knows; ended is nil if it knows all.
	loaded loadedJobs
	ended  *endedJobs

	ctx        context.Context
	cancel     context.CancelFunc
	system     *actor.ActorSystem
	pid        *actor.PID
	writes     chan cell.Write
	goroutines sync.WaitGroup
	// idleTickPending is set while an idle tick waits to be processed.
	idleTickPending atomic.Bool
	// listingVMs is set while the list of VMs is read.
	listingVMs atomic.Bool

	// Only the watch of the executors accesses oddEntries.
	oddEntries entryLog

	// Only the actor accesses the fields below.
	calls         map[cell.CallID]chan cell.Answer
	lastCall      cell.CallID
	tickScheduled bool
	// handingOver stops all orders while the ownership is handed over.
	handingOver bool
	// openStarts counts the starts without a report.
	openStarts int
	// broken stops all decisions after an internal error.
	broken   bool
	overload overloadDetector
	carriers carriers
	// orders holds the orders that this node sends itself.
	orders orderQueues
}

// submission passes a job or a cancellation to the kernel and receives its answer.
type submission struct {
	newEvent func(cell.CallID) cell.Event
	answer   chan cell.Answer
}

// inspection reads the kernel's state.
type inspection struct {
	inspect func(*cell.Kernel)
	done    chan struct{}
}

// verdictNotOwner is the verdict of a node that does not own the pools.
const verdictNotOwner cell.Verdict = "elsewhere"

// verdictFaulty is the verdict on a request that an owner cannot process; it has no
// effect, and no other owner could process it.
const verdictFaulty cell.Verdict = "faulty"

// scheduledTick is a tick of the host's own timers.
type scheduledTick struct{ due time.Time }

// beginHandover makes the host stop all orders, and process only ticks, finished
// writes and inspections.
type beginHandover struct{}

// start starts the kernel, which runs until stop.
func (h *host) start(system *actor.ActorSystem) {
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.calls = map[cell.CallID]chan cell.Answer{}
	h.overload.began = monotonicNow()
	h.writes = make(chan cell.Write, cell.MaxWrites)
	h.system = system
	h.pid = system.Root.Spawn(actor.PropsFromFunc(h.receive))
	h.goroutines.Go(func() { h.runOrHandOver("write to the store", h.runWriter) })
	h.goroutines.Go(func() { h.runOrHandOver("watch the executors", h.watchExecutors) })
	h.goroutines.Go(h.runIdleTicks)
	if h.ended != nil {
		h.goroutines.Go(func() { h.runOrHandOver("load the ended jobs", h.loadEndedJobs) })
	}
	h.goroutines.Go(func() { h.runOrHandOver("load the estimates", h.loadEstimates) })
	if h.links != nil {
		h.links.attach(h.send)
	}
}

// runOrHandOver runs a part of the owner. If it fails unexpectedly, the pools are handed
// over, since the others cannot go on without it.
func (h *host) runOrHandOver(what string, part func()) {
	err := guard(h.log, what, func() error {
		part()
		return nil
	})
	if err != nil {
		go h.onDeposed(err.Error())
	}
}

// stop stops the kernel and waits for all its calls to end.
func (h *host) stop() {
	h.cancel()
	h.goroutines.Wait()
	h.system.Root.Stop(h.pid)
}

func (h *host) send(e any) { h.system.Root.Send(h.pid, e) }

// handOver stops all orders and waits until all decisions are stored and no start is under way:
// an executor that starts again after the next owner has asked it would take it.
func (h *host) handOver(timeout time.Duration) {
	h.send(beginHandover{})
	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	for {
		idle := false
		if h.inspect(ctx, func(k *cell.Kernel) { idle = k.IsAllStored() && h.openStarts == 0 }) != nil || idle {
			return
		}
		sleep(ctx, batchDelay)
	}
}

func (h *host) runIdleTicks() {
	t := time.NewTicker(idleTickInterval)
	defer t.Stop()
	for {
		select {
		case due := <-t.C:
			// At most one idle tick is queued, so that ticks do not pile up on a slow VM.
			if h.idleTickPending.CompareAndSwap(false, true) {
				h.send(scheduledTick{due})
			}
		case <-h.ctx.Done():
			return
		}
	}
}

// receive processes one message of the actor. After an internal error the kernel's
// state cannot be relied on, so the pools are handed over to another node.
func (h *host) receive(c actor.Context) {
	if h.broken {
		h.refuse(c.Message(), verdictNotOwner)
		return
	}
	err := guard(h.log, "decide", func() error {
		h.handle(c.Message())
		return nil
	})
	if err != nil {
		h.broken = true
		h.refuse(c.Message(), verdictFaulty)
		go h.onDeposed(err.Error())
	}
}

// refuse answers a message that is not processed with a verdict.
func (h *host) refuse(message any, v cell.Verdict) {
	switch m := message.(type) {
	case submission:
		select {
		case m.answer <- cell.Answer{Verdict: v, Reason: "the request cannot be processed"}:
		default:
		}
	case inspection:
		select {
		case <-m.done:
		default:
			close(m.done)
		}
	}
}

// handle processes one message.
func (h *host) handle(message any) {
	switch m := message.(type) {
	case scheduledTick:
		h.idleTickPending.Store(false)
		h.tickScheduled = false
		// Go's clock stands still while the VM is suspended, so that a suspension does
		// not count as a delay.
		if h.overload.recordTick(monotonicNow(), time.Since(m.due)) {
			h.onOverload()
		}
		h.checkCarriers()
		h.step(cell.Tick{})
	case submission:
		if h.handingOver {
			m.answer <- cell.Answer{Verdict: verdictNotOwner}
			return
		}
		h.lastCall++
		h.calls[h.lastCall] = m.answer
		h.step(m.newEvent(h.lastCall))
	case inspection:
		m.inspect(h.kernel)
		close(m.done)
	case beginHandover:
		h.handingOver = true
		h.step(cell.Tick{})
	case linkJoined:
		h.joinCarrier(m.link)
	case linkLeft:
		h.loseCarrier(m.link)
	case linkRead:
		h.readCarrier(m)
	case cell.Written:
		h.step(m)
	case cell.EndedJobsLoaded:
		// Also during a handover: who asks about a job relies on it.
		h.step(m)
	case cell.Event:
		switch e := m.(type) {
		case cell.ExecutorsListed:
			h.carriers.assigner.SetExecutors(dataCentresOf(e.Executors))
		case cell.ExecutorsChanged:
			h.carriers.assigner.UpdateExecutors(dataCentresOf(e.Changed), e.Removed)
		}
		h.pass(m)
	}
}

// pass passes the report of an executor or of a service to the kernel. During a
// handover none is acknowledged: they are repeated to the next owner, and no further
// records have to be stored here.
func (h *host) pass(e cell.Event) {
	if _, ok := e.(cell.Started); ok {
		h.openStarts--
	}
	if !h.handingOver {
		h.step(e)
	}
}

// step passes an event to the kernel and applies the effects that it returns.
func (h *host) step(e cell.Event) {
	for _, effect := range h.kernel.Step(now(), e) {
		h.applyEffect(effect)
	}
	h.carriers.flush()
	if _, tick := e.(cell.Tick); !tick && !h.tickScheduled {
		h.tickScheduled = true
		due := time.Now().Add(batchDelay)
		time.AfterFunc(batchDelay, func() { h.send(scheduledTick{due}) })
	}
}

// applyEffect carries out one effect of the kernel.
func (h *host) applyEffect(effect cell.Effect) {
	switch e := effect.(type) {
	case cell.Log:
		h.logEvent(e)
	case cell.Reply:
		if c := h.calls[e.Call]; c != nil {
			delete(h.calls, e.Call)
			c <- e.Answer
		}
	case cell.Write:
		h.writes <- e
	case cell.Depose:
		h.log.Event(event.OwnerDeposed, zap.String("reason", e.Reason))
		go h.onDeposed(e.Reason)
	default:
		h.startCall(effect)
	}
}

func (h *host) logEvent(e cell.Log) {
	fields := make([]zap.Field, 0, len(e.Fields)/2)
	for i := 0; i+1 < len(e.Fields); i += 2 {
		name, _ := e.Fields[i].(string)
		fields = append(fields, zap.Any(name, e.Fields[i+1]))
	}
	h.log.Event(e.Event, fields...)
	h.metrics.countEvent(e.Event)
	if e.Event == event.RunStarted {
		h.metrics.recordStart(e.Fields)
	}
}

// startCall makes a call outside of the actor and sends its result to the kernel.
func (h *host) startCall(effect cell.Effect) {
	if h.handingOver {
		return
	}
	if o, ok := newOrder(effect); ok {
		h.sendOrder(o)
		return
	}
	switch e := effect.(type) {
	case cell.MaintainVM:
		h.callAsync(vmOrderTimeout, func(ctx context.Context) cell.Event {
			return cell.VMOrdered{VM: e.VM, Outcome: h.vms.Maintain(ctx, e.VM, e.Wave, h.node, e.Token)}
		})
	case cell.MoveVM:
		h.callAsync(vmOrderTimeout, func(ctx context.Context) cell.Event {
			return cell.VMOrdered{VM: e.VM, Outcome: h.vms.Move(ctx, e.VM, e.Pool, h.node, e.Token)}
		})
	case cell.ListVMs:
		// A list that takes longer than the time between two requests is not read twice.
		if h.listingVMs.CompareAndSwap(false, true) {
			h.callAsync(listVMsTimeout, h.listVMs)
		}
	case cell.RequestAdvice:
		h.callAsync(e.Timeout, func(ctx context.Context) cell.Event {
			sent := monotonicNow()
			advice, err := h.advisor.Advise(ctx, e.Step, e.Executors)
			if err != nil {
				h.log.Event(event.AdviceFailed, zap.String("step", e.Step), zap.Error(err))
			}
			return cell.AdviceReceived{Step: e.Step, Executors: e.Executors, Sent: sent, Advice: advice, Failed: err != nil}
		})
	}
}

func (h *host) listVMs(ctx context.Context) cell.Event {
	defer h.listingVMs.Store(false)
	requestedAt := monotonicNow()
	vms, err := h.vms.List(ctx)
	if err != nil {
		h.log.Event(event.VMListFailed, zap.Error(err))
		return cell.Tick{}
	}
	return cell.VMsListed{VMs: vms, RequestedAt: requestedAt}
}

// callAsync runs f with a timeout in a goroutine and sends the event that it
// returns to the kernel.
func (h *host) callAsync(timeout time.Duration, f func(context.Context) cell.Event) {
	h.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, timeout)
		defer cancel()
		h.runOrHandOver("call a service", func() { h.send(f(ctx)) })
	})
}

// outcomeLabel returns the outcome of a call as a label of the metrics.
func outcomeLabel(err error) string {
	if err != nil {
		return "error"
	}
	return "done"
}

// repairIndex makes the index of the open jobs complete, and removes from it what has
// ended.
func (h *host) repairIndex() error {
	if h.loaded.indexed {
		return h.writer.updateIndex(h.ctx, nil, h.loaded.stale)
	}
	if err := h.writer.updateIndex(h.ctx, h.loaded.open, nil); err != nil {
		return err
	}
	return h.writer.completeIndex(h.ctx)
}

// runWriter carries out the kernel's writes.
func (h *host) runWriter() {
	// The index is complete before the first write that removes from it.
	if err := h.repairIndex(); err != nil {
		if errors.Is(err, errDeposed) {
			go h.onDeposed(err.Error())
		}
		return
	}
	for {
		select {
		case <-h.ctx.Done():
			return
		case e := <-h.writes:
			h.goroutines.Go(func() { h.runOrHandOver("write to the store", func() { h.write(e) }) })
		}
	}
}

// write carries out one write. If it fails the ownership ends, so that the kernel hears no more of
// it.
func (h *host) write(e cell.Write) {
	began := time.Now()
	rejected, err := h.writer.write(h.ctx, e)
	h.metrics.recordCall("store", outcomeLabel(err), time.Since(began))
	switch {
	case err == nil:
		h.send(cell.Written{Write: e.Number, Revision: h.writer.latestRevision.Load(), Rejected: rejected})
	case errors.Is(err, errDeposed):
		go h.onDeposed(err.Error())
	}
}

// inspect runs f on the kernel between two events, and does not return while f runs. If it
// returns an error before that, f is not run.
func (h *host) inspect(ctx context.Context, f func(*cell.Kernel)) error {
	var mu sync.Mutex
	var returned bool
	msg := inspection{done: make(chan struct{}), inspect: func(k *cell.Kernel) {
		mu.Lock()
		defer mu.Unlock()
		if !returned {
			f(k)
		}
	}}
	h.send(msg)
	var err error
	select {
	case <-msg.done:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-h.ctx.Done():
		err = errNotOwner
	}
	mu.Lock()
	defer mu.Unlock()
	returned = true
	return err
}

// submit passes a job or a cancellation to the kernel and waits for the answer.
func (h *host) submit(ctx context.Context, newEvent func(cell.CallID) cell.Event) (cell.Answer, error) {
	s := submission{newEvent: newEvent, answer: make(chan cell.Answer, 1)}
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
