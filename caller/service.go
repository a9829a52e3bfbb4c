package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwinghall"
	"redwinghall/dial"
	"redwinghall/route"
)

// Limits of service calls.
const (
	maxServiceAnswer  = 8 << 20
	maxRecordedAnswer = 64 << 10
	maxIdempotencyKey = 128
	serviceTries      = 2
)

// service serves calls to plain services.
func (s *Server) service(ctx context.Context, w http.ResponseWriter, r *request) error {
	view, ok := r.view.Services[r.http.PathValue("service")]
	if !ok {
		return redwinghall.NewOpError("Server.service", redwinghall.CodeUnknownService, nil)
	}
	if !view.Service.Allows(r.account.ID) {
		return redwinghall.NewOpError("Server.service", redwinghall.CodeNotAllowed, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, view.Service.Timeout.Std())
	defer cancel()
	repeatable := view.Service.Repeatable || isSafe(r.http.Method)
	if !repeatable {
		if err := checkIdempotencyKey(r.http.Header.Get(HeaderIdempotency)); err != nil {
			return err
		}
	}
	if len(view.Endpoints) == 0 || r.view.ZoneOut(s.config.AvailabilityZone) {
		return s.forwardService(ctx, w, r, view)
	}
	if repeatable {
		return s.callRepeatable(ctx, w, r, view)
	}
	return s.callOnce(ctx, w, r, view)
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// checkIdempotencyKey bounds the key to what a table key can hold.
func checkIdempotencyKey(key string) error {
	if key == "" {
		return redwinghall.NewOpError("checkIdempotencyKey", redwinghall.CodeKeyRequired, nil)
	}
	plain := len(key) <= maxIdempotencyKey
	for _, c := range key {
		plain = plain && c > ' ' && c < 0x7f && c != '/'
	}
	if !plain {
		return redwinghall.NewOpError("checkIdempotencyKey", redwinghall.CodeBadRequest,
			detail("the Idempotency-Key header needs 1 to 128 printable ASCII characters without space and slash"))
	}
	return nil
}

// callRepeatable calls a service that bears a call more than once.
func (s *Server) callRepeatable(ctx context.Context, w http.ResponseWriter, r *request, view *route.ServiceView) error {
	s.budget.RecordRequest()
	tryTimeout := view.Service.Timeout.Std() / serviceTries
	var last error
	for try, i := range rand.Perm(len(view.Endpoints)) {
		if try >= serviceTries || ctx.Err() != nil || (try > 0 && !s.budget.Spend()) {
			break
		}
		answer, err := s.callShared(ctx, tryTimeout, view.Endpoints[i].Address, r)
		if err == nil {
			writeAnswer(w, answer, false)
			return nil
		}
		last = err
	}
	return redwinghall.NewOpError("Server.callRepeatable", redwinghall.CodeEndpointFailed, last)
}

func (s *Server) callShared(ctx context.Context, timeout time.Duration, address string, r *request) (redwinghall.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out, err := serviceRequest(ctx, address, r)
	if err != nil {
		return redwinghall.Response{}, err
	}
	answer, err := s.streams.RoundTrip(out)
	if err != nil {
		return redwinghall.Response{}, err
	}
	return readAnswer(answer)
}

// serviceRequest builds the call to a service endpoint. The caller's API key
// stays here.
func serviceRequest(ctx context.Context, address string, r *request) (*http.Request, error) {
	path := "/" + r.http.PathValue("path")
	out, err := http.NewRequestWithContext(ctx, r.http.Method, "http://"+address, strings.NewReader(string(r.body)))
	if err != nil {
		return nil, err
	}
	out.URL.Path = path
	out.URL.RawQuery = r.http.URL.RawQuery
	copyHeaders(out.Header, r.http.Header, "Content-Type", "Accept", "Accept-Language", HeaderIdempotency)
	out.Header.Set(HeaderRequestID, r.id)
	return out, nil
}

func copyHeaders(to, from http.Header, names ...string) {
	for _, name := range names {
		if v := from.Get(name); v != "" {
			to.Set(name, v)
		}
	}
}

// readAnswer reads a whole answer; one that is cut off is an error.
func readAnswer(answer *http.Response) (redwinghall.Response, error) {
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxServiceAnswer+1))
	if err != nil {
		return redwinghall.Response{}, err
	}
	if len(body) > maxServiceAnswer {
		return redwinghall.Response{}, fmt.Errorf("the answer is larger than %d bytes", maxServiceAnswer)
	}
	return redwinghall.Response{
		Status: answer.StatusCode, ContentType: answer.Header.Get("Content-Type"), Body: body,
	}, nil
}

func writeAnswer(w http.ResponseWriter, a redwinghall.Response, replayed bool) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	if replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // the caller may be gone
}

// forwardService hands the call to a router of another zone, before anything
// is claimed here: the claim is made where the call is sent.
func (s *Server) forwardService(ctx context.Context, w http.ResponseWriter, r *request, view *route.ServiceView) error {
	if r.hops > 0 {
		return redwinghall.NewOpError("Server.forwardService", redwinghall.CodeNoCapacity, nil)
	}
	tried := map[string]bool{}
	for range s.config.MaxAttempts {
		where, ok := s.gateway(tried, func(g route.Gateway) bool { return slices.Contains(g.Services, view.Service.ID) })
		if !ok {
			break
		}
		tried[where.address] = true
		answer, err := s.sendForward(ctx, where, r)
		if err == nil {
			return s.copyForward(w, answer)
		}
		if !dial.Failed(err) {
			// The other router may have claimed the key. The same key finds
			// out what became of it.
			return redwinghall.NewOpError("Server.forwardService", redwinghall.CodeInProgress, err)
		}
	}
	return redwinghall.NewOpError("Server.forwardService", redwinghall.CodeNoCapacity, nil)
}

func (s *Server) sendForward(ctx context.Context, where target, r *request) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, r.http.Method, "http://"+where.address, strings.NewReader(string(r.body)))
	if err != nil {
		return nil, err
	}
	out.GetBody = nil // the transport sends it once
	out.URL.Path = r.http.URL.Path
	out.URL.RawQuery = r.http.URL.RawQuery
	copyHeaders(out.Header, r.http.Header, "Content-Type", "Accept", "Accept-Language", HeaderIdempotency, "Authorization")
	out.Header.Set(HeaderRequestID, r.id)
	out.Header.Set(HeaderHops, strconv.Itoa(r.hops+1))
	setRemaining(ctx, out)
	return s.streams.RoundTrip(out)
}

func (s *Server) copyForward(w http.ResponseWriter, answer *http.Response) error {
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxServiceAnswer))
	if err != nil {
		return redwinghall.NewOpError("Server.copyForward", redwinghall.CodeInProgress, err)
	}
	copyHeaders(w.Header(), answer.Header, "Content-Type", "Retry-After", HeaderReplayed)
	w.WriteHeader(answer.StatusCode)
	_, _ = w.Write(body) // the caller may be gone
	return nil
}
