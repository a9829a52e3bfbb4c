package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/peer"
)

// Limits of the operators' listener.
const (
	maxManifestBytes  = 8 << 20
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 30 * time.Second
	maxHeaderBytes    = 16 << 10
	maxSubmitID       = 128
)

// Refusal is the body of every error that an operator receives.
type Refusal struct {
	Code       redwinghall.Code     `json:"code"`
	Message    string               `json:"message"`
	NextStep   string               `json:"next_step"`
	RetryAfter redwinghall.Duration `json:"retry_after"`
	Faults     redwinghall.Faults   `json:"faults,omitempty"`
}

// ManifestRequest submits a manifest.
type ManifestRequest struct {
	Submission
	Manifest json.RawMessage `json:"manifest"`
}

// ZoneRequest takes a zone out of service or back.
type ZoneRequest struct {
	Submission
	State redwinghall.ZoneState `json:"state"`
}

// Status is what a controller knows of its zone and of the deployment.
type Status struct {
	Controller       string                         `json:"controller"`
	AvailabilityZone string                         `json:"availability_zone"`
	LeaseHolder      string                         `json:"lease_holder"`
	Fencing          uint64                         `json:"fencing"`
	Generation       uint64                         `json:"generation"`
	Hash             string                         `json:"hash"`
	Zones            []redwinghall.AvailabilityZone `json:"zones"`
	Groups           []GroupStatus                  `json:"groups"`
	// PlatformUnreachableSince is absent while the platform answers. While it
	// is present the zone goes on with what it has.
	PlatformUnreachableSince *time.Time `json:"platform_unreachable_since,omitempty"`
}

// GroupStatus is one group and whether it can serve.
type GroupStatus struct {
	redwinghall.Group
	Whole bool `json:"whole"`
}

// Backend is what the operators' interface needs from a controller.
type Backend interface {
	Status(now time.Time) Status
	Manifest() (redwinghall.Accepted, bool)
	// Refresh makes a decision known here at once.
	Refresh()
}

// Server answers operators.
type Server struct {
	acceptor *Acceptor
	backend  Backend
	token    string
}

// NewServer returns a server that asks for token.
func NewServer(acceptor *Acceptor, backend Backend, token string) *Server {
	return &Server{acceptor: acceptor, backend: backend, token: token}
}

// Handler returns the operators' routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/manifest", s.putManifest)
	mux.HandleFunc("GET /v1/manifest", s.getManifest)
	mux.HandleFunc("PUT /v1/zones/{zone}", s.putZone)
	mux.HandleFunc("GET /v1/status", s.getStatus)
	return s.guarded(mux)
}

// HTTPServer returns the operators' listener.
func (s *Server) HTTPServer(address string) *http.Server {
	return &http.Server{
		Addr: address, Handler: s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (s *Server) guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !peer.SameToken(peer.BearerToken(r), s.token) {
			refuse(w, redwinghall.CodeOperatorForbidden, nil)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) putManifest(w http.ResponseWriter, r *http.Request) {
	var in ManifestRequest
	if !readJSON(w, r, &in) {
		return
	}
	manifest, faults := redwinghall.ParseManifest(in.Manifest)
	faults = append(faults, validateSubmitID(in.SubmitID)...)
	if len(faults) > 0 {
		refuse(w, redwinghall.CodeManifestInvalid, faults)
		return
	}
	accepted, err := s.acceptor.SubmitManifest(r.Context(), in.Submission, manifest)
	s.answer(w, "manifest_submitted", in.SubmitID, accepted, err)
}

func (s *Server) putZone(w http.ResponseWriter, r *http.Request) {
	var in ZoneRequest
	if !readJSON(w, r, &in) {
		return
	}
	zone := r.PathValue("zone")
	faults := redwinghall.AvailabilityZone{ID: zone, State: in.State}.Validate()
	faults = append(faults, validateSubmitID(in.SubmitID)...)
	if len(faults) > 0 {
		refuse(w, redwinghall.CodeBadRequest, faults)
		return
	}
	if !s.zoneKnown(zone) {
		refuse(w, redwinghall.CodeZoneUnknown, nil)
		return
	}
	accepted, err := s.acceptor.SetZone(r.Context(), in.Submission, zone, in.State)
	s.answer(w, "zone_decided", in.SubmitID, accepted, err)
}

// zoneKnown reports whether the manifest in force places something in a zone.
func (s *Server) zoneKnown(zone string) bool {
	accepted, _ := s.backend.Manifest()
	for _, m := range accepted.Manifest.Models {
		if _, ok := m.Replicas[zone]; ok {
			return true
		}
	}
	return false
}

func validateSubmitID(id string) redwinghall.Faults {
	var f redwinghall.Faults
	if id == "" || len(id) > maxSubmitID {
		f = f.With("submit_id", "want 1 to %d characters that name this submission", maxSubmitID)
	}
	return f
}

func (s *Server) answer(w http.ResponseWriter, event, submitID string, accepted Accepted, err error) {
	if err != nil {
		code := redwinghall.KindOf[redwinghall.Code](err)
		klog.InfoS(event, "submit_id", submitID, "code", code, "cause", err.Error())
		refuse(w, code, nil)
		return
	}
	klog.InfoS(event, "submit_id", submitID, "code", accepted.Code, "number", accepted.Number)
	s.backend.Refresh()
	writeJSON(w, http.StatusOK, accepted)
}

func (s *Server) getManifest(w http.ResponseWriter, _ *http.Request) {
	accepted, ok := s.backend.Manifest()
	if !ok {
		refuse(w, redwinghall.CodeNoManifest, nil)
		return
	}
	writeJSON(w, http.StatusOK, accepted)
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.backend.Status(time.Now()))
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxManifestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refuse(w, redwinghall.CodeTooLarge, nil)
		return false
	}
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		refuse(w, redwinghall.CodeBadRequest, redwinghall.Faults{{Path: "$", Message: "this is not valid JSON: " + err.Error()}})
		return false
	}
	return true
}

func refuse(w http.ResponseWriter, code redwinghall.Code, faults redwinghall.Faults) {
	info, ok := code.Info()
	if !ok {
		info, _ = redwinghall.CodeResultUnknown.Info()
	}
	if info.RetryAfter > 0 {
		w.Header().Set("Retry-After", redwinghall.Duration(info.RetryAfter).Seconds())
	}
	writeJSON(w, info.HTTPStatus, Refusal{
		Code: info.Code, Message: info.Message, NextStep: info.NextStep,
		RetryAfter: redwinghall.Duration(info.RetryAfter), Faults: faults,
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "the answer could not be written", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // the operator may be gone
}
