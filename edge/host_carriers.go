package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"jacinthwind/core/carrier"
	"jacinthwind/core/cell"
	"jacinthwind/core/event"
	"jacinthwind/core/fleet"
)

const (
	// carryTimeout is how much longer than a direct call an order may take that a node
	// carries. Without a report by then, the outcome is unknown.
	carryTimeout = cell.MaxOrderTime - orderTimeout
	// carrierCheckInterval is the time between two checks of the nodes and orders.
	carrierCheckInterval = 50 * time.Millisecond
	// maxOwnerSlowness is how long the messages to and from most nodes may be late
	// before the pools are handed over. With the time after which one message is late
	// it is longer than the work that comes with a burst.
	maxOwnerSlowness = 300 * time.Millisecond
)

// outstandingOrder is an order that a node carries.
type outstandingOrder struct {
	carriedOrder
	link *ownerLink
	sent time.Duration
}

// carriers holds the nodes that carry the owner's orders, and the orders that they
// have not reported. Its zero value sends all orders from the owner itself.
type carriers struct {
	assigner  carrier.Assigner
	links     map[string]*ownerLink
	orders    map[int64]*outstandingOrder
	lastOrder int64
	checkedAt time.Duration
	// slowSince is since when the messages to and from most nodes are late, zero if they
	// are not.
	slowSince time.Duration
	// touched holds the links with orders that wait for flush.
	touched []*ownerLink
}

// dataCentresOf returns the data centre of each executor by id.
func dataCentresOf(executors []fleet.Executor) map[string]string {
	dataCentres := make(map[string]string, len(executors))
	for i := range executors {
		dataCentres[executors[i].ID] = executors[i].DataCentre
	}
	return dataCentres
}

// flush makes the links send the orders of one decision together.
func (c *carriers) flush() {
	for _, l := range c.touched {
		l.signal()
	}
	c.touched = c.touched[:0]
}

// add hands an order to a node.
func (c *carriers) add(l *ownerLink, o carriedOrder, now time.Duration) {
	c.lastOrder++
	o.ID, o.SentMs = c.lastOrder, now.Milliseconds()
	if c.orders == nil {
		c.orders = map[int64]*outstandingOrder{}
	}
	c.orders[o.ID] = &outstandingOrder{o, l, now}
	l.addOrder(o)
	if !slices.Contains(c.touched, l) {
		c.touched = append(c.touched, l)
	}
}

// takeUnreported removes and returns the orders for which lost returns true, in the
// order in which they were given.
func (c *carriers) takeUnreported(lost func(*outstandingOrder) bool) []*outstandingOrder {
	var taken []*outstandingOrder
	for _, o := range c.orders {
		if lost(o) {
			taken = append(taken, o)
		}
	}
	slices.SortFunc(taken, func(a, b *outstandingOrder) int { return int(a.ID - b.ID) })
	for _, o := range taken {
		delete(c.orders, o.ID)
	}
	return taken
}

// hasOrders reports whether a node has not reported all its orders.
func (c *carriers) hasOrders(l *ownerLink) bool {
	for _, o := range c.orders {
		if o.link == l {
			return true
		}
	}
	return false
}

// sendOrder sends an order to its executor, through a node or from here.
func (h *host) sendOrder(o carriedOrder) {
	now := monotonicNow()
	if o.Start != nil {
		h.openStarts++
	}
	if name := h.carriers.assigner.CarrierOf(now, o.executor()); name != "" {
		if l := h.carriers.links[name]; l != nil {
			h.carriers.add(l, o, now)
			return
		}
	}
	deadline := time.Now().Add(o.timeout())
	send := func() {
		r := unknownReport(o.ID)
		_ = guard(h.log, "send an order", func() error {
			ctx, cancel := context.WithDeadline(h.ctx, deadline)
			defer cancel()
			r = o.send(ctx, h.executors)
			return nil
		})
		h.metrics.recordCall("executor", string(r.Answer.Outcome), monotonicNow()-now)
		h.send(o.event(now, r))
	}
	if o.Renew != nil {
		// Renewals have connections of their own.
		h.goroutines.Go(send)
		return
	}
	h.orders.add(o.executor(), h.goroutines.Go, send)
}

// joinCarrier adds a node that has linked to this owner.
func (h *host) joinCarrier(l *ownerLink) {
	if earlier := h.carriers.links[l.node.Name]; earlier != nil {
		h.loseCarrier(earlier)
	}
	if h.carriers.links == nil {
		h.carriers.links = map[string]*ownerLink{}
	}
	h.carriers.links[l.node.Name] = l
	if !l.leaving {
		h.carriers.assigner.Join(monotonicNow(), l.node)
	}
	h.log.Event(event.CarrierJoined, zap.String("peer", l.node.Name), zap.String("data_centre", l.node.DataCentre), zap.Float64("cores", l.node.Cores))
}

// loseCarrier removes a node whose link has ended; what it has not reported is
// unknown.
func (h *host) loseCarrier(l *ownerLink) {
	if h.carriers.links[l.node.Name] != l {
		return
	}
	delete(h.carriers.links, l.node.Name)
	carried := h.carriers.assigner.Carried(l.node.Name) > 0
	h.carriers.assigner.Leave(monotonicNow(), l.node.Name)
	if !carried && !h.carriers.hasOrders(l) {
		return
	}
	h.giveUpOrders("the link to the node ended", l.node.Name, func(o *outstandingOrder) bool { return o.link == l })
}

// readCarrier handles what a node reports.
func (h *host) readCarrier(m linkRead) {
	now := monotonicNow()
	if h.carriers.links[m.link.node.Name] != m.link {
		return
	}
	if m.leaving {
		// What it has begun is still reported.
		h.carriers.assigner.Leave(now, m.link.node.Name)
	}
	h.carriers.assigner.Echo(now, m.link.node.Name, m.echo)
	for _, r := range m.reports {
		o := h.carriers.orders[r.ID]
		if o == nil || o.link != m.link {
			continue
		}
		delete(h.carriers.orders, r.ID)
		h.metrics.recordCall("carrier", string(r.Answer.Outcome), now-o.sent)
		h.pass(o.event(o.sent, r))
	}
}

// checkCarriers checks the nodes and the orders at most once per carrierCheckInterval.
func (h *host) checkCarriers() {
	now := monotonicNow()
	if now < h.carriers.checkedAt+carrierCheckInterval {
		return
	}
	h.carriers.checkedAt = now
	h.checkCarriersAt(now)
}

// checkCarriersAt gives the executors of slow or silent nodes to others, gives up orders
// that were not reported in time, and hands the pools over if most nodes are late.
func (h *host) checkCarriersAt(now time.Duration) {
	c := &h.carriers
	suspected, slow := c.assigner.Check(now)
	switch {
	case !slow:
		c.slowSince = 0
	case c.slowSince == 0:
		c.slowSince = now
	case now >= c.slowSince+maxOwnerSlowness && now >= h.overload.began+minYieldInterval:
		h.onOverload()
	}
	for _, name := range suspected {
		l := c.links[name]
		h.giveUpOrders("the node is slow or silent", name, func(o *outstandingOrder) bool { return o.link == l })
	}
	for _, l := range c.links {
		l.setCarrying(c.assigner.Carried(l.node.Name) > 0)
	}
	h.passUnknown(c.takeUnreported(func(o *outstandingOrder) bool { return now > o.sent+o.timeout()+carryTimeout }))
}

// giveUpOrders takes the outcome of orders that a node carries as unknown.
func (h *host) giveUpOrders(reason, node string, lost func(*outstandingOrder) bool) {
	orders := h.carriers.takeUnreported(lost)
	h.log.Event(event.CarrierLost, zap.String("peer", node), zap.String("reason", reason), zap.Int("orders", len(orders)))
	h.passUnknown(orders)
}

// passUnknown tells the kernel that the outcome of orders is unknown.
func (h *host) passUnknown(orders []*outstandingOrder) {
	for _, o := range orders {
		h.metrics.recordCall("carrier", string(fleet.OrderUnknown), monotonicNow()-o.sent)
		h.pass(o.giveUp())
	}
}

// giveUp returns the event that tells the kernel that the report of an order is not awaited any
// more. The node may still carry it.
func (o *outstandingOrder) giveUp() cell.Event {
	switch e := o.event(o.sent, unknownReport(o.ID)).(type) {
	case cell.Started:
		e.IsCarried = true
		return e
	case cell.Renewed:
		e.IsCarried = true
		return e
	default:
		return e
	}
}

// describe returns the number of carried executors by node, for the state dump.
func (c *carriers) describe() map[string]int {
	carried := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(c.links)) {
		carried[name] = c.assigner.Carried(name)
	}
	return carried
}
