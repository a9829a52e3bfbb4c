package gateway_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform"
	"redwinghall/platform/platformtest"
)

// keptOpen is how many connections to an endpoint are idle before a test's request.
const keptOpen = 3

// answerPause is the time between the first bytes of an answer and its end, shorter than a process takes to start again.
const answerPause = 50 * time.Millisecond

// keeping is an endpoint of a plain service that names no start. Its answers have a length, but for the last one.
type keeping struct {
	server *httptest.Server
	// end is what the process does behind the bytes of its last answer, with the answer's connection.
	end      func(e *keeping, conn *net.TCPConn)
	body     string
	together sync.WaitGroup
	begun    atomic.Bool
	onRun    func() // nil for nothing
	runs     atomic.Int32
	delay    atomic.Int64
	idle     sync.Map // connections without a request in progress
}

// crash ends the process and all of its connections, and lets the next one answer at once.
func crash(e *keeping, conn *net.TCPConn) {
	e.server.CloseClientConnections()
	_ = conn.Close()
}

// crashLater is crash some time after the first bytes of the answer.
func crashLater(e *keeping, conn *net.TCPConn) {
	time.Sleep(answerPause)
	crash(e, conn)
}

func endSoundly(_ *keeping, conn *net.TCPConn) { _ = conn.Close() }

// endSlowly ends the answer, and slows the process down.
func endSlowly(e *keeping, conn *net.TCPConn) {
	e.delay.Store(int64(slowReport))
	_ = conn.Close()
}

// endBesideAnother ends the answer and one idle connection.
func endBesideAnother(e *keeping, conn *net.TCPConn) {
	e.idle.Range(func(one, _ any) bool {
		_ = one.(net.Conn).Close()
		return false
	})
	_ = conn.Close()
}

func (e *keeping) note(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		e.idle.Store(conn, true)
	} else {
		e.idle.Delete(conn)
	}
}

func (e *keeping) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case platformtest.IsReport(r):
		time.Sleep(time.Duration(e.delay.Load()))
		w.WriteHeader(http.StatusBadRequest)
	case !e.begun.Load():
		e.together.Done()
		e.together.Wait()
		platformtest.Sign(w, platformtest.ReadHeaders(r).ID, "sig")
		_, _ = w.Write([]byte("framed")) // the reader checks what it received
	default:
		e.runs.Add(1)
		if e.onRun != nil {
			e.onRun()
		}
		unframed(w, r, e.body, func(conn *net.TCPConn) { e.end(e, conn) })
	}
}

// keeping adds an endpoint to which connections are idle.
func (s *fixture) keeping(body string, end func(*keeping, *net.TCPConn)) *keeping {
	s.t.Helper()
	e := s.keepingNone(body, end)
	e.begun.Store(false)
	e.together.Add(keptOpen)
	var callers sync.WaitGroup
	for range keptOpen {
		callers.Go(func() { s.do(s.request(http.MethodGet, "/look/")) })
	}
	callers.Wait()
	e.begun.Store(true)
	return e
}

// keepingNone adds an endpoint to which no connections are idle.
func (s *fixture) keepingNone(body string, end func(*keeping, *net.TCPConn)) *keeping {
	s.t.Helper()
	e := &keeping{end: end, body: body}
	e.begun.Store(true)
	e.server = httptest.NewUnstartedServer(e)
	e.server.Config.ConnState = e.note
	e.server.Start()
	s.t.Cleanup(e.server.Close)
	s.register("e1", "desk", e.server.Listener.Addr().String())
	return e
}

// The next process answers at once, and names no start: only a connection of the one before could show that it lives.
func TestAnswerIsNotCompleteIfItsEarlierConnectionsEnded(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.client = platform.NewEndpointClient(nil)
	e := s.keeping("part", crash)
	got := s.do(s.request(http.MethodPost, "/book2/"))
	require.Equal(t, http.StatusBadGateway, got.status)
	require.EqualValues(t, 1, e.runs.Load())
}

// An answer on a connection from before the request is proof, however late it comes.
func TestAnswerIsCompleteIfAnEarlierConnectionIsAnswered(t *testing.T) {
	t.Parallel()
	for how, end := range map[string]func(*keeping, *net.TCPConn){"sound": endSoundly, "slow": endSlowly, "one ended": endBesideAnother} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.client = platform.NewEndpointClient(nil)
			e := s.keeping("whole", end)
			got := s.do(s.request(http.MethodPost, "/book2/"))
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "whole", got.body)
			require.EqualValues(t, 1, e.runs.Load())
		})
	}
}

// The next process answers at once, names no start, and no earlier connection was open that its predecessor could have ended: it vouched
// for half of an answer.
func TestAnswerIsNotCompleteIfTheNextProcessVouchesForIt(t *testing.T) {
	t.Parallel()
	for path, want := range map[string]struct {
		status int
		body   string
	}{
		"/book2/": {http.StatusBadGateway, ""},
		"/look/":  {http.StatusOK, "whole"},
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.client = platform.NewEndpointClient(nil)
			first := s.keepingNone("part", crashLater)
			first.onRun = func() { // the only endpoint when the request is sent
				s.endpoint("e2", "desk", func(w http.ResponseWriter, r *http.Request) {
					sign(w, r)
					_, _ = w.Write([]byte("whole"))
				})
			}
			got := s.do(s.request(http.MethodPost, path))
			require.NoError(t, got.err)
			require.Equal(t, want.status, got.status)
			require.Contains(t, got.body, want.body)
			require.NotContains(t, got.body, "part")
			require.EqualValues(t, 1, first.runs.Load())
		})
	}
}

// An answer on a connection that was opened while the response came is proof.
func TestAnswerIsCompleteIfItsWitnessIsAnswered(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.client = platform.NewEndpointClient(nil)
	e := s.keepingNone("whole", func(_ *keeping, conn *net.TCPConn) {
		time.Sleep(answerPause)
		_ = conn.Close()
	})
	got := s.do(s.request(http.MethodPost, "/book2/"))
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "whole", got.body)
	require.EqualValues(t, 1, e.runs.Load())
}
