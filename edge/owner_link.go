package edge

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/common/jsonstream"
	"jacinthwind/core/carrier"
	"jacinthwind/core/event"
)

// Limits and intervals of links.
const (
	// linkSilence is how long a link may bring nothing before it is closed.
	linkSilence = 2500 * time.Millisecond
	// linkHeartbeat is the longest time between two messages of one side.
	linkHeartbeat = time.Second
	// carrierHeartbeat is the longest time between two messages of one side while
	// the node carries orders, short enough for several within the time after which
	// the owner gives the orders to another node.
	carrierHeartbeat = 200 * time.Millisecond
	// maxLinkCalls limits the callers' requests of one link that the owner works on.
	maxLinkCalls = 500
	// lateCallAge is the age from which on a call is logged as late.
	lateCallAge = 200 * time.Millisecond
	// maxLinkBacklog limits the orders and answers that wait to be written to one
	// link. A link that takes none for so long is closed.
	maxLinkBacklog = 5000
	// maxPartBytes is the size from which a message is divided: a part must arrive well
	// within the time after which a silent link is closed.
	maxPartBytes = 256 << 10
)

// ownerLink is the owner's end of the link to a node.
type ownerLink struct {
	node carrier.Node
	// leaving is set if the node stops, and so takes no orders.
	leaving bool
	// wake tells the sender that a message waits.
	wake chan struct{}

	mu      sync.Mutex
	pending ownerMessage
	// carrying is set while the node carries orders.
	carrying bool
	// nodeClockMs is the node's clock in the last message that was read.
	nodeClockMs int64
	overflowed  bool
	// serving is set once the owner takes callers' requests.
	serving bool
}

// linkJoined, linkLeft and linkRead tell the host of a link that opened or closed
// and of what it brought.
type (
	linkJoined struct{ link *ownerLink }
	linkLeft   struct{ link *ownerLink }
	linkRead   struct {
		link    *ownerLink
		echo    time.Duration
		leaving bool
		reports []orderReport
	}
)

// linkSet holds the links of the nodes while this node claims or owns the pools.
type linkSet struct {
	incarnation string
	log         *eventlog.Log
	// handle answers a caller's request as the owner.
	handle func(context.Context, ownerCall) (ownerAnswer, error)

	mu    sync.Mutex
	links map[*ownerLink]bool
	// ctx ends with the ownership; it is nil while this node takes no links.
	ctx    context.Context
	cancel context.CancelFunc
	// notify passes changes and messages to the host once there is one.
	notify func(any)
}

// open lets nodes link to this node.
func (s *linkSet) open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.links = map[*ownerLink]bool{}
}

// attach passes all links, and all further changes and messages, to a host.
func (s *linkSet) attach(notify func(any)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify = notify
	for l := range s.links {
		notify(linkJoined{l})
		l.setServing()
	}
}

// close ends all links; nodes that try to link are refused.
func (s *linkSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	s.ctx, s.notify, s.links = nil, nil, nil
}

// count returns the number of links.
func (s *linkSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}

// add registers a link and returns the context that ends with the ownership, nil if
// this node takes no links.
func (s *linkSet) add(l *ownerLink) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		return nil
	}
	s.links[l] = true
	if s.notify != nil {
		s.notify(linkJoined{l})
		l.setServing()
	}
	return s.ctx
}

// remove forgets a link that has ended.
func (s *linkSet) remove(l *ownerLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.links[l] {
		return
	}
	delete(s.links, l)
	if s.notify != nil {
		s.notify(linkLeft{l})
	}
}

// pass passes what a link brought to the host.
func (s *linkSet) pass(m linkRead) {
	s.mu.Lock()
	notify := s.notify
	s.mu.Unlock()
	if notify != nil {
		notify(m)
	}
}

// isOpen reports whether nodes may link to this node.
func (s *linkSet) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx != nil
}

// serve serves the link of a node until one side closes it.
func (s *linkSet) serve(w http.ResponseWriter, r *http.Request) {
	if !s.isOpen() {
		jsonstream.Refuse(w, http.StatusMisdirectedRequest, "this node does not own the pools")
		return
	}
	stream, err := jsonstream.Accept(w, r, linkSilence)
	if err != nil {
		s.log.Event(event.LinkFault, zap.Error(err))
		return
	}
	defer stream.Close()
	var first nodeMessage
	if err := stream.Receive(&first); err != nil || first.Hello == nil || first.Hello.Owner != s.incarnation {
		s.log.Event(event.LinkFault, zap.String("reason", "the first message names no node, or another owner"), zap.Error(err))
		return
	}
	hello := first.Hello
	l := &ownerLink{
		node:        carrier.Node{Name: hello.Node, DataCentre: hello.DataCentre, Cores: hello.Cores},
		leaving:     first.Leaving,
		wake:        make(chan struct{}, 1),
		nodeClockMs: first.ClockMs,
	}
	ctx := s.add(l)
	if ctx == nil {
		return
	}
	defer s.remove(l)
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, stream.Close)
	var sender sync.WaitGroup
	sender.Go(func() {
		l.send(ctx, stream)
		cancel()
	})
	// The handler must not return before its last write has ended.
	defer sender.Wait()
	defer stream.Close()
	defer cancel()
	defer stop()
	reason := s.read(ctx, l, stream)
	s.log.Event(event.LinkClosed, zap.String("peer", hello.Node), zap.Error(reason))
}

// read passes on the messages of a link until it ends, and returns why it ended.
func (s *linkSet) read(ctx context.Context, l *ownerLink, stream *jsonstream.Stream) error {
	slots := make(chan struct{}, maxLinkCalls)
	var freshness carrier.Freshness
	for {
		var m nodeMessage
		err := stream.Receive(&m)
		var malformed *jsonstream.DecodeError
		if errors.As(err, &malformed) {
			// What the message reported is reported again by the executors.
			s.log.Event(event.LinkFault, zap.String("peer", l.node.Name), zap.Error(err))
			continue
		}
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.nodeClockMs = max(l.nodeClockMs, m.ClockMs)
		l.mu.Unlock()
		if m.EchoMs > 0 {
			// The node rounds its clock down, which a millisecond more covers.
			freshness.Compare(monotonicNow(), time.Duration(m.EchoMs)*time.Millisecond, time.Duration(m.ClockMs+1)*time.Millisecond)
			s.pass(linkRead{l, time.Duration(m.EchoMs) * time.Millisecond, m.Leaving, m.Reports})
		}
		received := monotonicNow()
		age, ok := freshness.MaxAge(received, time.Duration(m.ClockMs)*time.Millisecond)
		for _, call := range m.Calls {
			if !ok {
				l.addAnswer(linkAnswer{ID: call.ID, Error: "it is not known when the request was sent"})
				continue
			}
			// The node had read what the owner sent at the time that it echoes, rounded down.
			sent := max(received-age, time.Duration(m.EchoMs+1)*time.Millisecond)
			call.sent = sent - time.Duration(call.AgeMs)*time.Millisecond
			call.deadline = sent + min(time.Duration(call.TimeoutMs)*time.Millisecond, ownerCallTimeout)
			if call.Attempt > 1 || age > lateCallAge {
				s.log.Event(event.CallLate, zap.String("kind", string(call.Kind)), zap.String("job", call.subject()), zap.String("peer", l.node.Name),
					zap.Int("attempt", call.Attempt), zap.Int64("age_ms", age.Milliseconds()))
			}
			select {
			case slots <- struct{}{}:
				go func() {
					defer func() { <-slots }()
					s.answer(ctx, l, call)
				}()
			default:
				l.addAnswer(linkAnswer{ID: call.ID, Error: "too many requests of this node are in progress"})
			}
		}
	}
}

// answer answers a caller's request of a node while its caller waits.
func (s *linkSet) answer(ctx context.Context, l *ownerLink, call linkCall) {
	answer := linkAnswer{ID: call.ID}
	left := call.deadline - monotonicNow()
	if left <= 0 {
		answer.Error = "the request arrived after its caller had stopped waiting"
		l.addAnswer(answer)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := guard(s.log, "answer a caller's request", func() (err error) {
		answer.ownerAnswer, err = s.handle(ctx, call.ownerCall)
		return err
	})
	if err != nil {
		answer.Error = err.Error()
	}
	l.addAnswer(answer)
}

// addAnswer queues an answer.
func (l *ownerLink) addAnswer(a linkAnswer) {
	l.mu.Lock()
	l.pending.Answers = append(l.pending.Answers, a)
	l.checkBacklog()
	l.mu.Unlock()
	l.signal()
}

// addOrder queues an order; flush has to follow.
func (l *ownerLink) addOrder(o carriedOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.carrying = true
	l.pending.Orders = append(l.pending.Orders, o)
	l.checkBacklog()
}

// checkBacklog drops what waits if the node does not read.
func (l *ownerLink) checkBacklog() {
	if len(l.pending.Orders)+len(l.pending.Answers) > maxLinkBacklog {
		l.pending, l.overflowed = ownerMessage{}, true
	}
}

// signal makes the sender send what is queued.
func (l *ownerLink) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// heartbeat returns the longest time between two messages.
func (l *ownerLink) heartbeat() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.carrying {
		return carrierHeartbeat
	}
	return linkHeartbeat
}

// setCarrying records whether the node carries orders.
func (l *ownerLink) setCarrying(carrying bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.carrying = carrying
}

// setServing lets the node pass on callers' requests.
func (l *ownerLink) setServing() {
	l.mu.Lock()
	l.serving = true
	l.mu.Unlock()
	l.signal()
}

// take returns the message to send, and false if the link has to be closed.
func (l *ownerLink) take() (ownerMessage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.pending
	l.pending = ownerMessage{}
	m.ClockMs, m.EchoMs, m.Serving, m.Carrying = monotonicNow().Milliseconds(), l.nodeClockMs, l.serving, l.carrying
	return m, !l.overflowed
}

// send sends what is queued, at least one message per heartbeat, until the link
// ends.
func (l *ownerLink) send(ctx context.Context, stream *jsonstream.Stream) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-t.C:
		}
		m, ok := l.take()
		if !ok || l.sendParts(stream, m) != nil {
			return
		}
		t.Reset(l.heartbeat())
	}
}

// sendParts sends a message, in parts if it is too large. An answer or an order that is too
// large by itself is dropped; the order's executor then counts as silent.
func (l *ownerLink) sendParts(stream *jsonstream.Stream, m ownerMessage) error {
	items := len(m.Answers) + len(m.Orders)
	err := stream.SendWithin(m, partLimit(items))
	var size *jsonstream.SizeError
	if !errors.As(err, &size) {
		return err
	}
	if items <= 1 {
		return nil
	}
	rest := m
	if len(m.Answers) > 0 && len(m.Orders) > 0 {
		m.Orders, rest.Answers = nil, nil
	} else {
		m.Answers, rest.Answers = halves(m.Answers)
		m.Orders, rest.Orders = halves(m.Orders)
	}
	if err := l.sendParts(stream, m); err != nil {
		return err
	}
	return l.sendParts(stream, rest)
}
