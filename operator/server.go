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

// Limits of the operator listener.
const (
	maxManifestBytes  = 8 << 20
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = 30 * time.Second
	maxHeaderBytes    = 16 << 10
	maxSubmitID       = 128
)

// Refusal is the body of every error response.
type Refusal struct {
	Code       redwinghall.Code     `json:"code"`
	Message    string               `json:"message"`
	NextStep   string               `json:"next_step"`
	RetryAfter redwinghall.Duration `json:"retry_after"`
	Faults     redwinghall.Faults   `json:"faults,omitempty"`
}

// ManifestRequest is the body of a request that submits a manifest.
type ManifestRequest struct {
	Submission
	Manifest json.RawMessage `json:"manifest"`
}

// ZoneRequest is the body of a request that takes a zone out of service or puts it
// back into service.
type ZoneRequest struct {
	Submission
	State redwinghall.ZoneState `json:"state"`
}

// Status is the status of a controller's zone and of the deployment.
type Status struct {
	Controller       string                         `json:"controller"`
	AvailabilityZone string                         `json:"availability_zone"`
	LeaseHolder      string                         `json:"lease_holder"`
	Fencing          uint64                         `json:"fencing"`
	Generation       uint64                         `json:"generation"`
	Hash             string                         `json:"hash"`
	Zones            []redwinghall.AvailabilityZone `json:"zones"`
	Groups           []GroupStatus                  `json:"groups"`
	// PlatformUnreachableSince is absent while the platform responds. While it is
	// present, the zone continues to serve with its last known state.
	PlatformUnreachableSince *time.Time `json:"platform_unreachable_since,omitempty"`
}

// GroupStatus is a group and whether all its members are alive and ready.
type GroupStatus struct {
	redwinghall.Group
	Healthy bool `json:"whole"`
}

// Backend is the part of a controller that the operator API uses.
type Backend interface {
	Status(now time.Time) Status
	Manifest() (redwinghall.Accepted, bool)
	// Refresh loads the latest accepted changes immediately.
	Refresh()
}

// Server implements the operator API over HTTP.
type Server struct {
	acceptor *Acceptor
	backend  Backend
	token    string
}

// NewServer returns a server that requires token in each request.
func NewServer(acceptor *Acceptor, backend Backend, token string) *Server {
	return &Server{acceptor: acceptor, backend: backend, token: token}
}

// Handler returns the handler of the operator API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/manifest", s.putManifest)
	mux.HandleFunc("GET /v1/manifest", s.getManifest)
	mux.HandleFunc("PUT /v1/zones/{zone}", s.putZone)
	mux.HandleFunc("GET /v1/status", s.getStatus)
	return s.requireToken(mux)
}

// HTTPServer returns the HTTP server of the operator API.
func (s *Server) HTTPServer(address string) *http.Server {
	return &http.Server{
		Addr: address, Handler: s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (s *Server) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !peer.SameToken(peer.BearerToken(r), s.token) {
			writeRefusal(w, redwinghall.CodeOperatorForbidden, nil)
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
		writeRefusal(w, redwinghall.CodeManifestInvalid, faults)
		return
	}
	accepted, err := s.acceptor.SubmitManifest(r.Context(), in.Submission, manifest)
	s.writeResult(w, "manifest_submitted", in.SubmitID, accepted, err)
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
		writeRefusal(w, redwinghall.CodeBadRequest, faults)
		return
	}
	if !s.zoneKnown(zone) {
		writeRefusal(w, redwinghall.CodeZoneUnknown, nil)
		return
	}
	accepted, err := s.acceptor.SetZone(r.Context(), in.Submission, zone, in.State)
	s.writeResult(w, "zone_decided", in.SubmitID, accepted, err)
}

// zoneKnown reports whether the manifest in force places a model in a zone.
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

func (s *Server) writeResult(w http.ResponseWriter, event, submitID string, accepted Accepted, err error) {
	if err != nil {
		code := redwinghall.KindOf[redwinghall.Code](err)
		klog.InfoS(event, "submit_id", submitID, "code", code, "cause", err.Error())
		writeRefusal(w, code, nil)
		return
	}
	klog.InfoS(event, "submit_id", submitID, "code", accepted.Code, "number", accepted.Number)
	s.backend.Refresh()
	writeJSON(w, http.StatusOK, accepted)
}

func (s *Server) getManifest(w http.ResponseWriter, _ *http.Request) {
	accepted, ok := s.backend.Manifest()
	if !ok {
		writeRefusal(w, redwinghall.CodeNoManifest, nil)
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
		writeRefusal(w, redwinghall.CodeTooLarge, nil)
		return false
	}
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		writeRefusal(w, redwinghall.CodeBadRequest, redwinghall.Faults{{Path: "$", Message: "this is not valid JSON: " + err.Error()}})
		return false
	}
	return true
}

func writeRefusal(w http.ResponseWriter, code redwinghall.Code, faults redwinghall.Faults) {
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
		http.Error(w, "the answer could not be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // the client may have disconnected
}
