package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"jacinthwind/common/header"
	"jacinthwind/core"
	"jacinthwind/standin/target"
)

const (
	requestDeadline = 5 * time.Second
	// answerGrace is how long after its deadline a request may be answered.
	answerGrace      = time.Second
	idempotentPart   = 0.5
	urgentPart       = 0.2
	twicePart        = 0.1
	openPart         = 0.05
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// sent is one request as its caller saw it.
type sent struct {
	id         string
	team       string
	idempotent bool
	// withdrawn means that the key had been withdrawn for some time.
	withdrawn bool
	open      bool
	at        time.Time
	replies   []reply
}

// reply is one answer to a request, which may be sent more than once.
type reply struct {
	node    int
	outcome core.Outcome
	reason  string
	whole   bool
	// cut means that the connection ended without an answer.
	cut     bool
	sentAt  time.Time
	endedAt time.Time
}

// outcome is what the caller knows after all answers.
func (s *sent) outcome() core.Outcome {
	best := core.NotRun
	for _, r := range s.replies {
		if r.outcome == core.Done {
			return core.Done
		}
		if r.outcome == core.Unknown {
			best = core.Unknown
		}
	}
	return best
}

// load sends the callers' requests.
type load struct {
	fleet  *fleet
	client *http.Client
	wg     sync.WaitGroup
	// withdrawnAt is when the key of withdrawnTeam was withdrawn, in Unix
	// nanoseconds, zero before.
	withdrawnAt   atomic.Int64
	withdrawnTeam string

	mu      sync.Mutex
	rand    *rand.Rand
	sent    []*sent
	latency map[string]*hdrhistogram.Histogram
}

func newLoad(f *fleet, seed uint64) *load {
	l := &load{
		fleet:   f,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		rand:    rand.New(rand.NewPCG(seed, 1)),
		latency: make(map[string]*hdrhistogram.Histogram),
	}
	for _, t := range teamSpecs {
		l.latency[t.name] = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	return l
}

// run sends requests of all teams at their rates until ctx ends, then waits
// for the answers.
func (l *load) run(ctx context.Context) {
	for _, t := range teamSpecs {
		l.wg.Go(func() { l.runTeam(ctx, t) })
	}
	l.wg.Wait()
	l.client.CloseIdleConnections()
}

func (l *load) runTeam(ctx context.Context, t teamSpec) {
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(l.exponential(1/t.rate) * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		l.wg.Go(func() { l.request(t) })
	}
}

func (l *load) exponential(mean float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.ExpFloat64() * mean
}

func (l *load) chance(p float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.Float64() < p
}

func (l *load) pick(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.IntN(n)
}

// request sends one request, sometimes to two nodes at once, and again when
// the connection was cut.
func (l *load) request(t teamSpec) {
	s := &sent{id: uuid.Must(uuid.NewV7()).String(), team: t.name, at: time.Now(), idempotent: l.chance(idempotentPart)}
	queue := poolNames[l.pick(len(poolNames)-1)]
	if l.chance(openPart) {
		s.open, s.team, queue = true, "", openQueue
	}
	if at := l.withdrawnAt.Load(); at > 0 && t.name == l.withdrawnTeam && !s.open {
		s.withdrawn = time.Since(time.Unix(0, at)) > settleTime
	}
	body := "request of " + t.name + " at " + s.at.Format(time.RFC3339Nano)
	runMS := l.exponential(t.meanMS)
	urgent := l.chance(urgentPart)
	send := func() reply { return l.send(s, queue, body, runMS, urgent) }
	if l.chance(twicePart) {
		other := make(chan reply, 1)
		go func() { other <- send() }()
		s.replies = append(s.replies, send(), <-other)
	} else {
		s.replies = append(s.replies, send())
	}
	if s.replies[0].cut {
		s.replies = append(s.replies, send())
	}
	l.record(s, t.name)
}

func (l *load) record(s *sent, team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, s)
	if s.outcome() == core.Done {
		// A value outside the histogram's range cannot occur within a deadline.
		_ = l.latency[team].RecordValue(s.replies[0].endedAt.Sub(s.at).Microseconds())
	}
}

// send sends a request to a node that is ready, as a balancer would.
func (l *load) send(s *sent, queue, body string, runMS float64, urgent bool) reply {
	for {
		i, ok := l.readyNode()
		if !ok {
			return reply{outcome: core.NotRun, whole: true, sentAt: s.at, endedAt: time.Now()}
		}
		r, err := l.sendTo(i, s, queue, body, runMS, urgent)
		if !isDialError(err) {
			return r
		}
	}
}

func (l *load) readyNode() (int, bool) {
	first := l.pick(len(l.fleet.nodes))
	for i := range l.fleet.nodes {
		j := (first + i) % len(l.fleet.nodes)
		if l.fleet.nodes[j].Ready() && !l.fleet.isDead(j) {
			return j, true
		}
	}
	return 0, false
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (l *load) sendTo(i int, s *sent, queue, body string, runMS float64, urgent bool) (reply, error) {
	r := reply{node: i, sentAt: time.Now()}
	url := fmt.Sprintf("http://%s/v1/queues/%s/requests", l.fleet.nodes[i].Settings().CallerAddress, queue)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return r, err
	}
	// With a body that can be read again the transport would send the request a
	// second time by itself, because it carries an idempotency key, and a
	// refused second connection would hide that the first one took it.
	req.GetBody = nil
	if !s.open {
		req.Header.Set(header.Authorization, "Bearer "+l.fleet.secrets[s.team])
	}
	req.Header.Set(header.IdempotencyKey, s.id)
	req.Header.Set(header.Idempotent, strconv.FormatBool(s.idempotent))
	req.Header.Set(header.Deadline, strconv.FormatInt(s.at.Add(requestDeadline).UnixMilli(), 10))
	req.Header.Set(target.HeaderRunMS, strconv.FormatFloat(runMS, 'f', 3, 64))
	if urgent {
		req.Header.Set(header.Priority, core.Urgent.String())
	}
	resp, err := l.client.Do(req)
	r.endedAt = time.Now()
	if err != nil {
		r.outcome, r.cut = core.Unknown, true
		return r, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	r.endedAt = time.Now()
	if err != nil {
		r.outcome, r.cut = core.Unknown, true
		return r, err
	}
	r.outcome, _ = core.ParseOutcome(resp.Header.Get(header.Outcome))
	r.reason = resp.Header.Get(header.Reason)
	r.whole = r.outcome != core.Done || resp.StatusCode == http.StatusGone ||
		bytes.Equal(got, target.Answer(s.id, []byte(body)))
	return r, nil
}
