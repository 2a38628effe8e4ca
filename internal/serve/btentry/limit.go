package btentry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btgrant"
)

// errLimited is returned for a request that the limit of its upstream does not allow now.
var errLimited = errors.New("btentry: limit of the upstream allows no request")

// observeLimit takes the limit that an upstream names in a response, or that it names none.
func (req *activeRequest) observeLimit(u *bramleytack.Upstream, header http.Header) {
	if l, ok := readLimit(header.Values(req.h.Dialect.Limit)); ok {
		req.h.Grants.Observe(u, l)
	}
}

// readLimit returns the limit in the values of a response header. Of several numbers the
// least counts, and a negative one is zero. It reports false for values without any number,
// which neither name a limit nor end one.
func readLimit(values []string) (l btgrant.Limit, ok bool) {
	if len(values) == 0 {
		return btgrant.Limit{}, true
	}
	least := math.Inf(1)
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			n, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
			if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(n) {
				continue
			}
			least, ok = min(least, n), true
		}
	}
	if !ok {
		return btgrant.Limit{}, false
	}
	return btgrant.LimitOf(least), true
}

// permitted reports whether a request may be sent to an upstream, as far as its limit is
// concerned. It waits at most as long as the terms allow.
func (req *activeRequest) permitted(ctx context.Context, u *bramleytack.Upstream, terms btgrant.Terms) bool {
	d := req.h.Grants.Acquire(ctx, u, terms)
	if d.PerSecond <= 0 {
		return d.Granted
	}
	req.h.Metrics.limitedSend(d)
	if !d.Granted || terms.Wait > 0 {
		req.log(btevent.SendLimited).Str("upstream", string(u.ID)).Float64("perSecond", d.PerSecond).Dur("age", d.Age).
			Bool("granted", d.Granted).Bool("urgent", terms.Urgent).Dur("waited", d.Waited).Dur("left", d.Left).Send()
	}
	return d.Granted
}

// noteLimited lets a request that an upstream's limit did not allow wait for it later, once
// no other upstream is left.
func (req *activeRequest) noteLimited(r *attemptResult, terms btgrant.Terms, tried map[bramleytack.UpstreamID]bool) {
	if !r.limited {
		return
	}
	req.limitedSends++
	if terms.Wait == 0 {
		delete(tried, r.upstream.ID)
	}
}

// pickHeld returns the upstream not in tried whose limit allows the request first, and the
// terms on which to wait for it. It returns nil if there is none in time.
func (req *activeRequest) pickHeld(tried map[bramleytack.UpstreamID]bool) (*bramleytack.Upstream, btgrant.Terms) {
	wait := time.Duration(maxWaitShare*float64(req.route.TargetLatency)) - req.h.Timer.Now().Sub(req.received)
	u, left := req.h.Accounts.NextHeld(req.snapshot, req.service, tried)
	if u == nil {
		return nil, btgrant.Terms{}
	}
	if left > wait {
		req.limitedSends++
		return nil, btgrant.Terms{}
	}
	return u, btgrant.Terms{Wait: wait}
}
