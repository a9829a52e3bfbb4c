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
	maxServiceResponse  = 8 << 20
	maxHeadBytes        = 32 << 10 // of a response
	maxRecordedResponse = 64 << 10
	maxIdempotencyKey   = 128
	maxServiceAttempts  = 2
)

// service handles calls to plain services.
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

// checkIdempotencyKey returns an error unless the key can be part of a table key.
func checkIdempotencyKey(key string) error {
	if key == "" {
		return redwinghall.NewOpError("checkIdempotencyKey", redwinghall.CodeKeyRequired, nil)
	}
	valid := len(key) <= maxIdempotencyKey
	for _, c := range key {
		valid = valid && c > ' ' && c < 0x7f && c != '/'
	}
	if !valid {
		return redwinghall.NewOpError("checkIdempotencyKey", redwinghall.CodeBadRequest,
			detail("the Idempotency-Key header needs 1 to 128 printable ASCII characters without space and slash"))
	}
	return nil
}

// callRepeatable executes a call that may be executed more than once.
func (s *Server) callRepeatable(ctx context.Context, w http.ResponseWriter, r *request, view *route.ServiceView) error {
	s.budget.RecordRequest()
	attemptTimeout := view.Service.Timeout.Std() / maxServiceAttempts
	var last error
	for attempt, i := range rand.Perm(len(view.Endpoints)) {
		if attempt >= maxServiceAttempts || ctx.Err() != nil || (attempt > 0 && !s.budget.Spend()) {
			break
		}
		response, err := s.callShared(ctx, attemptTimeout, view.Endpoints[i].Address, r)
		if err == nil {
			writeResponse(w, response, false)
			return nil
		}
		last = err
	}
	return redwinghall.NewOpError("Server.callRepeatable", redwinghall.CodeEndpointFailed, last)
}

// callShared makes one attempt at a call. Unlike sendOnce, it uses the shared transport,
// which reuses connections and may retry by itself.
func (s *Server) callShared(ctx context.Context, timeout time.Duration, address string, r *request) (redwinghall.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out, err := serviceRequest(ctx, address, r)
	if err != nil {
		return redwinghall.Response{}, err
	}
	response, err := s.streams.RoundTrip(out)
	if err != nil {
		return redwinghall.Response{}, err
	}
	return readResponse(response)
}

// serviceRequest returns the request to a service endpoint. It does not contain the
// caller's API key.
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

// readResponse reads a whole response. It returns an error if the body is truncated or
// too large.
func readResponse(response *http.Response) (redwinghall.Response, error) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceResponse+1))
	if err != nil {
		return redwinghall.Response{}, err
	}
	if len(body) > maxServiceResponse {
		return redwinghall.Response{}, fmt.Errorf("the response is larger than %d bytes", maxServiceResponse)
	}
	return redwinghall.Response{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}

func writeResponse(w http.ResponseWriter, response redwinghall.Response, replayed bool) {
	if response.ContentType != "" {
		w.Header().Set("Content-Type", response.ContentType)
	}
	if replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // the caller may have disconnected
}

// forwardService forwards the call to a router of another zone. Nothing is claimed
// here: the router that sends the call to the service claims the key.
func (s *Server) forwardService(ctx context.Context, w http.ResponseWriter, r *request, view *route.ServiceView) error {
	if r.hops > 0 {
		return redwinghall.NewOpError("Server.forwardService", redwinghall.CodeNoCapacity, nil)
	}
	tried := map[string]bool{}
	for range s.config.MaxAttempts {
		where, ok := s.chooseGateway(tried, func(g route.Gateway) bool { return slices.Contains(g.Services, view.Service.ID) })
		if !ok {
			break
		}
		tried[where.address] = true
		response, err := s.sendForward(ctx, where, r)
		if err == nil {
			return s.copyForward(w, response)
		}
		if !dial.Failed(err) {
			// The other router may have claimed the key. The caller learns
			// the outcome by sending the request again with the same key.
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
	out.GetBody = nil // prevents the transport from retrying the request
	out.URL.Path = r.http.URL.Path
	out.URL.RawQuery = r.http.URL.RawQuery
	copyHeaders(out.Header, r.http.Header, "Content-Type", "Accept", "Accept-Language", HeaderIdempotency, "Authorization")
	out.Header.Set(HeaderRequestID, r.id)
	out.Header.Set(HeaderHops, strconv.Itoa(r.hops+1))
	setRemaining(ctx, out)
	return s.streams.RoundTrip(out)
}

func (s *Server) copyForward(w http.ResponseWriter, response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceResponse))
	if err != nil {
		return redwinghall.NewOpError("Server.copyForward", redwinghall.CodeInProgress, err)
	}
	copyHeaders(w.Header(), response.Header, "Content-Type", "Retry-After", HeaderReplayed)
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body) // the caller may have disconnected
	return nil
}
