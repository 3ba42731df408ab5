package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/common/jsonhttp"
	"jacinthwind/common/jsonstream"
	"jacinthwind/core"
	"jacinthwind/core/carrier"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

const (
	// reportDelay is how long a node gathers executors' answers before it sends them
	// to the owner.
	reportDelay = 10 * time.Millisecond
	// carrierSilence is how long a node that carries orders hears nothing from the
	// owner before it links again. The deadlines that it has granted last longer.
	carrierSilence = 1500 * time.Millisecond
	// linkAnswerTimeout limits the time until the owner answers the opening of a link. A
	// node of an older build does not answer.
	linkAnswerTimeout = 600 * time.Millisecond
	// linkRetryDelay is the longest random delay before a node links again.
	linkRetryDelay = 100 * time.Millisecond
	// maxCarriedOrders limits the orders that a node works on at a time.
	maxCarriedOrders = 5000
	// unansweredCallLimit is how many callers' requests in a row may stay without an
	// answer before the node opens a new link.
	unansweredCallLimit = 2
)

// errLinkEnded means that the link ended before the owner answered.
var errLinkEnded = errors.New("call owner: the link ended before its answer")

// nodeLink is a node's end of its link to the owner. It passes on callers' requests
// and sends the owner's orders to executors.
type nodeLink struct {
	hello     nodeHello
	executors core.ExecutorClient
	log       *eventlog.Log
	stream    *jsonstream.Stream
	wake      chan struct{}
	ended     chan struct{}
	// serving is closed once the owner takes callers' requests.
	serving chan struct{}

	mu      sync.Mutex
	pending nodeMessage
	calls   map[int64]chan linkAnswer
	last    int64
	// unanswered counts the requests in a row that got no answer.
	unanswered int
	leaving    bool
	isServing  bool
	// carrying is set while the owner assigns executors to this node.
	carrying bool
	// ownerClockMs is the owner's clock in the last message that was read.
	ownerClockMs int64
	freshness    carrier.Freshness
	// working counts the orders in progress.
	working int
}

// openLink links to the owner at an address.
func openLink(ctx context.Context, client *http.Client, address string, hello nodeHello, executors core.ExecutorClient, log *eventlog.Log) (*nodeLink, error) {
	stream, err := jsonstream.Open(ctx, client, "http://"+address+linkPath, jsonstream.Options{
		Answer: linkAnswerTimeout, Silence: linkSilence, Compress: hello.SlowLink,
	})
	if err != nil {
		return nil, fmt.Errorf("link to owner at %s: %w", address, err)
	}
	return &nodeLink{
		hello: hello, executors: executors, log: log, stream: stream,
		wake: make(chan struct{}, 1), ended: make(chan struct{}), serving: make(chan struct{}), calls: map[int64]chan linkAnswer{},
	}, nil
}

// run serves the link until it ends, and returns why it ended.
func (l *nodeLink) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, l.stream.Close)
	defer stop()
	defer close(l.ended)
	defer l.stream.Close()
	hello := l.hello
	l.mu.Lock()
	first := nodeMessage{Hello: &hello, ClockMs: monotonicNow().Milliseconds(), Leaving: l.leaving}
	l.mu.Unlock()
	if err := l.stream.Send(first); err != nil {
		return err
	}
	go l.send(ctx)
	for {
		var m ownerMessage
		err := l.stream.Receive(&m)
		var malformed *jsonstream.DecodeError
		if errors.As(err, &malformed) {
			// The owner takes the orders in it as unanswered.
			l.log.Event(event.LinkFault, zap.String("peer", "owner"), zap.Error(err))
			continue
		}
		if err != nil {
			return err
		}
		l.receive(ctx, m)
	}
}

// receive handles a message of the owner.
func (l *nodeLink) receive(ctx context.Context, m ownerMessage) {
	now := monotonicNow()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownerClockMs = max(l.ownerClockMs, m.ClockMs)
	if m.Carrying && !l.carrying {
		// The next heartbeat may be too far away.
		defer l.signal()
	}
	l.carrying = m.Carrying
	if len(m.Answers)+len(m.Orders) == 0 {
		// The owner learns from the echo of a fresh message how old calls are.
		defer l.signal()
	}
	if m.Serving && !l.isServing {
		l.isServing = true
		close(l.serving)
	}
	if m.EchoMs > 0 {
		// The owner rounds its clock down, which a millisecond more covers.
		l.freshness.Compare(now, time.Duration(m.EchoMs)*time.Millisecond, time.Duration(m.ClockMs+1)*time.Millisecond)
	}
	for _, a := range m.Answers {
		if c := l.calls[a.ID]; c != nil {
			delete(l.calls, a.ID)
			c <- a
			l.unanswered = 0
		}
	}
	for _, o := range m.Orders {
		if o.executor() == "" {
			l.log.Event(event.LinkFault, zap.String("peer", "owner"), zap.Int64("order", o.ID), zap.String("reason", "the order has no known kind or names no executor"))
			l.addReport(orderReport{ID: o.ID, Answer: fleet.OrderAnswer{Outcome: fleet.OrderInvalid}})
			continue
		}
		if l.working >= maxCarriedOrders {
			l.addReport(unknownReport(o.ID))
			continue
		}
		l.working++
		go l.carry(ctx, o)
	}
}

// carry sends an order to its executor, unless it has become too old, and reports
// the answer.
func (l *nodeLink) carry(ctx context.Context, o carriedOrder) {
	report := unknownReport(o.ID)
	sent := time.Duration(o.SentMs) * time.Millisecond
	l.mu.Lock()
	now := monotonicNow()
	fresh := ctx.Err() == nil && l.freshness.IsFresh(now, sent)
	age, _ := l.freshness.MaxAge(now, sent)
	l.mu.Unlock()
	if fresh {
		// A call that is under way ends by its own timeout: cancelling it would not undo
		// the order and would close the connection. It must not outlast the order, which the
		// owner gives up then.
		_ = guard(l.log, "carry an order", func() error {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.timeout()+carryTimeout-age)
			defer cancel()
			report = o.send(ctx, l.executors)
			return nil
		})
	} else {
		l.log.Event(event.OrderTooOld, zap.Int64("order", o.ID), zap.String("executor", o.executor()))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.working--
	l.addReport(report)
}

// addReport queues a report; the first one wakes the sender after reportDelay.
func (l *nodeLink) addReport(r orderReport) {
	l.pending.Reports = append(l.pending.Reports, r)
	if len(l.pending.Reports) == 1 {
		time.AfterFunc(reportDelay, l.signal)
	}
}

// signal makes the sender send what is queued.
func (l *nodeLink) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take returns the message to send and the time until the next heartbeat.
func (l *nodeLink) take() (nodeMessage, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.pending
	l.pending = nodeMessage{}
	now := monotonicNow()
	m.ClockMs, m.EchoMs, m.Leaving = now.Milliseconds(), l.ownerClockMs, l.leaving
	for i := range m.Calls {
		c := &m.Calls[i]
		c.TimeoutMs = (c.deadline - now).Milliseconds()
		if c.began != 0 {
			c.AgeMs = (now - c.began).Milliseconds()
		}
	}
	if l.carrying {
		l.stream.SetSilence(carrierSilence)
		return m, lateHeartbeat(carrierHeartbeat)
	}
	l.stream.SetSilence(linkSilence)
	return m, lateHeartbeat(linkHeartbeat)
}

// lateHeartbeat returns the interval after which a node sends a heartbeat if it has none of the
// owner's to answer.
func lateHeartbeat(ownerInterval time.Duration) time.Duration { return ownerInterval * 5 / 4 }

// leave announces to the owner that this node stops.
func (l *nodeLink) leave() {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	l.signal()
}

// send sends what is queued, at least one message per heartbeat, until the link
// ends.
func (l *nodeLink) send(ctx context.Context) {
	t := time.NewTimer(linkHeartbeat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-t.C:
		}
		m, next := l.take()
		if l.sendParts(m) != nil {
			l.stream.Close()
			return
		}
		t.Reset(next)
	}
}

// sendParts sends a message, in parts if it is too large. A request that is too large by
// itself is answered here, and such a report is dropped: its executor reports again.
func (l *nodeLink) sendParts(m nodeMessage) error {
	items := len(m.Calls) + len(m.Reports)
	err := l.stream.SendWithin(m, partLimit(items))
	var size *jsonstream.SizeError
	if !errors.As(err, &size) {
		return err
	}
	if items > 1 {
		rest := m
		if len(m.Reports) > 0 && len(m.Calls) > 0 {
			m.Reports, rest.Calls = nil, nil
		} else {
			m.Calls, rest.Calls = halves(m.Calls)
			m.Reports, rest.Reports = halves(m.Reports)
		}
		if err := l.sendParts(m); err != nil {
			return err
		}
		return l.sendParts(rest)
	}
	l.log.Event(event.LinkFault, zap.String("peer", "owner"), zap.Error(err))
	for _, c := range m.Calls {
		l.mu.Lock()
		answer := l.calls[c.ID]
		delete(l.calls, c.ID)
		l.mu.Unlock()
		if answer != nil {
			answer <- linkAnswer{ID: c.ID, ownerAnswer: ownerAnswer{Answer: cell.Answer{Verdict: verdictFaulty, Reason: err.Error()}}}
		}
	}
	for _, r := range m.Reports {
		l.mu.Lock()
		l.addReport(unknownReport(r.ID))
		l.mu.Unlock()
	}
	return nil
}

// partLimit returns how large a message with the given number of items may be.
func partLimit(items int) int {
	if items > 1 {
		return maxPartBytes
	}
	return jsonhttp.MaxMessageBytes
}

// halves divides a list into two parts.
func halves[T any](list []T) (first, rest []T) {
	n := (len(list) + 1) / 2
	return list[:n], list[n:]
}

// call passes a caller's request to the owner, once it serves, and waits for the
// answer. An owner that still reads the stored records is not sent any requests: they
// would only delay it.
func (l *nodeLink) call(ctx context.Context, call ownerCall) (ownerAnswer, error) {
	call.deadline = monotonicNow() + timeLeft(ctx)
	answer := make(chan linkAnswer, 1)
	select {
	case <-l.serving:
	case <-l.ended:
		return ownerAnswer{}, errNotSent
	case <-ctx.Done():
		return ownerAnswer{}, errNotSent
	}
	l.mu.Lock()
	l.last++
	id := l.last
	l.calls[id] = answer
	l.pending.Calls = append(l.pending.Calls, linkCall{ID: id, ownerCall: call})
	l.mu.Unlock()
	l.signal()
	select {
	case a := <-answer:
		if a.Error != "" {
			return ownerAnswer{}, fmt.Errorf("call owner: %s", a.Error)
		}
		return a.ownerAnswer, nil
	case <-l.ended:
		return ownerAnswer{}, l.giveUp(id, errLinkEnded)
	case <-ctx.Done():
		return ownerAnswer{}, l.giveUp(id, ctx.Err())
	}
}

// giveUp forgets a call without an answer, and ends the link after several. It
// returns errNotSent if the call has not been sent, and cause otherwise.
func (l *nodeLink) giveUp(id int64, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, id)
	if i := slices.IndexFunc(l.pending.Calls, func(c linkCall) bool { return c.ID == id }); i >= 0 {
		l.pending.Calls = slices.Delete(l.pending.Calls, i, i+1)
		return errNotSent
	}
	if l.unanswered++; l.unanswered >= unansweredCallLimit {
		l.stream.Close()
	}
	return cause
}

// keepLink keeps this node linked to the owner, if that is another node, until ctx
// ends.
func (p *Process) keepLink(ctx context.Context) {
	for ctx.Err() == nil {
		record, changed := p.ownership.currentRecord()
		if record.Node == "" || record.Incarnation == p.incarnation {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		linked, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			p.awaitOtherOwner(linked, record)
		}()
		p.serveLink(linked, record)
		cancel()
		sleep(ctx, rand.N(linkRetryDelay))
	}
}

// awaitOtherOwner returns when the store names another owner or ctx ends.
func (p *Process) awaitOtherOwner(ctx context.Context, linked ownerRecord) {
	for {
		record, changed := p.ownership.currentRecord()
		if record.Incarnation != linked.Incarnation || record.Generation != linked.Generation {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// serveLink links to an owner and serves the link until it ends.
func (p *Process) serveLink(ctx context.Context, record ownerRecord) {
	hello := nodeHello{Node: p.settings.Node, DataCentre: p.settings.DataCentre, Cores: p.settings.Cores, SlowLink: p.settings.SlowLink, Owner: record.Incarnation}
	// Connections that were kept may have fallen silent together with an earlier link.
	p.peerClient.CloseIdleConnections()
	l, err := openLink(ctx, p.peerClient, record.Address, hello, p.ownership.executors, p.log)
	if err != nil {
		p.unlinkable.Store(&record)
	} else {
		p.link.Store(l)
		if p.stopping.Load() {
			l.leave()
		}
		err = l.run(ctx)
		p.link.CompareAndSwap(l, nil)
	}
	if ctx.Err() == nil {
		p.log.Event(event.LinkLost, zap.String("owner", record.Node), zap.Error(err))
	}
}
