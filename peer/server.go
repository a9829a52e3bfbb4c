package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"time"

	"redwinghall/peer/rpc"
)

// server implements rpc.Peer for a node.
type server struct {
	node *Node
}

// Handler returns the node's Twirp handler. Requests must carry the peer token.
func (n *Node) Handler() http.Handler {
	return requireToken(n.token, rpc.NewPeerServer(&server{node: n}))
}

// Exchange applies what the peer sends and returns what the peer lacks. A round is
// forwarded to this router's children first, so that the response includes their
// observations.
func (s *server) Exchange(ctx context.Context, in *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	n := s.node
	now := time.Now()
	scope := ScopeOf(n.Self.AvailabilityZone, in.AvailabilityZone)
	n.push(n.Store.Apply(fromEntries(in.Entries)...))
	theirs := n.mergeHealth(now, in.Health)
	n.recordResult(Member{ID: in.From}, nil)
	if in.RoundMs > 0 {
		n.recordRound(now)
		n.forwardRound(ctx, now, time.Duration(in.RoundMs)*time.Millisecond)
	}

	out := &rpc.ExchangeResponse{Digest: n.Store.Digest(scope)}
	if len(in.Offers) > 0 {
		out.Wanted = n.AcceptOffers(now, fromMarks(in.Offers))
	}
	if in.WantHealth && in.AvailabilityZone == n.Self.AvailabilityZone {
		out.Health = toHealth(time.Now(), n.Health.Newer(now, n.HealthBound, theirs))
	}
	if len(in.Marks) > 0 {
		out.Marks = toMarks(n.Store.Marks(scope))
		out.Entries = toEntries(fitEntries(out, n.Store.Newer(scope, fromMarks(in.Marks))))
	}
	return out, nil
}

// BearerToken returns the bearer token of the Authorization header, or "".
func BearerToken(r *http.Request) string {
	const prefix = "Bearer "
	header := r.Header.Get("Authorization")
	if len(header) < len(prefix) || header[:len(prefix)] != prefix {
		return ""
	}
	return header[len(prefix):]
}

// SameToken compares two tokens in constant time. An empty wanted token never
// matches.
func SameToken(got, want string) bool {
	a, b := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(want))
	return want != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

func requireToken(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !SameToken(BearerToken(r), token) {
			http.Error(w, "peer token is missing or wrong", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
