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
	// answerGrace is the time after the deadline within which the answer must
	// arrive.
	answerGrace = time.Second
	// Fractions of the requests that are idempotent, urgent, sent twice at once,
	// and sent without a key.
	idempotentFraction     = 0.5
	urgentFraction         = 0.2
	duplicateFraction      = 0.1
	openFraction           = 0.05
	maxLatencyMicros       = 60_000_000
	latencyPrecisionDigits = 3
)

// sentRequest records one request as its caller observed it.
type sentRequest struct {
	id         string
	team       string
	idempotent bool
	// keyWithdrawn means that the key was withdrawn more than settleTime before.
	keyWithdrawn bool
	open         bool
	sentAt       time.Time
	replies      []reply
}

// reply records the answer to one sending of a request.
type reply struct {
	node    int
	outcome core.Outcome
	reason  string
	// complete means that the caller got the whole answer to its own request; only
	// answers of done requests are compared.
	complete bool
	// connectionLost means that the connection ended before a complete answer.
	connectionLost bool
	sentAt         time.Time
	endedAt        time.Time
}

// outcome returns what the caller knows of the outcome after all replies.
func (s *sentRequest) outcome() core.Outcome {
	outcome := core.NotRun
	for _, r := range s.replies {
		if r.outcome == core.Done {
			return core.Done
		}
		if r.outcome == core.Unknown {
			outcome = core.Unknown
		}
	}
	return outcome
}

// loadGenerator sends the requests of all teams.
type loadGenerator struct {
	cluster *cluster
	client  *http.Client
	wg      sync.WaitGroup
	// withdrawnAt is when the key of withdrawnTeam was withdrawn, in Unix
	// nanoseconds, or zero if it has not been.
	withdrawnAt   atomic.Int64
	withdrawnTeam string

	mu       sync.Mutex
	rand     *rand.Rand
	requests []*sentRequest
	latency  map[string]*hdrhistogram.Histogram
}

func newLoadGenerator(cl *cluster, seed uint64) *loadGenerator {
	l := &loadGenerator{
		cluster: cl,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		rand:    rand.New(rand.NewPCG(seed, 1)),
		latency: make(map[string]*hdrhistogram.Histogram),
	}
	for _, t := range teamSpecs {
		l.latency[t.name] = hdrhistogram.New(1, maxLatencyMicros, latencyPrecisionDigits)
	}
	return l
}

// run sends the requests of all teams at their rates until ctx is done, then
// waits for the answers.
func (l *loadGenerator) run(ctx context.Context) {
	for _, t := range teamSpecs {
		l.wg.Go(func() { l.sendTeamRequests(ctx, t) })
	}
	l.wg.Wait()
	l.client.CloseIdleConnections()
}

func (l *loadGenerator) sendTeamRequests(ctx context.Context, t teamSpec) {
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(l.drawExponential(1/t.rate) * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		l.wg.Go(func() { l.sendRequest(t) })
	}
}

func (l *loadGenerator) drawExponential(mean float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.ExpFloat64() * mean
}

func (l *loadGenerator) drawBool(p float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.Float64() < p
}

func (l *loadGenerator) drawInt(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.IntN(n)
}

// sendRequest sends one request and records its replies. It sends some requests
// twice at once, and sends a request again if its connection was lost.
func (l *loadGenerator) sendRequest(t teamSpec) {
	s := &sentRequest{id: uuid.Must(uuid.NewV7()).String(), team: t.name, sentAt: time.Now(), idempotent: l.drawBool(idempotentFraction)}
	queue := poolNames[l.drawInt(len(poolNames)-1)]
	if l.drawBool(openFraction) {
		s.open, s.team, queue = true, "", openQueue
	}
	if at := l.withdrawnAt.Load(); at > 0 && t.name == l.withdrawnTeam && !s.open {
		s.keyWithdrawn = time.Since(time.Unix(0, at)) > settleTime
	}
	body := "request of " + t.name + " at " + s.sentAt.Format(time.RFC3339Nano)
	runMS := l.drawExponential(t.meanMS)
	urgent := l.drawBool(urgentFraction)
	send := func() reply { return l.sendToReadyNode(s, queue, body, runMS, urgent) }
	if l.drawBool(duplicateFraction) {
		duplicate := make(chan reply, 1)
		go func() { duplicate <- send() }()
		s.replies = append(s.replies, send(), <-duplicate)
	} else {
		s.replies = append(s.replies, send())
	}
	if s.replies[0].connectionLost {
		s.replies = append(s.replies, send())
	}
	l.recordRequest(s, t.name)
}

func (l *loadGenerator) recordRequest(s *sentRequest, team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, s)
	if s.outcome() == core.Done {
		// RecordValue fails only above the histogram's range, which is far beyond
		// the deadline.
		_ = l.latency[team].RecordValue(s.replies[0].endedAt.Sub(s.sentAt).Microseconds())
	}
}

// sendToReadyNode sends a request to a random ready node, like a load balancer,
// and picks a node again if no connection to it can be opened.
func (l *loadGenerator) sendToReadyNode(s *sentRequest, queue, body string, runMS float64, urgent bool) reply {
	for {
		i, ok := l.pickReadyNode()
		if !ok {
			return reply{outcome: core.NotRun, complete: true, sentAt: s.sentAt, endedAt: time.Now()}
		}
		r, err := l.sendToNode(i, s, queue, body, runMS, urgent)
		if !isDialError(err) {
			return r
		}
	}
}

func (l *loadGenerator) pickReadyNode() (int, bool) {
	first := l.drawInt(len(l.cluster.nodes))
	for i := range l.cluster.nodes {
		j := (first + i) % len(l.cluster.nodes)
		if l.cluster.nodes[j].Ready() && !l.cluster.isStopped(j) {
			return j, true
		}
	}
	return 0, false
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (l *loadGenerator) sendToNode(i int, s *sentRequest, queue, body string, runMS float64, urgent bool) (reply, error) {
	r := reply{node: i, sentAt: time.Now()}
	url := fmt.Sprintf("http://%s/v1/queues/%s/requests", l.cluster.nodes[i].Settings().CallerAddress, queue)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return r, err
	}
	// The transport retries requests with an idempotency key if GetBody is set. If
	// the connection of the retry were refused, the dial error would hide that the
	// node had accepted the first attempt.
	req.GetBody = nil
	if !s.open {
		req.Header.Set(header.Authorization, "Bearer "+l.cluster.secrets[s.team])
	}
	req.Header.Set(header.IdempotencyKey, s.id)
	req.Header.Set(header.Idempotent, strconv.FormatBool(s.idempotent))
	req.Header.Set(header.Deadline, strconv.FormatInt(s.sentAt.Add(requestDeadline).UnixMilli(), 10))
	req.Header.Set(target.HeaderRunMS, strconv.FormatFloat(runMS, 'f', 3, 64))
	if urgent {
		req.Header.Set(header.Priority, core.Urgent.String())
	}
	resp, err := l.client.Do(req)
	r.endedAt = time.Now()
	if err != nil {
		r.outcome, r.connectionLost = core.Unknown, true
		return r, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	r.endedAt = time.Now()
	if err != nil {
		r.outcome, r.connectionLost = core.Unknown, true
		return r, err
	}
	r.outcome, _ = core.ParseOutcome(resp.Header.Get(header.Outcome))
	r.reason = resp.Header.Get(header.Reason)
	r.complete = r.outcome != core.Done || resp.StatusCode == http.StatusGone ||
		bytes.Equal(got, target.Answer(s.id, []byte(body)))
	return r, nil
}
